#include "standin/leader_change_simulation.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <sstream>
#include <stdexcept>

#include "core/model/fencing_token.hpp"
#include "standin/worker_commands.hpp"
#include "state/state_writer.hpp"
#include "wire/agent_messages.hpp"
#include "wire/records.hpp"

namespace bendspindle::standin {

namespace {

using core::Seconds;
using core::TaskState;
using state::StoreStatus;

constexpr double report_patience = 4;
constexpr double user_patience = 5;
constexpr Seconds tick_every{0.25};
constexpr Seconds call_limit{1.5};
constexpr Seconds record_limit{2.5};
constexpr Seconds min_repeat_delay{2};
constexpr Seconds max_repeat_delay{40};

std::vector<std::string> split(const std::string& text) {
    std::vector<std::string> out;
    std::istringstream in(text);
    for (std::string word; in >> word;) out.push_back(word);
    return out;
}

}  // namespace

// One life of a controller. Type the service's threads do are flows here; what they decide by is
// the controller's own.
class TermsNode : public std::enable_shared_from_this<TermsNode> {
  public:
    TermsNode(LeaderChangeSimulation& world, const std::string& name)
        : name(name),
          world_(world),
          timeline_(world.timeline_),
          clock_([&timeline = world.timeline_] { return timeline.now(); }),
          store(world.timeline_, world.service_, name,
                [&world, name] { return world.way_to_state(name); }),
          elector(store, name, world.setting_.state_lease,
                  {[this](std::uint64_t term, std::uint64_t mod_revision) {
                       take_over(term, mod_revision);
                   },
                   [this] { on_deposed(); }},
                  clock_),
          peers(peer_names(), link(), clock_),
          replication(name, world.setting_.workers, elector, peers, clock_),
          desk(world.setting_.workers, leader_state, elector, peers, replication, clock_),
          terminal_states(4096) {
        leader_state.set_machine_types(world.types_);
    }

    void begin() {
        const auto self = shared_from_this();
        timeline_.spawn(life, [self] { self->keep_lease(); });
        timeline_.spawn(life, [self] { self->announce(); });
        timeline_.spawn(life, [self] { self->record(); });
        timeline_.spawn(life, [self] { self->place(); });
        timeline_.spawn(life, [self] { self->return_machines(); });
    }

    wire::peer::Answer answer(const wire::peer::Request& request) {
        peers.record_incoming_call();
        wire::Response response;
        switch (request.op) {
            case wire::peer::Op::status:
                break;
            case wire::peer::Op::cancel:
                response.status = cancel(request.id, agents::RequestOrigin::peer);
                break;
            case wire::peer::Op::heartbeat:
                response = desk.handle(request.body, agents::RequestOrigin::peer);
                break;
            case wire::peer::Op::leader_announcement:
                elector.learn_leader(request.term, request.id);
                response.status = 200;
                break;
            case wire::peer::Op::cancellation_snapshot:
                response = word(request.id);
                break;
            case wire::peer::Op::cancelled:
                response = replication.record_cancellation(request.id, request.term);
                break;
        }
        return {static_cast<std::uint16_t>(response.status), 0, elector.status().term,
                std::move(response.body)};
    }

    // As `api::JobCancellationHandler`; the status, 200 only if the job is cancelled.
    int cancel(const std::string& job, agents::RequestOrigin from) {
        if (const auto terminal_state = terminal_states.get(job))
            return terminal_state == core::TerminalState::cancelled ? 200 : 404;
        if (!elector.status().leading) {
            if (from == agents::RequestOrigin::peer) return 503;
            const auto response =
                leadership::forward_to_leader(wire::peer::Op::cancel, job, {}, elector, peers);
            return response ? response->status : 503;
        }
        if (!elector.lease_valid() || !controller()) return 503;
        if (!controller()->knows(job)) return from_record(job);
        const auto term = controller()->term();
        if (!replication.replicate_cancellation(job, term)) return 503;
        if (!controller() || controller()->term() != term) return 503;
        if (controller()->may_have_unfenced_tasks(job) && !replication.acknowledged_by_quorum())
            return 503;
        controller()->cancel(job, timeline_.now());
        leader_state.lock().request_write();
        const auto until = core::later(timeline_.now(), record_limit);
        while (!terminal_states.get(job) && timeline_.now() < until) timeline_.wait(Seconds{0.02});
        return terminal_states.get(job) == core::TerminalState::cancelled ? 200 : 503;
    }

    bool leads() const { return !life->over && elector.status().leading; }
    bool leads_for_certain() const { return leads() && elector.lease_valid(); }

    const std::string name;
    const std::shared_ptr<Timeline::Life> life = std::make_shared<Timeline::Life>();
    std::shared_ptr<Timeline::Signal> look = std::make_shared<Timeline::Signal>();

