// An agent as the protocol describes it, in simulated time. It checks nothing that the protocol
// does not make it check, so that a controller's mistake shows.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/model/types.hpp"

namespace bendspindle::standin {

struct Task {
    std::string job;
    std::uint32_t index = 0;
    std::uint64_t attempt = 0;
    core::TaskState state = core::TaskState::fetching;
    core::ExitCause cause = core::ExitCause::none;
    bool saved = false;
    double fetch_left = 0;
    double run_left = 0;
    double save_left = 0;
    double waited = 0;  // for the others of its gang
};

struct SimulatedAgent {
    std::string name;
    std::string type;
    std::string zone;
    bool spot = false;
    std::uint64_t agent_epoch = 1;
    std::uint64_t sequence = 0;
    std::uint64_t fencing_token = 0;
    std::optional<double> spot_notice;
    std::vector<Task> tasks;
    std::set<std::string> images;
    double last_response = 0;
    double next_heartbeat = 0;
    bool reachable = true;  // its heartbeats reach the controllers, and responses come back
    bool inbound_unreachable =
        false;  // its heartbeats arrive; no response and no command reaches it
    bool outbound_unreachable = false;      // it reaches no controller; commands to it arrive
    bool command_response_delayed = false;  // the response to the next command takes three seconds
    bool with_former_leader = false;        // behind a partition with the former leader
    bool hung = false;
    bool dead = false;
    bool faulty = false;
    bool response_delayed = false;     // the response to its next heartbeat takes three seconds
    double awaits_response_until = 0;  // one heartbeat is in flight at a time
    bool commands_delayed = false;     // direct commands to it hang, and arrive late

    core::Heartbeat heartbeat() {
        core::Heartbeat r;
        r.machine = name;
        r.address = "127.0.0.1:1";
        r.type = type;
        r.zone = zone;
        r.spot = spot;
        r.agent_epoch = agent_epoch;
        r.sequence = ++sequence;
        r.fencing_token = fencing_token;
        if (spot_notice) r.reclaim_notice = core::Seconds(*spot_notice);
        for (const auto& t : tasks)
            r.tasks.push_back({t.job, t.index, t.attempt, t.state, t.cause, t.saved});
        return r;
    }

    bool holds(const std::string& job, std::uint32_t index) const {
        return std::any_of(tasks.begin(), tasks.end(), [&](const Task& t) {
            return t.job == job && t.index == index && t.state != core::TaskState::exited;
        });
    }

    void execute(const core::TaskCommand& order, double run, double fetch, double save,
                 bool mistaken) {
        const auto it = std::find_if(tasks.begin(), tasks.end(), [&](const Task& t) {
            return t.job == order.job && t.index == order.index && t.attempt == order.attempt;
        });
        switch (order.verb) {
            case core::TaskCommand::Verb::start: {
                if (it != tasks.end()) return;
                Task t;
                t.job = order.job;
                t.index = order.index;
                t.attempt = order.attempt;
                t.run_left = run;
                t.fetch_left = fetch;
                t.save_left = save;
                if (holds(order.job, order.index)) {
                    t.state = core::TaskState::exited;
                    t.cause = core::ExitCause::busy;
                } else if (faulty || mistaken) {
                    t.state = core::TaskState::exited;
                    t.cause = core::ExitCause::error;
                }
                tasks.push_back(t);
                return;
            }
            case core::TaskCommand::Verb::stop:
                if (it == tasks.end() || it->state == core::TaskState::exited) return;
                if (it->state == core::TaskState::running && order.grace.count() >= save &&
                    save > 0) {
                    it->state = core::TaskState::saving;
                    return;
                }
                it->state = core::TaskState::exited;
                it->cause = core::ExitCause::stopped;
                return;
            case core::TaskCommand::Verb::acknowledge:
                if (it != tasks.end() && it->state == core::TaskState::exited) tasks.erase(it);
                return;
        }
    }
};

}  // namespace bendspindle::standin
