// Orders that go to a worker's own address instead of waiting for its next report: which calls are
// due, and what the outcome of one says of the orders it carried. A call may arrive minutes late.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/fleet.hpp"
#include "core/orders.hpp"
#include "core/pipelines.hpp"

namespace bendspindle::core {

// Without orders it raises the worker's token and brings its report back.
struct DirectCall {
    std::string machine;
    std::string address;
    std::uint64_t token = 0;
    std::uint64_t session = 0;
    std::vector<Order> orders;
};
enum class CallOutcome : std::uint8_t { executed, rejected, unknown };

class DirectCalls {
  public:
    DirectCalls(Fleet& fleet, Pipelines& pipelines, Orders& orders, std::uint64_t epoch)
        : fleet_(fleet), pipelines_(pipelines), orders_(orders), epoch_(epoch) {}

    // Calls that are due now; they count as made.
    std::vector<DirectCall> due(TimePoint now, bool may_start);
    // A stop that was not carried out is given again.
    void repeat_stop(const Order& order);
    // What became of a start. `answer` is the worker's report, if there was one.
    void settle_start(Machine& machine, const Order& order, const DirectCall& call,
                      CallOutcome outcome, const Report* answer);

  private:
    Fleet& fleet_;
    Pipelines& pipelines_;
    Orders& orders_;
    const std::uint64_t epoch_;
};

}  // namespace bendspindle::core