  private:
    std::vector<std::string> peer_names() const {
        auto out = world_.names_;
        std::erase(out, name);
        return out;
    }
    leadership::Peers::Link link() {
        return [this](const std::string& to, const wire::peer::Request& request) {
            return world_.call_peer(name, to, request);
        };
    }

    int from_record(const std::string& job) {
        const auto over = store.get(state::keys::ended_job(job));
        if (over.outcome != StoreStatus::ok) return 503;
        const auto terminal_state = wire::parse_terminal_record(over.entry.value).value();
        terminal_states.put(job, terminal_state);
        return terminal_state == core::TerminalState::cancelled ? 200 : 404;
    }

    wire::Response word(const std::string& peer) {
        if (!elector.status().leading) return replication.follower_snapshot();
        if (!controller()) return {503, 0, {}};
        return replication.leader_snapshot(peer, leadership::cancelled_jobs(*controller()));
    }

    // `LeaderElector::run` and `watch`.
    void keep_lease() {
        timeline_.wait(Seconds{0.05 * world_.below_one()});
        for (;;) {
            look = std::make_shared<Timeline::Signal>();
            elector.run_once();
            timeline_.wait_for(look, Seconds{0.45 + 0.1 * world_.below_one()});
        }
    }

    // `daemon::Announcements`.
    void announce() {
        for (;;) {
            replication.exchange_with_peers();
            if (elector.status().leading && desk.detect_inbound_unreachable())
                elector.yield_leadership();
            timeline_.wait(Seconds{1});
        }
    }

    void take_over(std::uint64_t term, std::uint64_t mod_revision) {
        desk.on_elected();
        replication.on_elected();
        world_.became_leader(name, term);
        timeline_.spawn(life, [self = shared_from_this(), term, mod_revision,
                               log = state::FailoverProgress(timeline_.now())] {
            self->load(term, mod_revision, log);
        });
    }

    void load(std::uint64_t term, std::uint64_t mod_revision, const state::FailoverProgress& log) {
        std::unique_ptr<core::Controller> controller;
        for (;;) {
            if (!acts_under(term)) return;
            controller = std::make_unique<core::Controller>(world_.config_, term);
            if (load_into(*controller)) break;
            timeline_.wait(Seconds{0.3});
        }
        if (!acts_under(term)) return;
        controller->hold_terminal_states_until(elector.terminal_states_allowed_from());
        leader_state.lock().failover_progress() = log;
        leader_state.lock().install(std::move(controller), mod_revision);
        world_.say(name + " has loaded epoch " + std::to_string(term));
    }

    // Flows take turns on the timeline, so what this points to stays while one of them runs.
    core::Controller* controller() { return leader_state.lock().controller(); }

    bool acts_under(std::uint64_t term) const {
        const auto status = elector.status();
        return status.leading && status.term == term;
    }

    bool load_into(core::Controller& controller) {
        const auto listed = store.list("machine/");
        if (listed.outcome != StoreStatus::ok) return false;
        for (const auto& entry : listed.entries) {
            const auto machine = wire::parse_machine_record(entry.key.substr(8), entry.value);
            controller.load_machine(machine.value(), entry.mod_revision, timeline_.now());
        }
        const auto jobs = store.list(state::keys::jobs);
        if (jobs.outcome != StoreStatus::ok) return false;
        for (const auto& entry : jobs.entries)
            controller.load_job(wire::parse_job_record(entry.value).value(), entry.mod_revision,
                                timeline_.now());
        return true;
    }

    void on_deposed() {
        if (controller()) replication.on_deposed(leadership::cancelled_jobs(*controller()));
        leader_state.lock().remove_controller();
        world_.say(name + " stands down");
    }

    // `StateWriter`, one batch after the other.
    void record() {
        for (;;) {
            const bool requested = leader_state.lock().write_requested();
            timeline_.wait(Seconds{requested ? 0.03 : 0.1});
            leader_state.lock().take_write_request();
            if (!controller()) continue;
            const auto term = controller()->term();
            const auto changes = controller()->due_writes(12, timeline_.now());
            if (changes.empty()) continue;
            const auto terminal_states_sent = controller()->mark_sent(changes);
            std::vector<wire::Condition> conditions{
                {state::keys::leader, leader_state.lock().leader_key_revision()}};
            std::vector<wire::Operation> operations;
            for (const auto& change : changes) add(change, conditions, operations);
            const auto cas_result = store.compare_and_swap(conditions, operations);
            if (cas_result.outcome == StoreStatus::ok) {
                settle(changes, term, cas_result.revision);
            } else if (cas_result.outcome == StoreStatus::conflict) {
                read_back(changes, term, cas_result.failed);
            } else {
                if (cas_result.outcome != StoreStatus::unknown && same(term))
                    controller()->mark_rejected(terminal_states_sent);
                timeline_.wait(Seconds{0.15 + 0.3 * world_.below_one()});
            }
        }
    }

