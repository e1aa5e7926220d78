/// Which events of the watch of open jobs are new to the leader.
///
/// An event of a watch, or a page of a listing, may be read long before it is looked at; the job
/// may have ended meanwhile and left memory. Whatever was put at or before `revision()` is known
/// already or has ended. Of what was put later the cursor remembers which jobs have ended, until
/// the watch has got that far. So no old event begins an ended job again, however late it arrives
/// and whatever a bounded cache has forgotten.
///
/// Pure. Owned by `LeaderState`, used under its lock.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace bendspindle::state {

/// How far the watch of open jobs got, for one term.
class JobWatchCursor {
  public:
    /// Records up to this revision were read.
    void begin(std::uint64_t revision) {
        revision_ = revision;
        ended_.clear();
    }
    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    [[nodiscard]] bool is_new(const std::string& id, std::uint64_t mod_revision) const {
        return mod_revision > revision_ && !ended_.contains(id);
    }
    /// The job's terminal state was recorded at this revision.
    void ended(const std::string& id, std::uint64_t revision) {
        if (revision > revision_) ended_[id] = revision;
    }
    /// All events up to this revision were taken. Never goes back: a listing's revision may be
    /// older than an event that arrived before it.
    void reached(std::uint64_t revision) {
        revision_ = std::max(revision_, revision);
        std::erase_if(ended_, [&](const auto& entry) { return entry.second <= revision_; });
    }

  private:
    std::uint64_t revision_ = 0;
    std::unordered_map<std::string, std::uint64_t> ended_;  // with the revisions of their ends
};

}  // namespace bendspindle::state
