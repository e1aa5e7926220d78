// A worker over HTTP on loopback, for the process tests: it reports to the controllers, takes
// direct commands at an address of its own, and runs tasks of half a second. It checks nothing that
// the protocol does not make it check. Messages that were answered arrive once more, at drawn
// times.
#pragma once

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <tuple>
#include <utility>
#include <vector>

#include "core/model/heartbeat.hpp"
#include "standin/repeated_messages.hpp"
#include "wire/cbor.hpp"

namespace bendspindle::standin {

// What happened on all workers of a test.
struct WorkerCounts {
    // Messages between a worker and a controller that were larger than the protocol allows. They
    // were not sent, or were treated as lost.
    std::atomic<int> oversized_messages{0};
    // Direct calls that were carried out, answered, and arrived again.
    std::atomic<int> repeated_calls{0};
    // Attempts that were started again after they had been acknowledged.
    std::atomic<int> restarted_attempts{0};
};

class Worker {
  public:
    struct Identity {
        std::string name;
        std::string type;
        std::string zone;
        bool spot = false;
    };

    // Reports to the controllers at these ports. `counts` must outlive the worker.
    Worker(const Identity& identity, std::vector<int> controllers, WorkerCounts& counts);
    // Waits for a message that is under way.
    ~Worker();
    Worker(const Worker&) = delete;
    Worker& operator=(const Worker&) = delete;

  private:
    using Clock = std::chrono::steady_clock;
    using Attempt = std::tuple<std::string, std::uint32_t, std::uint64_t>;  // job, task, attempt

    struct Copy {
        bool is_heartbeat = false;  // else a direct call
        std::string body;
    };

    void run();
    void end_finished_tasks();
    std::optional<wire::Value> send_heartbeat(int port, const std::string& body);
    void repeat_messages();
    // Returns the status and the body of the response.
    std::pair<int, std::string> handle_direct_call(const std::string& body);
    void execute(const std::vector<core::TaskCommand>& commands);
    void start(const Attempt& attempt);
    bool is_oversized(const std::string& body);
    static double seconds_now();

    const std::vector<int> controllers_;
    WorkerCounts& counts_;
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;  // guards what follows
    core::Heartbeat heartbeat_;
    std::map<Attempt, Clock::time_point> ends_;  // of running tasks
    std::set<Attempt> acknowledged_;
    RepeatedMessages<Copy> copies_;
    httplib::Server server_;
    std::thread server_thread_;
    std::thread thread_;
    std::thread repeat_thread_;
};

}  // namespace bendspindle::standin
