// Stand-ins of the cloud and the workers over HTTP on loopback, for the process
// test. They speak the published protocol with as little behaviour as the test needs.
#pragma once

#include <httplib.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "standin/state_service.hpp"
#include "standin/worker.hpp"
#include "wire/cbor.hpp"

namespace bendspindle::standin {

// One machine type; each rented machine is a worker that reports to the controllers.
class CloudAndWorkers {
  public:
    CloudAndWorkers(int port, std::vector<int> controllers);
    ~CloudAndWorkers();
    // A machine that a test plays itself; it stays in the list.
    void list(const std::string& name) {
        const std::lock_guard lock(mutex_);
        listed_.push_back(name);
    }
    const WorkerCounts& counts() const { return counts_; }

  private:
    void rent(const httplib::Request& request, httplib::Response& response);

    std::vector<int> controllers_;
    std::mutex mutex_;
    std::map<std::string, std::vector<std::string>> granted_;
    WorkerCounts counts_;
    std::map<std::string, std::unique_ptr<Worker>> workers_;
    std::vector<std::string> listed_;
    int next_ = 0;
    httplib::Server server_;
    std::thread thread_;
};

}  // namespace bendspindle::standin