    bool same(std::uint64_t term) { return controller() && controller()->term() == term; }

    static void add(const core::RecordWrite& change, std::vector<wire::Condition>& conditions,
                    std::vector<wire::Operation>& operations) {
        using Type = core::RecordWrite::Type;
        const bool job = change.type == Type::put_job || change.type == Type::finish_job;
        const auto key = job ? state::keys::job(change.id) : state::keys::machine(change.id);
        conditions.push_back({key, change.mod_revision});
        switch (change.type) {
            case Type::put_job:
                operations.push_back({key, wire::job_record(change.job), {}});
                break;
            case Type::finish_job:
                conditions.push_back({state::keys::ended_job(change.id), 0});
                if (change.mod_revision != 0) operations.push_back({key, std::nullopt, {}});
                operations.push_back(
                    {state::keys::ended_job(change.id), wire::terminal_record(change.job), {}});
                break;
            case Type::put_machine:
                operations.push_back({key, wire::machine_record(change.machine), {}});
                break;
            case Type::delete_machine:
                operations.push_back({key, std::nullopt, {}});
                break;
        }
    }

    void settle(const std::vector<core::RecordWrite>& changes, std::uint64_t term,
                std::uint64_t revision) {
        for (const auto& change : changes)
            if (change.type == core::RecordWrite::Type::finish_job)
                terminal_states.put(change.id, change.job.terminal_state);
        if (same(term)) controller()->mark_committed(changes, revision, timeline_.now());
        leader_state.lock().request_placement();
    }

    void read_back(const std::vector<core::RecordWrite>& changes, std::uint64_t term,
                   const std::vector<std::string>& failed_keys) {
        const std::set<std::string> failed(failed_keys.begin(), failed_keys.end());
        if (failed.contains(state::keys::leader)) {
            timeline_.wait(Seconds{1.5});
            return;
        }
        using Type = core::RecordWrite::Type;
        for (const auto& change : changes) {
            const bool job = change.type == Type::put_job || change.type == Type::finish_job;
            const auto key = job ? state::keys::job(change.id) : state::keys::machine(change.id);
            const bool over_failed = job && failed.contains(state::keys::ended_job(change.id));
            if (!failed.contains(key) && !over_failed) continue;
            const auto record = store.get(key);
            if (record.outcome != StoreStatus::ok && record.outcome != StoreStatus::absent) return;
            std::optional<core::TerminalState> terminal_state;
            if (job) {
                const auto over = store.get(state::keys::ended_job(change.id));
                if (over.outcome != StoreStatus::ok && over.outcome != StoreStatus::absent) return;
                if (over.outcome == StoreStatus::ok)
                    terminal_state = wire::parse_terminal_record(over.entry.value);
            }
            if (terminal_state) terminal_states.put(change.id, *terminal_state);
            if (!same(term)) return;
            if (terminal_state)
                controller()->apply_recorded_terminal_state(change.id, *terminal_state,
                                                            timeline_.now());
            else
                controller()->set_mod_revision(
                    change.type, change.id,
                    record.outcome == StoreStatus::ok ? record.entry.mod_revision : 0);
        }
    }

    // `daemon::PlacementLoop`.
    void place() {
        double next = 0;
        for (;;) {
            timeline_.wait(Seconds{0.25});
            if (!leader_state.lock().placement_requested() && timeline_.seconds() < next) continue;
            next = timeline_.seconds() + world_.config_.cycle.count();
            leader_state.lock().take_placement_request();
            if (!controller()) continue;
            controller()->hold_terminal_states_until(elector.terminal_states_allowed_from());
            controller()->cycle(timeline_.now());
            const auto calls =
                controller()->direct_commands(timeline_.now(), replication.may_renew());
            auto& progress = *leader_state.lock().failover_progress();
            progress.observe(*controller(), timeline_.now());
            if (progress.has_progressed(timeline_.now())) elector.record_progress();
            for (const auto& call : calls) world_.deliver_call(shared_from_this(), call);
        }
    }

