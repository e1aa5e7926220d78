#include "app/succession.hpp"

namespace bendspindle::app {

Succession succession(const std::optional<StewardKey>& key,
                      const std::optional<wire::ViewRecord>& view, const Candidate& self) {
    // Guard against two by one name that depose each other for ever: only the first look of a life
    // may take a key by the own name for a former life's.
    const bool former =
        key && key->name == self.name && key->lease != self.lease && self.just_returned;
    if (key && !former) return Succession::follow;
    // Guard against a process that keeps ending and keeps the role: nothing is ever placed.
    const bool keeps_ending =
        self.just_returned && view && view->steward == self.name && view->returns >= most_returns;
    if (keeps_ending && !self.gave_way) return Succession::give_way;
    return former ? Succession::come_back : Succession::take;
}

std::uint32_t returns_of_next(const std::optional<wire::ViewRecord>& view, const Candidate& self) {
    return self.just_returned && view && view->steward == self.name ? view->returns + 1 : 0;
}

}  // namespace bendspindle::app
