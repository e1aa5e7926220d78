/// Settings of the minimum shares under overload, read from the operators' admission.sexp
/// (deploy/admission.sexp documents each entry). `main` reads them once.
#pragma once

#include <string>

#include "config/platform_settings.hpp"
#include "fair_share/minimum_share.hpp"

namespace bendspindle::config {

/// Reads the minimum shares and weights. An empty file name disables the minimum shares. Throws
/// `SettingsError` if the file is invalid or names a team that the platform settings do not have.
fair_share::FairShareSettings load_fair_share_settings(const std::string& file,
                                                       const Settings& settings);

}  // namespace bendspindle::config
