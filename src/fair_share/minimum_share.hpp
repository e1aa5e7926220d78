/// Who must be served before the usual order, so that no class and no team starves. A pure
/// function; called by quota accounting for each snapshot.
///
/// Priorities and guarantees order the work; where more is asked for than there is, an order alone
/// shuts out whoever comes last, for as long as the others keep coming. A fair-share minimum bounds
/// that: each class and each team that has work has a part of the machines that its work may use.
/// Once the oldest of its waiting jobs has waited for the starvation timeout, those that have go
/// first, oldest first, until the minimum is filled; what was started within a minimum is not
/// preempted, nor, while it starves, what a class or team runs within its minimum for other classes
/// or teams (preemption protection). Below that wait, and beyond the minimum, the order stays as it
/// is. docs/fair-share.md has the bound that follows, and its proof.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bendspindle::fair_share {

/// The operators' choice.
struct FairShareSettings {
    // Part of the machines that all minimums together may take; 0: no minimums.
    double total_share = 0.5;
    std::chrono::duration<double> starvation_timeout{60};  // starvation timeout
    // Weights of those that are not named are 1.
    std::map<std::string, double> class_weights;
    std::map<std::string, double> team_weights;
};

/// A job with work on machines or waiting. Shares are parts of the machines that it may use, as in
/// fair_share/makespan_stretch.
struct JobShare {
    std::string_view job_class;
    std::string_view team;
    double used = 0;
    double waiting = 0;                       // what its waiting tasks would take
    std::chrono::duration<double> waited{0};  // without any of it being started
    bool kept = false;                        // was started within a minimum
};

/// By place in what was given.
struct MinimumShareResult {
    std::vector<bool> jobs;  // go first, and are not preempted
    // Run within the minimum of a class that starves, or of a team: not preempted for other ones.
    std::vector<bool> class_protected;
    std::vector<bool> team_protected;
    // For logs: who was behind its minimum, and by how much.
    std::map<std::string, double> behind_classes;
    std::map<std::string, double> behind_teams;
};

/// `oldest_first`: in the order in which their minimums are to be filled.
[[nodiscard]] MinimumShareResult assign_minimum_shares(const std::vector<JobShare>& oldest_first,
                                                       const FairShareSettings& settings);

}  // namespace bendspindle::fair_share
