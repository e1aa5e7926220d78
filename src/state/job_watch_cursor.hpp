/// The position of the watch of open jobs, which tells new events from outdated ones.
///
/// A watch event or a page of a listing may be processed long after it was read; its job may have
/// ended and been removed from memory in the meantime. A record put at or before `revision()` is
/// already known, or its job has ended. For later revisions the cursor keeps the jobs that have
/// ended until the watch has passed the revisions of their ends. An outdated event therefore never
/// restarts an ended job, however late it arrives and even if a bounded cache has evicted the job.
///
/// Does no I/O. Owned by `LeaderState` and guarded by the leader mutex.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace bendspindle::state {

/// The position of the watch of open jobs in one term.
class JobWatchCursor {
  public:
    /// Starts a new term, whose leader has read the records up to this revision.
    void reset(std::uint64_t revision) {
        revision_ = revision;
        ended_.clear();
    }
    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    /// Returns whether a put of the job's record at `mod_revision` is new to the leader.
    [[nodiscard]] bool is_new(const std::string& id, std::uint64_t mod_revision) const {
        return mod_revision > revision_ && !ended_.contains(id);
    }
    /// Records that the job's terminal state was committed at this revision.
    void record_end(const std::string& id, std::uint64_t revision) {
        if (revision > revision_) ended_[id] = revision;
    }
    /// Records that all events up to this revision were processed. An older revision is ignored,
    /// because a listing's revision may be older than an event that arrived before it.
    void advance_to(std::uint64_t revision) {
        revision_ = std::max(revision_, revision);
        std::erase_if(ended_, [&](const auto& entry) { return entry.second <= revision_; });
    }

  private:
    std::uint64_t revision_ = 0;
    std::unordered_map<std::string, std::uint64_t> ended_;  // job id to the revision of its end
};

}  // namespace bendspindle::state
