// A worker as the protocol describes it, in simulated time. It checks nothing that the protocol
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

struct Worker {
    std::string name;
    std::string type;
    std::string zone;
    bool spot = false;
    std::uint64_t agent_epoch = 1;
    std::uint64_t sequence = 0;
    std::uint64_t fencing_token = 0;
    std::optional<double> notice;
    std::vector<Task> tasks;
    std::set<std::string> images;
    double last_answered = 0;
    double next_heartbeat = 0;
    bool reachable = true;    // its reports reach the controllers, and answers come back
    bool deaf = false;        // its reports arrive; no answer and no call reaches it
    bool mute = false;        // it opens no connection to a controller; calls to it arrive
    bool slow_call = false;   // the answer to the next call to it takes three seconds
    bool with_elder = false;  // behind a cut with the former controller, which goes on acting
    bool hung = false;
    bool dead = false;
    bool faulty = false;
    bool slow_answer = false;  // the answer to its next report takes three seconds
    double waits_until = 0;    // one report is in flight at a time
    bool calls_held = false;   // direct calls to it hang, and arrive late

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
        if (notice) r.notice = core::Seconds(*notice);
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
