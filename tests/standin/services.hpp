// Stand-ins of the state service, the cloud and the workers over HTTP on loopback, for the process
// test. They speak the published protocol with as little behaviour as the test needs.
#pragma once

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "wire/codec.hpp"

namespace bendspindle::standin {

// What befalls requests to the state service, drawn from a seed.
struct Troubles {
    double lost = 0;  // share of transactions carried out at once whose answer is lost
    double late = 0;  // share of transactions without an answer, carried out only after this long
    std::chrono::milliseconds late_least{2000};
    std::chrono::milliseconds late_most{4000};
    double slow = 0;  // share of reads and transactions carried out at once and answered late
    std::chrono::milliseconds slow_most{300};
};

class StateService {
  public:
    explicit StateService(int port) : StateService(std::vector<int>{port}) {}
    // The same service at several ports, so that it can refuse who comes by one of them.
    explicit StateService(const std::vector<int>& ports);
    ~StateService();
    // The next transactions get their answers this late and are carried out only then, in turn.
    void hold(std::vector<std::chrono::milliseconds> times) {
        const std::lock_guard lock(mutex_);
        held_ = std::move(times);
    }
    // Answers 503 at that port, and no watch there has news; leases run on.
    void refuse_at(std::size_t port, bool refuse) { fronts_[port]->refuses = refuse; }
    // The same for all, and no lease ends; afterwards each has its full time again.
    void outage(bool down);
    // Calls every transaction malformed that puts this key, as one with too large a value.
    void refuse(const std::string& key) {
        const std::lock_guard lock(mutex_);
        refused_ = key;
    }

    // What touches keys that begin like this is carried out at once and answered this late:
    // transactions that put one, reads of one, watches of them. A time of 0 ends it.
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
    // From now on; without any by default.
    void trouble(const Troubles& troubles, unsigned seed) {
        const std::lock_guard lock(mutex_);
        troubles_ = troubles;
        random_.seed(seed);
    }
    // So many transactions were carried out unanswered, or late.
    int troubled() const { return troubled_; }
    // What a key holds; null: nothing.
    wire::Value value(const std::string& key) {
        const std::lock_guard lock(mutex_);
        const auto it = items_.find(key);
        return it == items_.end() ? wire::Value{} : it->second.value;
    }

  private:
    using Clock = std::chrono::steady_clock;
    struct Item {
        wire::Value value;
        std::uint64_t stamp = 0;
        std::uint64_t lease = 0;
    };
    struct Lease {
        std::chrono::milliseconds life{0};
        Clock::time_point ends{};
    };
    void expire();
    void end(std::uint64_t lease);
    void read(const std::string& key, httplib::Response& response);
    void transact(const httplib::Request& request, httplib::Response& response);
    void transact_in_time(const httplib::Request& request, httplib::Response& response);

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
    Fate fate_of_transaction(const wire::Value& body);
    std::chrono::milliseconds drawn_slowness();
    void read_slowly(const std::string& key);

    std::mutex mutex_;
    Slow slow_puts_;
    Slow slow_reads_;
    Slow slow_watches_;
    Troubles troubles_;
    std::mt19937 random_;
    std::atomic<int> troubled_{0};
    std::uint64_t revision_ = 1;
    std::uint64_t next_lease_ = 0;
    std::map<std::string, Item> items_;
    std::map<std::uint64_t, Lease> leases_;
    std::string refused_;
    std::vector<std::chrono::milliseconds> held_;
    std::map<std::string, std::uint64_t> deleted_;  // by key: the revision of its deletion
    std::atomic<bool> ending_{false};
    struct Front {
        std::atomic<bool> refuses{false};
        httplib::Server server;
        std::thread thread;
    };
    void serve(Front& front, int port);
    bool refused(const Front& front) const { return down_ || front.refuses; }
    std::atomic<bool> down_{false};
    std::vector<std::unique_ptr<Front>> fronts_;
};

// One machine type; each rented machine is a worker thread that reports to the controllers.
class CloudAndWorkers {
  public:
    CloudAndWorkers(int port, std::vector<int> controllers);
    ~CloudAndWorkers();
    // A machine that a test plays itself; it stays in the list.
    void list(const std::string& name) {
        const std::lock_guard lock(mutex_);
        listed_.push_back(name);
    }

  private:
    struct Machine;
    void rent(const httplib::Request& request, httplib::Response& response);
    void work(Machine& machine);

    std::vector<int> controllers_;
    std::mutex mutex_;
    std::map<std::string, std::vector<std::string>> granted_;
    std::map<std::string, std::unique_ptr<Machine>> machines_;
    std::vector<std::string> listed_;
    int next_ = 0;
    std::atomic<bool> stopping_{false};
    httplib::Server server_;
    std::thread thread_;
};

}  // namespace bendspindle::standin
