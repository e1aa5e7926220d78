/// The minimum shares under overload: the operators' admission.sexp (deploy/admission.sexp explains
/// each entry). Read once by `main`.
#pragma once

#include <string>

#include "config/platform_settings.hpp"
#include "fair_share/minimum_share.hpp"

namespace bendspindle::config {

/// Minimum shares and weights; without a file (its name is empty) there are no minimum shares. A
/// team must be one of the platform's settings. Throws `SettingsError`.
fair_share::FairShareSettings load_fair_share_settings(const std::string& file,
                                                       const Settings& settings);

}  // namespace bendspindle::config
