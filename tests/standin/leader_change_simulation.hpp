// Controllers through any sequence of terms, in simulated time: the controller's own
// `LeaderElector`, `CancellationReplication`, `HeartbeatHandler`, `Peers` and core, with a
// simulated state service, links between controllers, workers with leases, a cloud, and users who
// cancel. At each step the rules are checked: no task of a job is on a machine for longer than
// `cancel_s` after its user was told that it is cancelled; no two controllers hold a valid lease as
// leader; and, stricter, no answer renews the lease of a machine with such a task beyond that time,
// whatever else may end the task.
//
// Troubles are lines of text, "TIME VERB WORDS...", so that a schedule can be printed, cut down and
// played again. WHO is a controller's name, or "leader".
//
//     end WHO BACK               its process ends and is back after so many seconds
//     end-at-confirmation D BACK the leader ends D seconds after it confirms a cancellation next
//     end-at-takeover D BACK     the next one that becomes leader ends D seconds later
//     freeze WHO FOR             its process stands still
//     cut-state WHO refused|held FOR
//     cut-peers WHO FOR          from all other controllers, both ways
//     cut-pair A B FOR
//     cut-workers WHO SHARE FOR  some workers do not reach it
//     peers-refuse FOR           no calls between controllers
//     outage FOR                 of the state service, for all
//     refuse WHO FOR             the state service refuses one
//     slow SHARE FOR             of its answers take 100 times as long
//     late SHARE FOR             of the transactions get no answer, and are carried out now or
//     later cloud-down FOR cancel N [hang H]          users cancel N jobs, whose machines hang
//     mute|deaf|hang SHARE FOR   of the machines
//     copies                     each machine's last report arrives at all controllers once more
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "agents/heartbeat_handler.hpp"
#include "core/controller.hpp"
#include "leadership/leader_elector.hpp"
#include "standin/simulated_agent.hpp"
#include "standin/simulated_key_value_store.hpp"
#include "standin/timeline.hpp"

namespace bendspindle::standin {

struct TermsSetting {
    unsigned seed = 1;
    int controllers = 3;
    int machines = 8;
    int jobs = 24;
    core::AgentTimings workers{core::Seconds(6), core::Seconds(31), core::Seconds(30),
                               core::Seconds(4), core::Seconds(51)};
    core::Seconds state_lease{4};
    bool release = true;  // the cloud returns machines
};

class TermsNode;

class LeaderChangeSimulation {
  public:
    explicit LeaderChangeSimulation(const TermsSetting& setting);
    ~LeaderChangeSimulation();
    void trouble(const std::string& line);
    void run(double until);

    // What broke a rule, a line each; and what came about.
    const std::vector<std::string>& broken() const { return broken_; }
    int confirmed() const { return confirmed_; }
    int terms() const { return terms_; }
    int expired() const { return expired_; }    // leases of workers
    int released() const { return released_; }  // machines
    std::size_t running() const;                // tasks
    std::function<void(const std::string&)> trace;

  private:
    friend class TermsNode;
    using Words = std::vector<std::string>;
    struct Machine {
        SimulatedAgent worker;
        int at = 0;  // the controller that it reports to
        bool gone = false;
        bool in_flight = false;
        std::uint64_t flight = 0;
        double sent = 0;
        double last_response = 0;  // when the last answered report was sent
        double next_heartbeat = 0;
        double last_sent = -10;
        double token_change = -1000;
        double hung_until = 0;
        double mute_until = 0;
        double deaf_until = 0;
        bool changed = false;
        core::Heartbeat last_heartbeat;
    };
    struct Asked {
        bool pending = false;
        double told = -1;
    };

    void say(const std::string& what) const;
    double now() const { return timeline_.seconds(); }
    double below_one() { return random_() / 4294967296.0; }
    int below(int n) { return static_cast<int>(random_() % static_cast<unsigned>(n)); }
    core::Seconds latency() { return core::Seconds(0.001 + 0.01 * below_one()); }
    void prepare_records();
    void begin(const std::string& name);
    void end(const std::string& name, double back);
    std::string who(const std::string& word);
    std::shared_ptr<TermsNode> live(const std::string& name) const;
    void play(const Words& words);
    void for_a_while(double seconds, const std::function<void()>& begin, std::function<void()> end);

    std::optional<wire::peer::Answer> call_peer(const std::string& from, const std::string& to,
                                                const wire::peer::Request& request);
    bool cut(const std::string& one, const std::string& other) const;
    SimulatedKeyValueStore::Way way_to_state(const std::string& name) const;
    void became_leader(const std::string& name, std::uint64_t term);

    void tick();
    void tick(Machine& machine);
    void send_report(Machine& machine);
    void answered(Machine& machine, std::uint64_t flight, const wire::Response& response);
    void failed(Machine& machine, std::uint64_t flight, double pause);
    void obey(Machine& machine, std::uint64_t fencing_token,
              const std::vector<core::TaskCommand>& commands);
    void expire(Machine& machine);
    void deliver_call(const std::shared_ptr<TermsNode>& from, const core::DirectCommand& call);
    // As the agent does: nothing under a lower token or for another agent epoch.
    core::CommandOutcome execute_call(Machine& machine, const core::DirectCommand& call);
    core::Seconds repeat_delay();
    bool hears(const Machine& machine) const;

    void cancel(const std::string& job);
    void ask_to_cancel(const std::string& job);
    void told(const std::string& job, const std::string& by);
    std::vector<std::string> open_jobs() const;
    void note(const std::string& broken);
    void check();
    void check_renewal(const Machine& machine);

    TermsSetting setting_;
    core::Config config_;
    std::vector<core::MachineType> types_;
    std::mt19937 random_;
    std::mt19937 repeat_random_;  // apart, so that a seed stands for the same schedule as before
    Timeline timeline_;
    SimulatedService service_;
    std::shared_ptr<Timeline::Life> outside_ = std::make_shared<Timeline::Life>();
    std::vector<std::string> names_;
    std::map<std::string, std::shared_ptr<TermsNode>> live_;
    std::vector<std::shared_ptr<TermsNode>> all_lives_;
    std::map<std::string, std::unique_ptr<Machine>> machines_;
    std::map<std::string, core::JobSpec> specs_;
    std::map<std::string, Asked> asked_;
    std::set<std::string> state_cut_refused_;
    std::set<std::string> state_cut_held_;
    std::set<std::string> peers_cut_;
    std::set<std::pair<std::string, std::string>> pairs_cut_;
    std::set<std::pair<std::string, std::string>> workers_cut_;  // controller, machine
    int peers_refuse_ = 0;
    int cloud_down_ = 0;
    std::uint64_t leader_key_revision_ = 0;
    std::vector<std::pair<double, double>> ends_at_confirmation_;
    std::vector<std::pair<double, double>> ends_at_takeover_;
    std::vector<std::string> broken_;
    std::set<std::string> noted_;
    int confirmed_ = 0;
    int terms_ = 0;
    int expired_ = 0;
    int released_ = 0;
};

}  // namespace bendspindle::standin
