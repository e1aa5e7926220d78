// A core that leads with one recorded machine, called directly by unit tests.
#pragma once

#include <gtest/gtest.h>

#include "core/controller.hpp"
#include "core/model/fencing_token.hpp"

namespace bendspindle::standin {

// Machine m1 of 8 CPUs in zone a, and team red without limits.
class OneMachine : public testing::Test {
  protected:
    static constexpr core::TimePoint start{std::chrono::hours(1)};
    static constexpr std::uint64_t term = 7;

    OneMachine() : controller_(config(), term) {
        core::MachineType type;
        type.name = "g8";
        type.size = {8, 0, 64};
        type.zones = {"a"};
        controller_.set_types({type});
        core::ListedMachine machine;
        machine.name = "m1";
        machine.type = "g8";
        machine.zone = "a";
        machine.address = "10.0.0.1:9000";
        controller_.load_machine(machine, 3, start);
    }
    static core::Config config() {
        core::Config out;
        out.zones = {"a"};
        out.teams = {{"red", {}, {}}};
        return out;
    }
    // Returns a heartbeat of m1 without tasks, which has seen the first token of a term.
    static core::Heartbeat empty_heartbeat(std::uint64_t seen_term, std::uint64_t agent_epoch,
                                           std::uint64_t sequence) {
        core::Heartbeat out;
        out.machine = "m1";
        out.address = "10.0.0.1:9000";
        out.type = "g8";
        out.zone = "a";
        out.agent_epoch = agent_epoch;
        out.sequence = sequence;
        out.fencing_token = core::fencing_token(seen_term);
        return out;
    }

    core::Controller controller_;
};

}  // namespace bendspindle::standin
