// Who must be served before the order there is, so that no class and no team starves. A pure
// function.
//
// Priorities and guarantees order the work; where more is asked for than there is, an order alone
// shuts out whoever comes last, for as long as the others keep coming. A floor bounds that: each
// class and each team that has work is owed a part of the machines that its work may use. Once the
// oldest of its waiting jobs has waited for `patience`, those that have go first, oldest first,
// until the floor is filled; what was started under a floor is not stopped for others, nor, while
// it starves, what a class or team runs within its floor for other classes or teams. Below that
// wait, and beyond the floor, the order stays as it is. docs/admission.md has the bound that
// follows, and its proof.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bendspindle::fair_share {

struct FloorSettings {
    // Part of the machines that all floors together may claim; 0: no floors.
    double whole = 0.5;
    std::chrono::duration<double> patience{60};
    // Weights of those that are not named are 1.
    std::map<std::string, double> class_weights;
    std::map<std::string, double> team_weights;
};

// A job with work on machines or waiting. Shares as in admission/sharing.
struct Holding {
    std::string_view job_class;
    std::string_view team;
    double used = 0;
    double waiting = 0;                       // what its waiting tasks would take
    std::chrono::duration<double> waited{0};  // without any of it being started
    bool kept = false;                        // was started under a floor
};

// By place in what was given.
struct Floored {
    std::vector<bool> jobs;  // go first, and are not stopped for others
    // Run within the floor of a class that starves, or of a team: not stopped for other ones.
    std::vector<bool> class_shelters;
    std::vector<bool> team_shelters;
    // For logs: who was behind its floor, and by how much.
    std::map<std::string, double> behind_classes;
    std::map<std::string, double> behind_teams;
};

// `oldest_first`: in the order in which their floors are to be filled.
Floored floors(const std::vector<Holding>& oldest_first, const FloorSettings& settings);

}  // namespace bendspindle::fair_share
