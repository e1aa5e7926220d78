/// Keys in the key-value store, in one place.
#pragma once

#include <string>

namespace bendspindle::state::keys {

inline constexpr const char* jobs = "job/";
/// An open job: what was asked for, and what of it is done.
inline std::string job(const std::string& id) {
    return jobs + id;
}
/// The terminal state of a job; replaces `job(id)` in the same transaction.
inline std::string over(const std::string& id) {
    return "over/" + id;
}
inline constexpr const char* machines = "machine/";
inline std::string machine(const std::string& name) {
    return machines + name;
}
/// Names the leader; attached to its lease.
inline constexpr const char* leader = "steward";
/// The leadership record: term, leader, and its consecutive restarts.
inline constexpr const char* leadership_record = "view";
/// A running controller; attached to its lease.
inline std::string controller(const std::string& name) {
    return "controller/" + name;
}

}  // namespace bendspindle::state::keys
