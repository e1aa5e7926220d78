#include "config/fair_share_settings.hpp"

#include <algorithm>

#include "config/s_expression.hpp"
#include "config/settings_error.hpp"

namespace bendspindle::config {

namespace {

// Reads the weight from an entry of three words: (class NAME WEIGHT) or (team NAME WEIGHT).
template <typename Weights>
void read_weight(const std::string& file, const Entry& entry, Weights& weights) {
    const auto field = entry[0] + " " + entry[1];
    const auto weight = positive(file, field, entry[2]);
    if (!weights.emplace(entry[1], weight).second)
        throw SettingsError(file, field, "is given twice");
}

void require_team(const std::string& file, const std::string& name, const Settings& settings) {
    if (std::none_of(settings.teams.begin(), settings.teams.end(),
                     [&](const auto& team) { return team.name == name; }))
        throw SettingsError(file, "there is no team " + name);
}

}  // namespace

fair_share::FairShareSettings load_fair_share_settings(const std::string& file,
                                                       const Settings& settings) {
    fair_share::FairShareSettings shares;
    if (file.empty()) {
        // In a deployment with few machines, a minimum share is smaller than one gang but still
        // claims the capacity of a whole gang: urgent gangs lost their machines to work that would
        // have been served anyway (docs/fair-share.md).
        shares.total_share = 0;
        return shares;
    }
    const auto read_entry = [&](const Entry& entry) {
        if (entry.size() == 2 && entry[0] == "floors") {
            shares.total_share = non_negative(file, entry[0], entry[1]);
            if (shares.total_share > 1) throw SettingsError(file, entry[0], "must be at most 1");
        } else if (entry.size() == 2 && entry[0] == "patience-s") {
            shares.starvation_timeout = core::Seconds(non_negative(file, entry[0], entry[1]));
        } else if (entry.size() == 3 && entry[0] == "class") {
            read_weight(file, entry, shares.class_weights);
        } else if (entry.size() == 3 && entry[0] == "team") {
            require_team(file, entry[1], settings);
            read_weight(file, entry, shares.team_weights);
        } else {
            return false;
        }
        return true;
    };
    for_each_entry(file, "(NAME VALUE), (class NAME WEIGHT) or (team NAME WEIGHT)", read_entry);
    return shares;
}

}  // namespace bendspindle::config
