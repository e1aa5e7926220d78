// Draws malformed messages from a seed: requests for the listener of users and agents, frames for
// the listener of the other controllers, and responses of the store, the cloud and agents.
#pragma once

#include <array>
#include <cstdint>
#include <random>
#include <string>
#include <utility>

#include "core/model/job_spec.hpp"
#include "wire/cbor.hpp"

namespace bendspindle::standin {

// A job of one short task that any machine of the stand-ins can run.
core::JobSpec small_job(const std::string& id);

// What is wrong with a message. `none` leaves it as it is.
enum class Malformation : std::uint8_t {
    none,
    too_long,
    nested,
    not_utf8,
    out_of_range,
    other_type,
    cut_off,
    repeated_name,
    many_headers,
    random_bytes,
};
inline constexpr std::array malformation_names{
    "none",       "too_long", "nested",        "not_utf8",     "out_of_range",
    "other_type", "cut_off",  "repeated_name", "many_headers", "random_bytes"};
static_assert(malformation_names.size() ==
              static_cast<std::size_t>(Malformation::random_bytes) + 1);

struct MalformedMessage {
    Malformation malformation = Malformation::none;
    std::string bytes;
};

class MalformedMessages {
  public:
    // `agent` is the address in heartbeats.
    MalformedMessages(unsigned seed, std::string agent) : random_(seed), agent_(std::move(agent)) {}

    // A submission, cancellation, question, health check or heartbeat. Ids begin with `prefix`, for
    // the caller to tell its jobs and machines from others.
    MalformedMessage request(const std::string& prefix);
    MalformedMessage peer_frame();
    // The answer to a request of a controller.
    MalformedMessage response(const std::string& request);

  private:
    std::size_t draw(std::size_t bound);
    Malformation draw_malformation();
    std::string draw_bytes(std::size_t length);
    wire::Value draw_odd_value(Malformation malformation);
    std::string malformed_cbor(const wire::Value& value, Malformation malformation);
    std::string malformed_path(const std::string& path, Malformation malformation);
    std::string malformed_headers(Malformation malformation);
    std::string broken(std::string bytes, Malformation malformation);

    std::mt19937 random_;
    std::string agent_;
    int next_ = 0;
};

}  // namespace bendspindle::standin
