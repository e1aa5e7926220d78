// What the threads of an acting controller share, behind one short lock. No lock is held across a
// call out: threads take what they need, unlock, call, and come back with the outcome.
#pragma once

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/controller.hpp"
#include "state/failover_progress.hpp"

namespace bendspindle::state {

// Final states never change, so they may be kept and told by anyone. Bounded.
class TerminalStateCache {
  public:
    explicit TerminalStateCache(std::size_t most) : most_(most) {}
    void put(const std::string& id, core::TerminalState terminal_state) {
        const std::lock_guard lock(mutex_);
        if (!known_.try_emplace(id, terminal_state).second) return;
        order_.push_back(id);
        if (order_.size() <= most_) return;
        known_.erase(order_.front());
        order_.pop_front();
    }
    std::optional<core::TerminalState> get(const std::string& id) const {
        const std::lock_guard lock(mutex_);
        const auto it = known_.find(id);
        if (it == known_.end()) return std::nullopt;
        return it->second;
    }

  private:
    mutable std::mutex mutex_;
    std::size_t most_;
    std::unordered_map<std::string, core::TerminalState> known_;
    std::deque<std::string> order_;
};

// What news of open jobs an acting controller takes. An event of a watch or a page of a listing may
// be read long before it is looked at; the job may have ended meanwhile and left memory. Whatever
// was put at or before `revision` is known already or over, and of what was put later it is
// remembered which has ended, until news reach that far. So no old news begins a job again, however
// late it comes and whatever else has been forgotten.
class JobWatchCursor {
  public:
    // Records up to this revision were read.
    void begin(std::uint64_t revision) {
        revision_ = revision;
        ended_.clear();
    }
    std::uint64_t revision() const { return revision_; }
    bool is_new(const std::string& id, std::uint64_t mod_revision) const {
        return mod_revision > revision_ && !ended_.contains(id);
    }
    // The job's final state was recorded at this revision.
    void ended(const std::string& id, std::uint64_t revision) {
        if (revision > revision_) ended_[id] = revision;
    }
    // All news up to this revision were taken.
    void reached(std::uint64_t revision) {
        revision_ = std::max(revision_, revision);
        std::erase_if(ended_, [&](const auto& entry) { return entry.second <= revision_; });
    }

  private:
    std::uint64_t revision_ = 0;
    std::unordered_map<std::string, std::uint64_t> ended_;  // with the revisions of their ends
};

struct LeaderState {
    // The cloud's catalog. Whoever acts plans with it, others judge by it what can ever run.
    std::vector<core::MachineType> types() const {
        const std::lock_guard lock(types_mutex);
        return known_types;
    }
    bool knows_types() const {
        const std::lock_guard lock(types_mutex);
        return !known_types.empty();
    }
    void learn_types(std::vector<core::MachineType> types) {
        {
            const std::lock_guard lock(types_mutex);
            known_types = types;
        }
        const std::lock_guard lock(mutex);
        if (controller) controller->set_types(std::move(types));
    }
    // Needs the lock. Guard against a minute without placing: a catalog that came while the
    // records were being loaded found no controller to tell, so a new one is told here.
    void install(std::unique_ptr<core::Controller> fresh, std::uint64_t mod_revision) {
        if (auto now = types(); !now.empty()) fresh->set_types(std::move(now));
        controller = std::move(fresh);
        leader_key_revision = mod_revision;
        want_place();
        want_write();
    }

    mutable std::mutex types_mutex;  // taken while holding `mutex`, never the other way round
    std::vector<core::MachineType> known_types;
    std::mutex mutex;
    std::condition_variable recorded;      // something became durable, or never will
    std::condition_variable write_wanted;  // for the recorder
    std::condition_variable place_wanted;  // for the placing thread
    // Null when another controller acts, or while the records are being loaded.
    std::unique_ptr<core::Controller> controller;
    std::optional<FailoverProgress> failover_progress;  // of the present controller
    std::uint64_t leader_key_revision = 0;
    JobWatchCursor news;  // of open jobs, for the present controller
    bool write_pending = false;
    bool place_pending = false;

    void want_write() {
        write_pending = true;
        write_wanted.notify_one();
    }
    void want_place() {
        place_pending = true;
        place_wanted.notify_one();
    }
};

}  // namespace bendspindle::state
