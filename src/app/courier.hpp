// Direct calls to workers, by a few threads: one that hangs delays only its own machine.
#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>

#include "app/office.hpp"
#include "core/controller.hpp"

namespace bendspindle::app {

class Courier {
  public:
    explicit Courier(Office& office) : office_(office) {}
    void start();
    void send(core::DirectCall call);

  private:
    void run();

    Office& office_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<core::DirectCall> queue_;
};

}  // namespace bendspindle::app
