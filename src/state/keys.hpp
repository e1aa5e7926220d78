/// The keys of all records in the key-value store.
#pragma once

#include <string>

namespace bendspindle::state::keys {

/// The prefix of the keys of open jobs.
inline constexpr const char* jobs = "job/";
/// Returns the key of an open job's record: its specification and its progress.
inline std::string job(const std::string& id) {
    return jobs + id;
}
/// Returns the key of an ended job's terminal state, which replaces `job(id)` in one transaction.
inline std::string ended_job(const std::string& id) {
    return "over/" + id;
}
/// The prefix of the keys of machines.
inline constexpr const char* machines = "machine/";
inline std::string machine(const std::string& name) {
    return machines + name;
}
/// The leader key, whose value names the leader; attached to the leader's lease.
inline constexpr const char* leader = "steward";
/// The leadership record: the term, the leader and its number of consecutive restarts.
inline constexpr const char* leadership_record = "view";
/// Returns the key of a running controller; attached to that controller's lease.
inline std::string controller(const std::string& name) {
    return "controller/" + name;
}

}  // namespace bendspindle::state::keys
