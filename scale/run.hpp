/// One scale run from beginning to end; called by `main`.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "settings.hpp"

namespace bendspindle::scale {

/// How a run went, beside its figures.
// NOLINTNEXTLINE(bugprone-exception-escape): of the JSON library, whose moves do not throw
struct RunResult {
    nlohmann::json figures;
    bool rule_broken = false;
    bool nothing_ran = false;
    bool ended_by_itself = false;  // a controller
};

/// Plays the run; it is over after the warm-up, the measured time and a few seconds.
RunResult play(const ScaleSettings& settings, const std::string& program);

}  // namespace bendspindle::scale
