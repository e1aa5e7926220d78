// Stand-ins of the cloud and the workers over HTTP on loopback, for the process
// test. They speak the published protocol with as little behaviour as the test needs.
#pragma once

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "core/model/heartbeat.hpp"
#include "standin/state_service.hpp"
#include "wire/cbor.hpp"

namespace bendspindle::standin {

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
    // Messages between a worker and a controller that were larger than the protocol allows. They
    // were not sent, or were treated as lost.
    int oversized_messages() const { return oversized_messages_; }

  private:
    struct Machine;
    void rent(const httplib::Request& request, httplib::Response& response);
    void work(Machine& machine);
    bool is_oversized(const std::string& body);
    std::optional<wire::Value> send_heartbeat(int port, const core::Heartbeat& heartbeat);

    std::vector<int> controllers_;
    std::mutex mutex_;
    std::map<std::string, std::vector<std::string>> granted_;
    std::map<std::string, std::unique_ptr<Machine>> machines_;
    std::vector<std::string> listed_;
    int next_ = 0;
    std::atomic<int> oversized_messages_{0};
    std::atomic<bool> stopping_{false};
    httplib::Server server_;
    std::thread thread_;
};

}  // namespace bendspindle::standin