    // `CloudClient`: what is to be returned is, nothing is rented.
    void return_machines() {
        for (;;) {
            timeline_.wait(Seconds{1});
            if (!controller()) continue;
            const auto term = controller()->term();
            const auto plan = controller()->plan_scaling(timeline_.now());
            const auto names = elector.lease_valid() ? plan.release : plan.overdue;
            if (names.empty()) continue;
            timeline_.wait(Seconds{0.1});
            if (world_.cloud_down_ > 0 || !world_.setting_.release) continue;
            for (const auto& machine : names) {
                auto& gone = world_.machines_.at(machine)->gone;
                if (!gone) ++world_.released_;
                gone = true;
                world_.say(name + " has released " + machine);
            }
            timeline_.wait(Seconds{0.1});
            if (!same(term)) continue;
            controller()->released(names);
            leader_state.lock().request_write();
            leader_state.lock().request_placement();
        }
    }

    LeaderChangeSimulation& world_;
    Timeline& timeline_;
    const io::ClockFunction clock_;

  public:
    SimulatedKeyValueStore store;
    state::LeaderState leader_state;
    leadership::LeaderElector elector;
    leadership::Peers peers;
    leadership::CancellationReplication replication;
    agents::HeartbeatHandler desk;
    state::TerminalStateCache terminal_states;
};

LeaderChangeSimulation::LeaderChangeSimulation(const TermsSetting& setting)
    : setting_(setting),
      random_(setting.seed),
      repeat_random_(setting.seed + 2),
      service_(timeline_, setting.seed + 1) {
    config_.name = "c0";
    config_.zones = {"a", "b"};
    config_.workers = setting.workers;
    config_.idle_return = Seconds(100'000);
    core::Team team;
    team.name = "t";
    config_.teams.push_back(team);
    core::MachineType type;
    type.name = "g8";
    type.size = {8, 0, 64};
    type.cache_gb = 100;
    type.price = 1;
    type.spot_price = 0.5;
    type.zones = config_.zones;
    types_.push_back(type);
    prepare_records();
    for (int i = 0; i < setting.controllers; ++i) names_.push_back("c" + std::to_string(i));
    for (const auto& name : names_) begin(name);
    timeline_.after(tick_every, [this] { tick(); });
}

LeaderChangeSimulation::~LeaderChangeSimulation() {
    timeline_.end();
}

void LeaderChangeSimulation::prepare_records() {
    for (int i = 0; i < setting_.machines; ++i) {
        auto machine = std::make_unique<Machine>();
        auto& worker = machine->worker;
        worker.name = "m" + std::to_string(i);
        worker.type = "g8";
        worker.zone = i % 2 ? "a" : "b";
        machine->at = below(setting_.controllers);
        machine->next_heartbeat = below_one() * 2;
        service_.compare_and_swap(
            {}, {{state::keys::machine(worker.name),
                  wire::machine_record({worker.name, "127.0.0.1:1", worker.type, worker.zone, false,
                                        core::MachineStage::running, Seconds{0}}),
                  std::nullopt}});
        machines_[worker.name] = std::move(machine);
    }
    for (int i = 0; i < setting_.jobs; ++i) {
        core::JobSpec spec;
        spec.id = "job-" + std::to_string(100000 + i);
        spec.job_class = "c";
        spec.team = "t";
        spec.kind = core::Kind::service;
        spec.tasks = static_cast<std::uint32_t>(1 + below(2));
        spec.need = {1, 0, 1};
        spec.image = "img";
        spec.estimate = Seconds(100);
        core::JobRecord record;
        record.spec = spec;
        record.home = "c0";
        service_.compare_and_swap(
            {}, {{state::keys::job(spec.id), wire::job_record(record), std::nullopt}});
        specs_[spec.id] = spec;
    }
}

void LeaderChangeSimulation::say(const std::string& what) const {
    if (trace) trace(std::to_string(now()).substr(0, 7) + " " + what);
}

void LeaderChangeSimulation::begin(const std::string& name) {
    auto node = std::make_shared<TermsNode>(*this, name);
    live_[name] = node;
    all_lives_.push_back(node);
    node->begin();
}

void LeaderChangeSimulation::end(const std::string& name, double back) {
    const auto node = live(name);
    if (!node) return;
    say(name + " ends");
    node->life->over = true;
    live_.erase(name);
    timeline_.after(Seconds(back), [this, name] {
        if (live_.contains(name)) return;
        say(name + " is back");
        begin(name);
    });
}

std::shared_ptr<TermsNode> LeaderChangeSimulation::live(const std::string& name) const {
    const auto found = live_.find(name);
    return found == live_.end() ? nullptr : found->second;
}

std::string LeaderChangeSimulation::who(const std::string& word) {
    if (word != "leader") return word;
    for (const auto& [name, node] : live_)
        if (node->leads_for_certain()) return name;
    for (const auto& [name, node] : live_)
        if (node->leads()) return name;
    return names_[static_cast<std::size_t>(below(static_cast<int>(names_.size())))];
}

void LeaderChangeSimulation::trouble(const std::string& line) {
    const auto words = split(line);
    timeline_.at(timeline_.time_of(std::stod(words.at(0))), [this, words] { play(words); });
}

void LeaderChangeSimulation::for_a_while(double seconds, const std::function<void()>& begin,
                                         std::function<void()> end) {
    begin();
    timeline_.after(Seconds(seconds), std::move(end));
}

void LeaderChangeSimulation::play(const Words& words) {
    const auto& verb = words.at(1);
    const auto number = [&](std::size_t i) { return std::stod(words.at(i)); };
    std::string text;
    for (const auto& word : words) text += " " + word;
    say("--" + text);
    const auto share = [&](double part, const auto& apply) {
        for (auto& [name, machine] : machines_)
            if (!machine->gone && below_one() < part) apply(*machine);
    };
    if (verb == "end") {
        end(who(words.at(2)), number(3));
    } else if (verb == "end-at-confirmation") {
        ends_at_confirmation_.emplace_back(number(2), number(3));
    } else if (verb == "end-at-takeover") {
        ends_at_takeover_.emplace_back(number(2), number(3));
    } else if (verb == "freeze") {
        if (const auto node = live(who(words.at(2))))
            node->life->still_until = core::later(timeline_.now(), Seconds(number(3)));
    } else if (verb == "cut-state") {
        auto& cut = words.at(3) == "held" ? state_cut_held_ : state_cut_refused_;
        const auto name = who(words.at(2));
        for_a_while(
            number(4), [&] { cut.insert(name); }, [&cut, name] { cut.erase(name); });
    } else if (verb == "cut-peers") {
        const auto name = who(words.at(2));
        for_a_while(
            number(3), [&] { peers_cut_.insert(name); }, [this, name] { peers_cut_.erase(name); });
    } else if (verb == "cut-pair") {
        const auto pair = std::minmax(words.at(2), words.at(3));
        const std::pair<std::string, std::string> both(pair.first, pair.second);
        for_a_while(
            number(4), [&] { pairs_cut_.insert(both); }, [this, both] { pairs_cut_.erase(both); });
    } else if (verb == "cut-workers") {
        const auto name = who(words.at(2));
        share(number(3), [&](Machine& machine) {
            const std::pair<std::string, std::string> both(name, machine.worker.name);
            for_a_while(
                number(4), [&] { workers_cut_.insert(both); },
                [this, both] { workers_cut_.erase(both); });
        });
    } else if (verb == "peers-refuse") {
        for_a_while(
            number(2), [&] { ++peers_refuse_; }, [this] { --peers_refuse_; });
    } else if (verb == "outage") {
        for_a_while(
            number(2), [&] { service_.outage(true); }, [this] { service_.outage(false); });
    } else if (verb == "refuse") {
        const auto name = who(words.at(2));
        for_a_while(
            number(3), [&] { service_.refused.insert(name); },
            [this, name] { service_.refused.erase(name); });
    } else if (verb == "slow") {
        for_a_while(
            number(3), [&] { service_.slow_share = number(2); },
            [this] { service_.slow_share = 0; });
    } else if (verb == "late") {
        for_a_while(
            number(3), [&] { service_.late_share = number(2); },
            [this] { service_.late_share = 0; });
    } else if (verb == "cloud-down") {
        for_a_while(
            number(2), [&] { ++cloud_down_; }, [this] { --cloud_down_; });
    } else if (verb == "cancel") {
        auto open = open_jobs();
        for (int n = static_cast<int>(number(2)); n > 0 && !open.empty(); --n) {
            const auto chosen = open.begin() + below(static_cast<int>(open.size()));
            const auto job = *chosen;
            open.erase(chosen);
            if (words.size() > 4)
                for (auto& [name, machine] : machines_)
                    for (const auto& task : machine->worker.tasks)
                        if (task.job == job && task.state != TaskState::exited)
                            machine->hung_until = std::max(machine->hung_until, now() + number(4));
            cancel(job);
        }
    } else if (verb == "mute") {
        share(number(2), [&](Machine& machine) { machine.mute_until = now() + number(3); });
    } else if (verb == "deaf") {
        share(number(2), [&](Machine& machine) { machine.deaf_until = now() + number(3); });
    } else if (verb == "hang") {
        share(number(2), [&](Machine& machine) { machine.hung_until = now() + number(3); });
    } else if (verb == "copies") {
        share(1, [&](Machine& machine) {
            const auto body = wire::heartbeat_body(machine.last_heartbeat);
            for (const auto& entry : live_) {
                const auto node = entry.second;
                timeline_.spawn(node->life, [node, body] {
                    node->desk.handle(body, agents::RequestOrigin::client);
                });
            }
        });
    } else {
        throw std::runtime_error("unknown trouble " + verb);
    }
}

bool LeaderChangeSimulation::cut(const std::string& one, const std::string& other) const {
    const auto pair = std::minmax(one, other);
    return peers_cut_.contains(one) || peers_cut_.contains(other) ||
           pairs_cut_.contains({pair.first, pair.second});
}

SimulatedKeyValueStore::Way LeaderChangeSimulation::way_to_state(const std::string& name) const {
    if (state_cut_held_.contains(name)) return SimulatedKeyValueStore::Way::held;
    if (state_cut_refused_.contains(name)) return SimulatedKeyValueStore::Way::refused;
    return SimulatedKeyValueStore::Way::open;
}

std::optional<wire::peer::Answer> LeaderChangeSimulation::call_peer(
    const std::string& from, const std::string& to, const wire::peer::Request& request) {
    const auto target = live(to);
    if (!target || peers_refuse_ > 0) {
        timeline_.wait(Seconds{0.001});
        return std::nullopt;
    }
    struct Exchange {
        std::optional<wire::peer::Answer> answer;
        std::shared_ptr<Timeline::Signal> done = std::make_shared<Timeline::Signal>();
    };
    const auto exchange = std::make_shared<Exchange>();
    // What a cut holds arrives once it is over.
    const auto arrive = [=, this](const auto& again) -> void {
        if (target->life->over) return;
        if (cut(from, to)) {
            timeline_.after(Seconds{0.2}, [again] { again(again); });
            return;
        }
        timeline_.in(target->life, Seconds{0}, [=, this] {
            timeline_.spawn(target->life, [=, this] {
                const auto answer = target->answer(request);
                timeline_.after(latency(), [=, this] {
                    if (cut(from, to)) return;
                    exchange->answer = answer;
                    timeline_.set(exchange->done);
                });
            });
        });
    };
    timeline_.after(latency(), [arrive] { arrive(arrive); });
    timeline_.wait_for(exchange->done, call_limit);
    return exchange->answer;
}

void LeaderChangeSimulation::became_leader(const std::string& name, std::uint64_t term) {
    ++terms_;
    say(name + " leads under epoch " + std::to_string(term));
    if (ends_at_takeover_.empty()) return;
    const auto [delay, back] = ends_at_takeover_.back();
    ends_at_takeover_.pop_back();
    timeline_.after(Seconds(delay), [this, name, back = back] { end(name, back); });
}

void LeaderChangeSimulation::run(double until) {
    timeline_.run_until(timeline_.time_of(until));
}

void LeaderChangeSimulation::tick() {
    const auto leader = service_.get(state::keys::leader);
    if (leader.entry.mod_revision != leader_key_revision_ && !service_.down()) {
        leader_key_revision_ = leader.entry.mod_revision;
        for (const auto& [name, node] : live_)
            if (way_to_state(name) == SimulatedKeyValueStore::Way::open &&
                !service_.refused.contains(name))
                timeline_.set(node->look);
    }
    for (auto& [name, machine] : machines_)
        if (!machine->gone) tick(*machine);
    check();
    timeline_.after(tick_every, [this] { tick(); });
}

// A hanging machine does nothing; it may go on at any time within its lease.
void LeaderChangeSimulation::tick(Machine& machine) {
    const auto lease_end = machine.last_response + setting_.workers.lease.count();
    if (machine.hung_until > now()) {
        if (now() < lease_end) return;
        machine.hung_until = now();
    }
    if (now() > lease_end) expire(machine);
    for (auto& task : machine.worker.tasks)
        if (task.state == TaskState::fetching) {
            task.state = TaskState::running;
            machine.changed = true;
        }
    if (machine.in_flight && now() - machine.sent > report_patience)
        failed(machine, machine.flight, 1);
    const bool due = now() >= machine.next_heartbeat || machine.changed;
    if (!machine.in_flight && due && now() - machine.last_sent >= 0.5) send_report(machine);
}

void LeaderChangeSimulation::expire(Machine& machine) {
    auto& worker = machine.worker;
    ++expired_;
    say(worker.name + "'s lease is over");
    worker.tasks.clear();
    ++worker.agent_epoch;
    worker.sequence = 0;
    machine.last_response = now();
    machine.changed = true;
}

void LeaderChangeSimulation::send_report(Machine& machine) {
    machine.changed = false;
    machine.in_flight = true;
    machine.sent = machine.last_sent = now();
    machine.next_heartbeat =
        now() + setting_.workers.heartbeat.count() * (0.75 + 0.5 * below_one());
    machine.last_heartbeat = machine.worker.heartbeat();
    const auto flight = ++machine.flight;
    const auto& name = names_[static_cast<std::size_t>(machine.at)];
    const auto node = live(name);
    if (machine.mute_until > now() || workers_cut_.contains({name, machine.worker.name})) return;
    if (!node) return failed(machine, flight, 1);
    const auto body = wire::heartbeat_body(machine.last_heartbeat);
    timeline_.in(node->life, latency(), [=, this, &machine] {
        timeline_.spawn(node->life, [=, this, &machine] {
            const auto response = node->desk.handle(body, agents::RequestOrigin::client);
            timeline_.after(latency(),
                            [=, this, &machine] { answered(machine, flight, response); });
        });
    });
}

void LeaderChangeSimulation::failed(Machine& machine, std::uint64_t flight, double pause) {
    if (!machine.in_flight || machine.flight != flight) return;
    machine.in_flight = false;
    machine.at = (machine.at + 1) % setting_.controllers;
    machine.next_heartbeat = now() + pause;
}

bool LeaderChangeSimulation::hears(const Machine& machine) const {
    return !machine.gone && machine.deaf_until <= now();
}

void LeaderChangeSimulation::answered(Machine& machine, std::uint64_t flight,
                                      const wire::Response& response) {
    if (machine.gone || !machine.in_flight || machine.flight != flight) return;
    if (!hears(machine) || now() - machine.sent > report_patience) return;
    if (machine.hung_until > now()) {
        timeline_.after(Seconds{0.1}, [=, this, &machine] { answered(machine, flight, response); });
        return;
    }
    if (machine.last_heartbeat.agent_epoch != machine.worker.agent_epoch)
        return failed(machine, flight, 1);
    if (response.status == 421) {
        const auto leader = wire::parse_cbor(response.body).value().value("foreman", "");
        const auto found = std::find(names_.begin(), names_.end(), leader);
        if (found == names_.end()) return failed(machine, flight, 1);
        machine.in_flight = false;
        machine.at = static_cast<int>(found - names_.begin());
        machine.next_heartbeat = now() + 0.5 * below_one();
        return;
    }
    if (response.status != 200) return failed(machine, flight, 1);
    machine.in_flight = false;
    const auto answer = read_commands(wire::parse_cbor(response.body).value());
    if (answer.fencing_token < machine.worker.fencing_token) return;
    machine.last_response = machine.sent;
    std::string text;
    for (const auto& command : answer.commands)
        text +=
            (command.verb == core::TaskCommand::Verb::stop ? " stop " : " order ") + command.job;
    say(machine.worker.name + " renewed by " + names_[static_cast<std::size_t>(machine.at)] + " " +
        std::to_string(answer.fencing_token) + text);
    obey(machine, answer.fencing_token, answer.commands);
    check_renewal(machine);
}

// The lease that was just renewed must end before what it keeps alive has to be gone.
void LeaderChangeSimulation::check_renewal(const Machine& machine) {
    for (const auto& task : machine.worker.tasks) {
        const auto asked = asked_.find(task.job);
        if (task.state == TaskState::exited || asked == asked_.end() || asked->second.told < 0)
            continue;
        const auto lease_end = machine.sent + setting_.workers.lease.count();
        if (lease_end > asked->second.told + setting_.workers.cancel.count())
            note("renewed unknowingly: " + task.job + " on " + machine.worker.name + " by " +
                 names_[static_cast<std::size_t>(machine.at)]);
    }
}

void LeaderChangeSimulation::obey(Machine& machine, std::uint64_t fencing_token,
                                  const std::vector<core::TaskCommand>& commands) {
    auto& worker = machine.worker;
    if (fencing_token > worker.fencing_token) {
        worker.fencing_token = fencing_token;
        if (now() - machine.token_change > setting_.workers.lease.count() / 2) {
            machine.token_change = now();
            machine.changed = true;
        }
    }
    for (const auto& command : commands) {
        worker.execute(command, 1e9, 0, 0, false);
        machine.changed = true;
    }
}

core::CommandOutcome LeaderChangeSimulation::execute_call(Machine& machine,
                                                          const core::DirectCommand& call) {
    if (call.fencing_token < machine.worker.fencing_token ||
        call.agent_epoch != machine.worker.agent_epoch)
        return core::CommandOutcome::rejected;
    obey(machine, call.fencing_token, call.commands);
    return core::CommandOutcome::executed;
}

Seconds LeaderChangeSimulation::repeat_delay() {
    return min_repeat_delay +
           (max_repeat_delay - min_repeat_delay) * (repeat_random_() / 4294967296.0);
}

// What a machine that hangs or is cut off cannot take now arrives later. Every call arrives once
// more after it was answered.
void LeaderChangeSimulation::deliver_call(const std::shared_ptr<TermsNode>& from,
                                          const core::DirectCommand& call) {
    const auto settled = std::make_shared<bool>(false);
    const auto settle = [=, this](core::CommandOutcome outcome,
                                  const std::optional<core::Heartbeat>& heartbeat) {
        timeline_.in(from->life, latency(), [=, this] {
            if (std::exchange(*settled, true)) return;
            auto* const controller = from->leader_state.lock().controller();
            if (!controller || controller->term() != core::term_of(call.fencing_token)) return;
            controller->complete_direct_call(call, outcome, heartbeat ? &*heartbeat : nullptr,
                                             timeline_.now());
            from->leader_state.lock().request_write();
            from->leader_state.lock().request_placement();
        });
    };
    const auto arrive = [=, this](const auto& again) -> void {
        auto& machine = *machines_.at(call.machine);
        if (machine.gone) return;
        if (!hears(machine) || machine.hung_until > now() || machine.mute_until > now() ||
            workers_cut_.contains({from->name, call.machine})) {
            timeline_.after(Seconds{0.2}, [again] { again(again); });
            return;
        }
        settle(execute_call(machine, call), machine.worker.heartbeat());
    };
    timeline_.after(latency(), [arrive] { arrive(arrive); });
    // An answer to a copy reaches nobody.
    timeline_.after(repeat_delay(), [arrive] { arrive(arrive); });
    timeline_.after(call_limit, [settle] { settle(core::CommandOutcome::unknown, std::nullopt); });
}

std::vector<std::string> LeaderChangeSimulation::open_jobs() const {
    std::set<std::string> out;
    for (const auto& [name, machine] : machines_)
        for (const auto& task : machine->worker.tasks)
            if (!machine->gone && task.state == TaskState::running && !asked_.contains(task.job))
                out.insert(task.job);
    return {out.begin(), out.end()};
}

// A user asks until it is told, at one controller after the other.
void LeaderChangeSimulation::cancel(const std::string& job) {
    asked_[job] = {};
    ask_to_cancel(job);
}

void LeaderChangeSimulation::ask_to_cancel(const std::string& job) {
    if (asked_[job].told >= 0) return;
    const auto& name = names_[static_cast<std::size_t>(below(static_cast<int>(names_.size())))];
    const auto again = [=, this](double pause) {
        timeline_.after(Seconds(pause), [=, this] { ask_to_cancel(job); });
    };
    const auto node = live(name);
    if (!node) return again(0.3);
    const auto settled = std::make_shared<bool>(false);
    timeline_.in(node->life, latency(), [=, this] {
        timeline_.spawn(node->life, [=, this] {
            const auto status = node->cancel(job, agents::RequestOrigin::client);
            timeline_.after(latency(), [=, this] {
                if (std::exchange(*settled, true)) return;
                if (status == 200) return told(job, name);
                again(0.5 + below_one());
            });
        });
    });
    timeline_.after(Seconds(user_patience), [=] {
        if (!std::exchange(*settled, true)) again(0.1);
    });
}

void LeaderChangeSimulation::told(const std::string& job, const std::string& by) {
    if (asked_[job].told >= 0) return;
    asked_[job].told = now();
    ++confirmed_;
    say("user of " + job + " is told by " + by);
    if (ends_at_confirmation_.empty()) return;
    const auto [delay, back] = ends_at_confirmation_.back();
    ends_at_confirmation_.pop_back();
    timeline_.after(Seconds(delay), [this, back = back] { end(who("leader"), back); });
}

std::size_t LeaderChangeSimulation::running() const {
    std::size_t out = 0;
    for (const auto& [name, machine] : machines_)
        for (const auto& task : machine->worker.tasks)
            out += !machine->gone && task.state == TaskState::running;
    return out;
}

void LeaderChangeSimulation::note(const std::string& what) {
    if (!noted_.insert(what).second) return;
    say("BROKEN " + what);
    broken_.push_back(std::to_string(now()).substr(0, 7) + " " + what);
}

void LeaderChangeSimulation::check() {
    for (const auto& [name, machine] : machines_) {
        if (machine->gone) continue;
        for (const auto& task : machine->worker.tasks) {
            if (task.state != TaskState::running) continue;
            const auto asked = asked_.find(task.job);
            if (asked == asked_.end() || asked->second.told < 0) continue;
            if (now() - asked->second.told > setting_.workers.cancel.count())
                note("ran_cancelled: " + task.job + " is on " + name);
        }
    }
    std::string leaders;
    int number = 0;
    for (const auto& node : all_lives_)
        if (node->leads_for_certain()) {
            ++number;
            leaders += " " + node->name;
        }
    if (number > 1) note("two leaders:" + leaders);
}

}  // namespace bendspindle::standin
