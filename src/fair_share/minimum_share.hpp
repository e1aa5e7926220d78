/// Fair-share minimums: selects the jobs that are scheduled before the usual order, so that no
/// class and no team starves. A pure function, called by quota accounting for each snapshot.
///
/// Jobs are ordered by priorities and guarantees. When demand exceeds capacity, that order alone
/// starves whoever is last for as long as higher-ranked work keeps arriving. A fair-share minimum
/// bounds the wait: each class and each team that has work is entitled to a part of the machines
/// that its work may use. A class or team starves once one of its waiting jobs has waited for the
/// starvation timeout. Its jobs that have waited that long are then scheduled first, oldest first,
/// until the minimum is filled. Jobs started under a minimum are not preempted. The work that a
/// starving class or team already runs within its minimum is not preempted for other classes or
/// teams (preemption protection). Before the timeout, and beyond the minimum, the usual order
/// applies. docs/fair-share.md states and proves the resulting bound.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bendspindle::fair_share {

/// Fair-share parameters, from the operator settings.
struct FairShareSettings {
    // Part of the machines that all minimums together may take; 0 disables minimums.
    double total_share = 0.5;
    std::chrono::duration<double> starvation_timeout{60};
    // Weights by name; the default weight is 1.
    std::map<std::string, double> class_weights;
    std::map<std::string, double> team_weights;
};

/// A job with running or waiting tasks. A share is the fraction of the machines allowed for the
/// job, as in fair_share/makespan_stretch.
struct JobShare {
    std::string_view job_class;
    std::string_view team;
    double used = 0;
    double waiting = 0;                        // share that its waiting tasks would use
    std::chrono::duration<double> waited{0};   // time without the start of any of its tasks
    bool started_under_minimum_share = false;  // any of its tasks was
};

/// The selected jobs. Vectors have one entry for each job, in the order of the input.
struct MinimumShareResult {
    std::vector<bool> under_minimum_share;  // scheduled first and not preempted
    // Running within the minimum of a starving class or team; not preempted for jobs of others.
    std::vector<bool> class_protected;
    std::vector<bool> team_protected;
    // For logs: the share that each starving class or team lacks to its minimum.
    std::map<std::string, double> class_deficits;
    std::map<std::string, double> team_deficits;
};

/// Selects the jobs that fill the minimums of starving classes and teams. Minimums are filled in
/// the order of `oldest_first`.
[[nodiscard]] MinimumShareResult assign_minimum_shares(const std::vector<JobShare>& oldest_first,
                                                       const FairShareSettings& settings);

}  // namespace bendspindle::fair_share
