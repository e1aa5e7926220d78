// A stand-in of the state service over HTTP on loopback, for the process tests and the scale run.
// It speaks the published protocol with as little behaviour as these need, and counts what it is
// asked for.
#pragma once

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "wire/cbor.hpp"

namespace bendspindle::standin {

/// Binds `server` to a port of loopback and serves it in a thread of its own.
void start_server(httplib::Server& server, std::thread& thread, int port);

/// Answers with a CBOR body.
void answer(httplib::Response& response, int status, const wire::Value& body);

/// What one port of the state service was asked for since it began.
struct StateCounts {
    std::uint64_t requests = 0;
    std::uint64_t writes = 0;  // puts and deletes, of failed transactions too
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
    std::uint64_t refused = 0;  // 429
};

/// What befalls requests to the state service, drawn from a seed.
struct Troubles {
    double lost = 0;  // share of transactions carried out at once whose answer is lost
    double late = 0;  // share of transactions without an answer, carried out only after this long
    std::chrono::milliseconds late_least{2000};
    std::chrono::milliseconds late_most{4000};
    double slow = 0;  // share of reads and transactions carried out at once and answered late
    std::chrono::milliseconds slow_most{300};
};

/// How the state service behaves beyond the protocol's least.
struct StateOptions {
    bool keep_alive = false;
    double requests_per_s = 0;  // 0: no limit
    double writes_per_s = 0;
};

/// The state service. Several ports serve the same keys, so that it can refuse who comes by one of
/// them, and count each caller by itself.
class StateService {
  public:
    explicit StateService(int port) : StateService(std::vector<int>{port}) {}
    explicit StateService(const std::vector<int>& ports, StateOptions options = {});
    ~StateService();
    StateService(const StateService&) = delete;
    StateService& operator=(const StateService&) = delete;

    /// The next transactions get their answers this late and are carried out only then, in turn.
    void hold(std::vector<std::chrono::milliseconds> times) {
        const std::lock_guard lock(mutex_);
        held_ = std::move(times);
    }
    /// Answers 503 at that port, and no watch there has news; leases run on.
    void refuse_at(std::size_t port, bool refuse) { fronts_[port]->refuses = refuse; }
    /// The same for all, and no lease ends; afterwards each has its full time again.
    void outage(bool down);
    /// Calls every transaction malformed that puts this key, as one with too large a value.
    void refuse(const std::string& key) {
        const std::lock_guard lock(mutex_);
        refused_ = key;
    }
    /// What touches keys that begin like this is carried out at once and answered this late:
    /// transactions that put one, reads of one, watches of them. A time of 0 ends it.
    void slow_puts(const std::string& prefix, std::chrono::milliseconds time) {
        const std::lock_guard lock(mutex_);
        slow_puts_ = {prefix, time};
    }
    void slow_reads(const std::string& prefix, std::chrono::milliseconds time) {
        const std::lock_guard lock(mutex_);
        slow_reads_ = {prefix, time};
    }
    void slow_watches(const std::string& prefix, std::chrono::milliseconds time) {
        const std::lock_guard lock(mutex_);
        slow_watches_ = {prefix, time};
    }
    /// From now on; without any by default.
    void trouble(const Troubles& troubles, unsigned seed) {
        const std::lock_guard lock(mutex_);
        troubles_ = troubles;
        random_.seed(seed);
    }
    /// So many transactions were carried out unanswered, or late.
    int troubled() const { return troubled_; }
    /// So many transactions, or values in them, were larger than the protocol allows; they got 400.
    int oversized_transactions() const { return oversized_transactions_; }
    /// So many transactions were not CBOR as the protocol has it; they got 400.
    int malformed_requests() const { return malformed_requests_; }
    /// What was asked for at that port.
    StateCounts counts(std::size_t port) const;
    /// A key's value as it stands; nullopt: there is none.
    std::optional<wire::Value> value(const std::string& key) const;
    /// How many keys there are, and their values' bytes as CBOR.
    std::pair<std::size_t, std::size_t> size() const;

  private:
    using Clock = std::chrono::steady_clock;
    struct Item {
        wire::Value value;
        std::uint64_t mod_revision = 0;
        std::uint64_t lease = 0;
    };
    struct Lease {
        std::chrono::milliseconds life{0};
        Clock::time_point ends{};
    };
    struct Change {
        std::uint64_t revision = 0;
        std::string key;
    };
    struct Front {
        std::atomic<bool> refuses{false};
        httplib::Server server;
        std::thread thread;
        StateCounts counts;  // under mutex_
    };
    struct Slow {
        std::string prefix;
        std::chrono::milliseconds time{0};
        std::chrono::milliseconds of(const std::string& key) const {
            return key.starts_with(prefix) ? time : std::chrono::milliseconds{0};
        }
    };
    // What befalls one request: the time before it is carried out, and before it is answered.
    struct Fate {
        std::chrono::milliseconds before{0};
        std::chrono::milliseconds after{0};
    };
    // A limit that allows bursts of one second's worth.
    struct Bucket {
        double rate = 0;
        double left = 0;
        Clock::time_point at{};
        bool take(double amount, Clock::time_point now);
    };

    void serve(Front& front, int port);
    void serve_keys(Front& front);
    void serve_leases(Front& front);
    bool refused(const Front& front) const { return down_ || front.refuses; }
    bool admit(Front& front, const httplib::Request& request, httplib::Response& response);
    void expire();
    void end(std::uint64_t lease);
    void changed(const std::string& key);
    void list(const httplib::Request& request, httplib::Response& response);
    std::chrono::milliseconds watch(const Front& front, const httplib::Request& request,
                                    httplib::Response& response);
    wire::Value events_since(const std::string& prefix, std::uint64_t since) const;
    void read(const std::string& key, httplib::Response& response);
    void read_slowly(const std::string& key);
    Fate fate_of_transaction(const wire::Value& body);
    std::chrono::milliseconds drawn_slowness();
    static bool is_oversized(const wire::Value& transaction);
    void compare_and_swap(Front& front, const httplib::Request& request,
                          httplib::Response& response);
    void transact_in_time(Front& front, const httplib::Request& request,
                          httplib::Response& response);
    void apply(const wire::Value& operations);

    const StateOptions options_;
    mutable std::mutex mutex_;
    std::condition_variable news_;
    std::uint64_t revision_ = 1;
    std::uint64_t next_lease_ = 0;
    std::map<std::string, Item> items_;
    std::map<std::uint64_t, Lease> leases_;
    std::deque<Change> changes_;   // the last of them, in order
    std::uint64_t forgotten_ = 0;  // the last revision that `changes_` no longer holds
    std::string refused_;
    std::vector<std::chrono::milliseconds> held_;
    Slow slow_puts_;
    Slow slow_reads_;
    Slow slow_watches_;
    Troubles troubles_;
    std::mt19937 random_;
    std::atomic<int> troubled_{0};
    std::atomic<int> oversized_transactions_{0};
    std::atomic<int> malformed_requests_{0};
    Bucket requests_;
    Bucket writes_;
    std::atomic<bool> ending_{false};
    std::atomic<bool> down_{false};
    std::vector<std::unique_ptr<Front>> fronts_;
};

}  // namespace bendspindle::standin
