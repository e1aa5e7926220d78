// A deployment in simulated time: workers, a cloud, durable records, and the rules checked at
// every step. Scenarios (tests/scenarios/*.scn) drive it.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "core/controller.hpp"
#include "standin/worker.hpp"

namespace bendspindle::standin {

class World {
  public:
    World();
    // Executes one line of a scenario; throws std::runtime_error when an expectation fails.
    void line(const std::string& text);
    // Is told of everything the controller decides, a line each: orders, writes, rentals, returns.
    void tell_decisions(std::function<void(const std::string&)> to) { decided_ = std::move(to); }

  private:
    using Words = std::vector<std::string>;
    struct Held {
        Worker worker;  // as it was: the machine may be gone when its report arrives
        core::Heartbeat heartbeat;
    };

    std::string option(const Words& words, const std::string& name, const std::string& other) const;
    double number(const Words& words, const std::string& name, double other) const;
    void step();
    void deliver(Worker& worker, const core::Heartbeat& heartbeat, bool answered);
    void obey(Worker& worker, const std::vector<core::TaskCommand>& commands);
    void note_orders(const std::string& machine,
                     const std::vector<core::TaskCommand>& commands) const;
    void note(const std::string& decision) const;
    void call(const core::DirectCommand& call, bool answered);
    void advance(Worker& worker, double dt);
    void stand_still(double seconds);
    void direct(core::Controller& from);
    void expect_served();
    void check_waiting();
    bool waits_in_vain(const core::JobSpec& spec) const;
    bool has_room(const Worker& worker, const core::JobSpec& spec, std::uint32_t& tasks) const;
    void flood(const Words& words);
    struct Transaction {
        double at;  // when it is carried out
        std::uint64_t term;
        std::vector<core::RecordWrite> changes;
        bool answered;
    };
    enum class Writes : std::uint8_t { prompt, slow, refused, unanswered };

    // The recorder's part: what is due goes out, one transaction at a time.
    void write_records();
    // The state service's part: what has arrived is carried out if its conditions hold.
    void carry_out_writes();
    bool conditions_hold(const Transaction& transaction) const;
    bool condition_holds(const core::RecordWrite& change) const;
    void carry_out(const core::RecordWrite& change, std::uint64_t mod_revision);
    void read_back(const core::RecordWrite& change);
    void answer_late_calls();
    // Users repeat what has not been answered.
    void users_repeat();
    void take_over();
    void check_rules();
    void started(const std::string& job, std::uint32_t index, const Worker& on);
    void expect(const Words& words);
    core::TimePoint at() const;
    [[noreturn]] void fail(const std::string& why) const;

    double now_ = 100;
    double dt_ = 0.25;
    core::Config config_;
    std::vector<core::MachineType> types_;
    std::uint64_t term_ = 0;
    std::unique_ptr<core::Controller> controller_;
    // The former one, cut off from state service and peers, not from workers `with_elder`.
    std::unique_ptr<core::Controller> elder_;
    // Durable records, as the state service would hold them.
    std::uint64_t revision_ = 1;
    bool state_up_ = true;
    Writes writes_ = Writes::prompt;
    double writes_late_ = 0;
    double write_again_ = 0;  // not before
    std::vector<Transaction> transactions_;
    int refused_writes_ = 0;  // transactions whose conditions did not hold
    bool users_repeat_ = false;
    double patience_ = 0;  // how long a job may wait beside room for it; 0: nobody looks
    std::map<std::string, double> waits_since_;
    std::set<std::string> submitting_;
    std::set<std::string> cancelling_;
    std::map<std::string, std::pair<core::JobRecord, std::uint64_t>> jobs_;
    std::map<std::string, core::TerminalState> terminal_states_;
    std::map<std::string, std::pair<core::ListedMachine, std::uint64_t>> records_;
    std::map<std::string, Worker> workers_;
    std::map<std::string, core::JobSpec> specs_;
    std::map<std::string, double> run_time_;
    std::set<std::string> mistaken_;  // jobs that fail on every machine
    std::map<std::string, double> cancelled_at_;
    std::map<std::string, core::TerminalState> told_;
    std::vector<Held> held_reports_;
    struct Late {
        double at;
        std::string worker;
        std::uint64_t agent_epoch;
        core::HeartbeatResponse answer;
    };
    std::vector<Late> late_answers_;
    struct LateCallAnswer {
        double at;
        core::DirectCommand call;
        core::Heartbeat heartbeat;
    };
    std::vector<LateCallAnswer> late_call_answers_;
    std::vector<core::DirectCommand> held_calls_;
    std::vector<std::string> start_order_;
    std::map<std::string, std::map<std::uint32_t, bool>> completed_;
    bool cloud_up_ = true;
    bool catalog_ = true;
    bool direct_ = false;
    bool auto_rent_ = false;
    int rented_ = 0;
    int capacity_ = 1000;
    double boot_ = 5;
    std::vector<std::pair<double, Worker>> booting_;
    std::set<std::string> released_;
    std::set<std::string> unreadable_;  // machines whose record makes no sense
    std::function<void(const std::string&)> decided_;
};

}  // namespace bendspindle::standin
