#include "standin/simulated_cluster.hpp"

#include <cmath>
#include <stdexcept>

namespace bendspindle::standin {

namespace {

using core::Seconds;
using core::TaskState;

std::vector<std::string> split(const std::string& text, char by) {
    std::vector<std::string> out;
    std::string word;
    std::istringstream in(text);
    while (std::getline(in, word, by))
        if (!word.empty()) out.push_back(word);
    return out;
}

constexpr double unanswered_for = 2;
constexpr double call_answer_late = 3;

}  // namespace

World::World() {
    config_.name = "c0";
    config_.zones = {"a", "b"};
    config_.workers = {Seconds(2), Seconds(10), Seconds(30), Seconds(4), Seconds(30)};
    config_.least_paid = Seconds(1);
}

core::TimePoint World::at() const {
    return core::later(core::TimePoint{}, Seconds(now_));
}

void World::fail(const std::string& why) const {
    throw std::runtime_error("at " + std::to_string(now_ - 100) + " s: " + why);
}

std::string World::option(const Words& words, const std::string& name,
                          const std::string& other) const {
    for (const auto& word : words)
        if (word.starts_with(name + "=")) return word.substr(name.size() + 1);
    return other;
}

double World::number(const Words& words, const std::string& name, double other) const {
    const auto text = option(words, name, "");
    return text.empty() ? other : std::stod(text);
}

void World::note(const std::string& decision) const {
    if (decided_) decided_(std::to_string(std::lround((now_ - 100) * 1000)) + " " + decision);
}

void World::note_orders(const std::string& machine,
                        const std::vector<core::TaskCommand>& commands) const {
    if (!decided_) return;
    for (const auto& command : commands) {
        std::ostringstream text;
        text << machine << " verb " << static_cast<int>(command.verb) << " " << command.job << "/"
             << command.index << " try " << command.attempt << " grace " << command.grace.count();
        note(text.str());
    }
}

void World::take_over() {
    controller_ = std::make_unique<core::Controller>(config_, ++term_);
    if (catalog_) controller_->set_types(types_);
    for (const auto& [name, record] : records_) {
        if (unreadable_.contains(name))
            controller_->load_unreadable_machine(name, record.second, at());
        else
            controller_->load_machine(record.first, record.second, at());
    }
    for (const auto& [id, record] : jobs_) controller_->load_job(record.first, record.second, at());
}

// The controller does nothing while its clocks and everybody else go on; then it goes on where it
// was.
void World::stand_still(double seconds) {
    auto still = std::move(controller_);
    const double until = now_ + seconds;
    while (now_ < until - 1e-9) step();
    controller_ = std::move(still);
}

void World::write_records() {
    carry_out_writes();
    if (!controller_ || !state_up_ || now_ < write_again_) return;
    const auto under_way = [&](const auto& other) { return other.answered && other.term == term_; };
    if (std::any_of(transactions_.begin(), transactions_.end(), under_way)) return;
    const auto changes = controller_->changes(48, at());
    if (changes.empty()) return;
    const auto terminal_states = controller_->sent(changes);
    if (writes_ == Writes::refused) {
        controller_->not_executed(terminal_states);
        return;
    }
    const bool answered = writes_ != Writes::unanswered;
    // One that has no answer is given up after a while, and the same is sent again.
    if (!answered) write_again_ = now_ + unanswered_for;
    const auto late = writes_ == Writes::prompt ? 0 : writes_late_;
    transactions_.push_back({now_ + late, term_, changes, answered});
    carry_out_writes();
}

void World::carry_out_writes() {
    if (!state_up_) return;
    for (std::size_t i = 0; i < transactions_.size();) {
        if (transactions_[i].at > now_ + 1e-9) {
            ++i;
            continue;
        }
        const auto transaction = transactions_[i];
        transactions_.erase(transactions_.begin() + static_cast<std::ptrdiff_t>(i));
        const bool holds = conditions_hold(transaction);
        if (holds) {
            ++revision_;
            for (const auto& change : transaction.changes) carry_out(change, revision_);
        } else {
            ++refused_writes_;
        }
        const bool told = transaction.answered && controller_ && transaction.term == term_;
        if (told && holds) controller_->written(transaction.changes, revision_, at());
        if (told && !holds)
            for (const auto& change : transaction.changes) read_back(change);
    }
}

// Each names the mod_revision of the one that acts, and those of the records that it changes.
bool World::conditions_hold(const Transaction& transaction) const {
    return transaction.term == term_ &&
           std::all_of(transaction.changes.begin(), transaction.changes.end(),
                       [&](const auto& change) { return condition_holds(change); });
}

bool World::condition_holds(const core::RecordWrite& change) const {
    using Type = core::RecordWrite::Type;
    if (change.type == Type::put_machine || change.type == Type::drop_machine) {
        const auto it = records_.find(change.id);
        return change.mod_revision == (it == records_.end() ? 0 : it->second.second);
    }
    const auto it = jobs_.find(change.id);
    const bool names_final = change.type == Type::finish_job || change.mod_revision == 0;
    return change.mod_revision == (it == jobs_.end() ? 0 : it->second.second) &&
           !(names_final && terminal_states_.contains(change.id));
}

void World::carry_out(const core::RecordWrite& change, std::uint64_t mod_revision) {
    using Type = core::RecordWrite::Type;
    note("write " + std::to_string(static_cast<int>(change.type)) + " " + change.id);
    if (change.type == Type::put_job) {
        jobs_[change.id] = {change.job, mod_revision};
    } else if (change.type == Type::finish_job) {
        jobs_.erase(change.id);
        if (terminal_states_.contains(change.id)) fail("a final record is written twice");
        terminal_states_[change.id] = change.job.terminal_state;
        // Its user is told once this is durable, by whoever reads it, and counts from then: over
        // every change of leader.
        if (change.job.terminal_state == core::TerminalState::cancelled)
            cancelled_at_[change.id] = now_;
    } else if (change.type == Type::put_machine) {
        records_[change.id] = {change.machine, mod_revision};
    } else {
        records_.erase(change.id);
    }
}

// As app/recorder does where a condition did not hold: an earlier write whose answer was lost has
// been carried out after all.
void World::read_back(const core::RecordWrite& change) {
    if (condition_holds(change)) return;
    using Type = core::RecordWrite::Type;
    if (change.type == Type::put_machine || change.type == Type::drop_machine) {
        const auto it = records_.find(change.id);
        controller_->set_mod_revision(change.type, change.id,
                                      it == records_.end() ? 0 : it->second.second);
        return;
    }
    if (terminal_states_.contains(change.id)) {
        controller_->finished_by_record(change.id, terminal_states_.at(change.id), at());
        return;
    }
    const auto it = jobs_.find(change.id);
    if (change.type == Type::put_job && it != jobs_.end() && it->second.first.home.empty()) {
        controller_->found_elsewhere(it->second.first, it->second.second, at());
        return;
    }
    controller_->set_mod_revision(change.type, change.id,
                                  it == jobs_.end() ? 0 : it->second.second);
}

void World::users_repeat() {
    if (!users_repeat_ || !controller_) return;
    const auto recorded = [&](const std::string& id) {
        return jobs_.contains(id) || terminal_states_.contains(id);
    };
    std::erase_if(submitting_, recorded);
    for (const auto& id : submitting_)
        if (!controller_->knows(id))
            controller_->accept(specs_.at(id), core::WallTime{} + std::chrono::seconds(1), at());
    std::erase_if(cancelling_, [&](const auto& id) { return terminal_states_.contains(id); });
    for (const auto& id : cancelling_)
        if (controller_->durable(id)) controller_->cancel(id, at());
}

void World::started(const std::string& job, std::uint32_t index, const Worker& on) {
    start_order_.push_back(job + "/" + std::to_string(index) + "@" + on.name);
    for (const auto& [name, other] : workers_)
        if (name != on.name && other.holds(job, index))
            fail("ran_twice: " + job + "/" + std::to_string(index) + " on " + name + " and " +
                 on.name);
    const auto& spec = specs_.at(job);
    if (on.spot && !spec.spot) fail("wrong_place: " + job + " on a spot machine");
    if (spec.zone && *spec.zone != on.zone) fail("wrong_place: " + job + " in zone " + on.zone);
    if (spec.types &&
        std::find(spec.types->begin(), spec.types->end(), on.type) == spec.types->end())
        fail("wrong_place: " + job + " on type " + on.type);
    std::map<std::string, std::uint32_t> zones;
    for (const auto& [name, other] : workers_)
        for (std::uint32_t i = 0; i < spec.tasks; ++i)
            if (other.holds(job, i)) ++zones[other.zone];
    if (spec.one_zone && zones.size() > 1) fail("wrong_place: " + job + " in two zones");
    if (spec.spread)
        for (const auto& [zone, n] : zones)
            if (n > (spec.tasks + 1) / 2) fail("wrong_place: too much of " + job + " in " + zone);
    if (cancelled_at_.contains(job) && now_ - cancelled_at_[job] > config_.workers.cancel.count())
        fail("ran_cancelled: " + job + " started late");
}

void World::deliver(Worker& worker, const core::Heartbeat& heartbeat, bool answered) {
    auto* to = worker.with_elder ? elder_.get() : controller_.get();
    if (!to) return;
    const auto answer = to->heartbeat(heartbeat, at());
    note_orders(worker.name, answer.commands);
    if (!answered || !answer.entitled || worker.deaf) return;
    if (worker.slow_answer) {
        worker.slow_answer = false;
        worker.waits_until = now_ + 3.25;
        late_answers_.push_back({now_ + 3, worker.name, heartbeat.agent_epoch, answer});
        return;
    }
    if (answer.fencing_token < worker.fencing_token) return;
    if (heartbeat.agent_epoch != worker.agent_epoch) return;
    // A token that rises is a change, and changes are reported soon.
    if (answer.fencing_token > worker.fencing_token) worker.next_heartbeat = now_ + 0.5;
    worker.fencing_token = answer.fencing_token;
    worker.last_answered = now_;
    obey(worker, answer.commands);
}

// A direct call arrives. The worker drops it under a lower token or another session.
void World::call(const core::DirectCommand& call, bool answered) {
    const auto it = workers_.find(call.machine);
    if (it == workers_.end() || it->second.dead) return;
    auto& worker = it->second;
    auto outcome = core::CommandOutcome::rejected;
    if (call.fencing_token >= worker.fencing_token && call.agent_epoch == worker.agent_epoch) {
        worker.fencing_token = call.fencing_token;
        obey(worker, call.commands);
        outcome = core::CommandOutcome::executed;
    }
    if (!answered) return;
    const auto heartbeat = worker.heartbeat();
    if (worker.slow_call) {
        worker.slow_call = false;
        late_call_answers_.push_back({now_ + call_answer_late, call, heartbeat});
        return;
    }
    for (auto* from : {controller_.get(), elder_.get()})
        if (from && from->term() == call.fencing_token)
            from->called(call, outcome, &heartbeat, at());
}

void World::answer_late_calls() {
    const auto due = std::stable_partition(late_call_answers_.begin(), late_call_answers_.end(),
                                           [&](const auto& late) { return late.at > now_; });
    const std::vector<LateCallAnswer> arrived(due, late_call_answers_.end());
    late_call_answers_.erase(due, late_call_answers_.end());
    for (const auto& late : arrived)
        for (auto* from : {controller_.get(), elder_.get()})
            if (from && from->term() == late.call.fencing_token)
                from->called(late.call, core::CommandOutcome::executed, &late.heartbeat, at());
}

void World::obey(Worker& worker, const std::vector<core::TaskCommand>& commands) {
    for (const auto& command : commands) {
        const bool known = specs_.contains(command.job);
        const double run = known ? run_time_[command.job] : 1;
        const double save = known && specs_[command.job].checkpoint > Seconds{0}
                                ? specs_[command.job].save_time.count()
                                : 0;
        const bool cached = known && worker.images.contains(specs_[command.job].image);
        const double fetch = known && !cached ? specs_[command.job].image_gb : 0;
        const bool was = worker.holds(command.job, command.index);
        worker.execute(command, run, fetch, save, mistaken_.contains(command.job));
        if (command.verb == core::TaskCommand::Verb::start && !was &&
            worker.holds(command.job, command.index))
            started(command.job, command.index, worker);
    }
}

void World::advance(Worker& worker, double dt) {
    if (worker.hung) return;
    bool changed = false;
    for (auto& task : worker.tasks) {
        const auto before = task.state;
        const bool gang = specs_[task.job].kind == core::Kind::gang;
        switch (task.state) {
            case TaskState::fetching:
                if ((task.fetch_left -= dt) > 0) break;
                worker.images.insert(specs_[task.job].image);
                task.state =
                    gang && specs_[task.job].tasks > 1 ? TaskState::waiting : TaskState::running;
                break;
            case TaskState::waiting: {
                std::uint32_t ready = 0;
                for (const auto& [name, other] : workers_)
                    for (const auto& t : other.tasks)
                        if (t.job == task.job && t.attempt == task.attempt &&
                            (t.state == TaskState::waiting || t.state == TaskState::running))
                            ++ready;
                if (ready == specs_[task.job].tasks) {
                    task.state = TaskState::running;
                } else if ((task.waited += dt) > config_.workers.gang_wait.count()) {
                    task.state = TaskState::exited;
                    task.cause = core::ExitCause::alone;
                }
                break;
            }
            case TaskState::running:
                if (specs_[task.job].kind == core::Kind::service) break;
                if ((task.run_left -= dt) > 0) break;
                task.state = TaskState::exited;
                task.cause = core::ExitCause::done;
                completed_[task.job][task.index] = true;
                break;
            case TaskState::saving:
                if ((task.save_left -= dt) > 0) break;
                task.state = TaskState::exited;
                task.cause = core::ExitCause::stopped;
                task.saved = true;
                break;
            case TaskState::exited:
                break;
        }
        changed = changed || before != task.state;
    }
    if (changed) worker.next_heartbeat = std::min(worker.next_heartbeat, now_);
    if (now_ - worker.last_answered > config_.workers.lease.count()) {
        worker.tasks.clear();
        ++worker.agent_epoch;
        worker.sequence = 0;
        worker.last_answered = now_;
    }
}

void World::check_rules() {
    std::map<std::string, core::Resources> use;
    std::map<std::string, std::string> on;  // by team, for the message
    for (const auto& [name, worker] : workers_)
        for (const auto& task : worker.tasks) {
            if (task.state == TaskState::exited) continue;
            const auto& spec = specs_.at(task.job);
            use[spec.team] += spec.need;
            on[spec.team] += " " + task.job + "/" + std::to_string(task.index) + "@" + name;
            if (cancelled_at_.contains(task.job) &&
                now_ - cancelled_at_[task.job] > config_.workers.cancel.count())
                fail("ran_cancelled: " + task.job + " is still on " + name);
        }
    for (const auto& team : config_.teams) {
        const auto& used = use[team.name];
        if (team.limit.cpus > 0 && used.cpus > team.limit.cpus + 1e-6)
            fail("quota: cpus:" + on[team.name]);
        if (team.limit.gpus > 0 && used.gpus > team.limit.gpus + 1e-6)
            fail("quota: gpus:" + on[team.name]);
    }
    for (const auto& [id, terminal_state] : terminal_states_) {
        if (terminal_state != core::TerminalState::done) continue;
        if (specs_.at(id).kind == core::Kind::array && completed_[id].size() < specs_.at(id).tasks)
            fail("not_done: " + id);
        if (completed_[id].empty()) fail("not_done: " + id);
    }
    check_waiting();
    if (!controller_) return;
    for (const auto& [id, spec] : specs_) {
        const auto status = controller_->status(id);
        const auto recorded =
            terminal_states_.contains(id) ? terminal_states_.at(id) : core::TerminalState::none;
        const auto terminal_state = status ? status->terminal_state : recorded;
        // Who cannot reach the one that acts reads the record, and tells what it says.
        if (recorded != core::TerminalState::none) told_[id] = recorded;
        if (told_[id] != core::TerminalState::none && terminal_state != told_[id])
            fail("went_back: " + id);
        if (terminal_state != core::TerminalState::none) told_[id] = terminal_state;
        // A record that nobody has adopted yet answers for itself.
        if (!controller_->knows(id) && !terminal_states_.contains(id) && jobs_.contains(id) &&
            !jobs_.at(id).first.home.empty())
            fail("forgotten: " + id);
    }
}

void World::step() {
    now_ += dt_;
    for (auto it = booting_.begin(); it != booting_.end();) {
        if (it->first > now_) {
            ++it;
            continue;
        }
        it->second.last_answered = it->second.next_heartbeat = now_;
        workers_[it->second.name] = it->second;
        it = booting_.erase(it);
    }
    for (auto& [name, worker] : workers_) {
        if (worker.dead) continue;
        if (worker.notice) *worker.notice = std::max(0.0, *worker.notice - dt_);
        advance(worker, dt_);
        if (worker.hung || now_ < worker.next_heartbeat || now_ < worker.waits_until) continue;
        worker.next_heartbeat = now_ + config_.workers.heartbeat.count();
        const auto heartbeat = worker.heartbeat();
        if (worker.reachable && !worker.mute) deliver(worker, heartbeat, true);
    }
    for (auto it = late_answers_.begin(); it != late_answers_.end();) {
        if (it->at > now_) {
            ++it;
            continue;
        }
        const auto worker = workers_.find(it->worker);
        if (worker != workers_.end() && it->agent_epoch == worker->second.agent_epoch &&
            it->answer.fencing_token >= worker->second.fencing_token) {
            worker->second.fencing_token = it->answer.fencing_token;
            worker->second.last_answered = now_;
            obey(worker->second, it->answer.commands);
        }
        it = late_answers_.erase(it);
    }
    answer_late_calls();
    users_repeat();
    write_records();
    // It writes, rents and returns nothing: it has neither the state service nor a valid lease.
    if (elder_) {
        elder_->cycle(at());
        if (direct_) direct(*elder_);
    }
    if (controller_) {
        controller_->cycle(at());
        if (direct_) direct(*controller_);
        auto plan = controller_->plan_scaling(at());
        for (const auto& name : plan.release) note("release " + name);
        for (const auto& rent : plan.scale_out)
            note("rent " + rent.request + " " + rent.type + " " + rent.zone +
                 (rent.spot ? " spot " : " ordinary ") + std::to_string(rent.count));
        if (cloud_up_) {
            for (const auto& name : plan.release) {
                workers_.erase(name);
                released_.insert(name);
            }
            controller_->released(plan.release);
            for (const auto& request : plan.scale_out) {
                if (!auto_rent_) continue;
                std::vector<std::string> names;
                for (std::uint32_t i = 0; i < request.count && capacity_ > 0; ++i) {
                    --capacity_;
                    Worker worker;
                    worker.name = "rented" + std::to_string(++rented_);
                    worker.type = request.type;
                    worker.zone = request.zone;
                    worker.spot = request.spot;
                    booting_.push_back({now_ + boot_, worker});
                    names.push_back(worker.name);
                }
                controller_->scaled_out(request, names, at());
            }
        }
    }
    write_records();
    check_rules();
}

void World::direct(core::Controller& from) {
    const bool elder = &from == elder_.get();
    for (const auto& due : from.direct_commands(at())) {
        note("call " + due.machine);
        note_orders(due.machine, due.commands);
        const auto worker = workers_.find(due.machine);
        const bool reaches = worker != workers_.end() && worker->second.reachable &&
                             !worker->second.deaf && !worker->second.hung && !worker->second.dead &&
                             worker->second.with_elder == elder;
        if (reaches && !worker->second.calls_held) {
            call(due, true);
            continue;
        }
        held_calls_.push_back(due);
        from.called(due, core::CommandOutcome::unknown, nullptr, at());
    }
}

// How many tasks of the job the machine could take now, if all is well with it.
bool World::has_room(const Worker& worker, const core::JobSpec& spec, std::uint32_t& tasks) const {
    const bool well = !worker.hung && !worker.dead && !worker.deaf && !worker.mute &&
                      !worker.faulty && worker.reachable && !worker.notice && !worker.with_elder;
    const bool allowed = (!worker.spot || spec.spot) && (!spec.zone || *spec.zone == worker.zone) &&
                         (!spec.types || std::find(spec.types->begin(), spec.types->end(),
                                                   worker.type) != spec.types->end());
    if (!well || !allowed) return false;
    const auto type = std::find_if(types_.begin(), types_.end(),
                                   [&](const auto& t) { return t.name == worker.type; });
    auto free = type->size;
    for (const auto& task : worker.tasks)
        if (task.state != TaskState::exited) free -= specs_.at(task.job).need;
    for (tasks = 0; tasks < spec.tasks && free.holds(spec.need); ++tasks) free -= spec.need;
    return tasks > 0;
}

// None of its tasks is anywhere, and there would be room for one; for a gang's all.
bool World::waits_in_vain(const core::JobSpec& spec) const {
    if (terminal_states_.contains(spec.id) || !jobs_.contains(spec.id) ||
        mistaken_.contains(spec.id))
        return false;
    core::Resources used;
    for (const auto& [name, worker] : workers_)
        for (const auto& task : worker.tasks) {
            if (task.job == spec.id) return false;
            if (task.state != TaskState::exited && specs_.at(task.job).team == spec.team)
                used += specs_.at(task.job).need;
        }
    const auto wanted = spec.kind == core::Kind::gang ? spec.tasks : 1;
    const auto more = spec.need * static_cast<double>(wanted);
    const auto* team = config_.team(spec.team);
    if (team && team->limit.cpus > 0 && used.cpus + more.cpus > team->limit.cpus) return false;
    if (team && team->limit.gpus > 0 && used.gpus + more.gpus > team->limit.gpus) return false;
    std::map<std::string, std::uint32_t> room;  // by zone; or all together
    for (const auto& [name, worker] : workers_) {
        std::uint32_t tasks = 0;
        if (has_room(worker, spec, tasks)) room[spec.one_zone ? worker.zone : ""] += tasks;
    }
    return std::any_of(room.begin(), room.end(),
                       [&](const auto& entry) { return entry.second >= wanted; });
}

void World::check_waiting() {
    if (patience_ <= 0) return;
    for (const auto& [id, spec] : specs_) {
        if (!waits_in_vain(spec)) {
            waits_since_.erase(id);
            continue;
        }
        const auto since = waits_since_.try_emplace(id, now_).first->second;
        if (now_ - since > patience_) fail("waits: " + id + " beside room for it");
    }
}

// One-task jobs, several a second; of these each so-manieth is cancelled a little later.
void World::flood(const Words& words) {
    const double every = 1 / number(words, "rate", 4);
    const int count = static_cast<int>(number(words, "for", 60) / every);
    const int cancelled = static_cast<int>(number(words, "cancel", 4));
    const int term = static_cast<int>(number(words, "term", 1e6) / every);
    for (int i = 1; i <= count; ++i) {
        line("job " + words.at(1) + std::to_string(i) + " team=" + option(words, "team", "") +
             " cpus=" + option(words, "cpus", "1") + " run=" + std::to_string(1 + i % 5));
        if (i > 8 && i % cancelled == 0) line("cancel " + words[1] + std::to_string(i - i % 7));
        if (i % term == 0) {
            line("crash");
            line("takeover");
        }
        line("run " + std::to_string(every));
    }
}

// Every accepted job is known; what was not cancelled and is not mistaken is done.
void World::expect_served() {
    if (!controller_) fail("nobody acts");
    for (const auto& [id, spec] : specs_) {
        const auto terminal_state = terminal_states_.find(id);
        if (terminal_state == terminal_states_.end() && !controller_->status(id))
            fail("forgotten: " + id);
        if (terminal_state == terminal_states_.end() && !mistaken_.contains(id))
            fail("never done: " + id);
        if (terminal_state != terminal_states_.end() && mistaken_.contains(id) &&
            terminal_state->second != core::TerminalState::cancelled)
            fail("called done: " + id);
    }
}

void World::expect(const Words& words) {
    const auto& type = words.at(1);
    if (type == "served") return expect_served();
    const auto must = [&](bool ok) {
        if (ok) return;
        std::string all;
        for (const auto& word : words) all += word + " ";
        std::string commands;
        for (const auto& start : start_order_) commands += " " + start;
        fail("not so: " + all + "; starts:" + commands);
    };
    if (type == "starts") {
        // The jobs of the first starts, in order.
        Words jobs;
        for (const auto& start : start_order_) {
            const auto job = start.substr(0, start.find('/'));
            if (jobs.empty() || jobs.back() != job) jobs.push_back(job);
        }
        for (std::size_t i = 2; i < words.size(); ++i)
            must(jobs.size() > i - 2 && jobs[i - 2] == words[i]);
    } else if (type == "started") {
        const bool any = std::any_of(start_order_.begin(), start_order_.end(), [&](const auto& s) {
            return s.starts_with(words.at(2) + "/");
        });
        must(any == (words.at(3) == "yes"));
    } else if (type == "on") {  // expect on JOB/INDEX MACHINE
        const auto slash = words.at(2).find('/');
        const auto job = words[2].substr(0, slash);
        const auto index = static_cast<std::uint32_t>(std::stoul(words[2].substr(slash + 1)));
        if (words.at(3) == "nowhere") {
            for (const auto& [name, worker] : workers_) must(!worker.holds(job, index));
        } else {
            must(workers_.contains(words[3]) && workers_.at(words[3]).holds(job, index));
        }
    } else if (type == "running") {
        std::size_t n = 0;
        for (const auto& [name, worker] : workers_)
            for (const auto& task : worker.tasks)
                if (task.job == words.at(2) && task.state != TaskState::exited) ++n;
        must(n == std::stoul(words.at(3)));
    } else if (type == "final") {
        const auto it = terminal_states_.find(words.at(2));
        const auto terminal_state =
            it == terminal_states_.end() ? core::TerminalState::none : it->second;
        must((words.at(3) == "done" && terminal_state == core::TerminalState::done) ||
             (words.at(3) == "cancelled" && terminal_state == core::TerminalState::cancelled) ||
             (words.at(3) == "none" && terminal_state == core::TerminalState::none));
    } else if (type == "starts-of") {  // all of them: nothing was run again
        const auto n = std::count_if(start_order_.begin(), start_order_.end(), [&](const auto& s) {
            return s.starts_with(words.at(2) + "/");
        });
        must(n == std::stol(words.at(3)));
    } else if (type == "exited") {  // expect exited JOB/INDEX MACHINE: the worker still tells of it
        const auto& tasks = workers_.at(words.at(3)).tasks;
        must(std::any_of(tasks.begin(), tasks.end(), [&](const Task& task) {
            return task.state == TaskState::exited &&
                   task.job + "/" + std::to_string(task.index) == words.at(2);
        }));
    } else if (type == "knows") {  // a job
        must(controller_->knows(words.at(2)) == (words.at(3) == "yes"));
    } else if (type == "confirmed") {
        must(controller_->machines().at(words.at(2)).fencing.confirmed == (words.at(3) == "yes"));
    } else if (type == "session") {
        must(workers_.at(words.at(2)).agent_epoch == std::stoul(words.at(3)));
    } else if (type == "refused-writes") {
        must(refused_writes_ == std::stoi(words.at(2)));
    } else if (type == "held-orders") {  // of direct calls that are still on their way
        std::size_t n = 0;
        for (const auto& call : held_calls_) n += call.commands.size();
        must(n == std::stoul(words.at(2)));
    } else if (type == "held-reports") {
        must(held_reports_.size() == std::stoul(words.at(2)));
    } else if (type == "late-call-answers") {
        must(late_call_answers_.size() == std::stoul(words.at(2)));
    } else if (type == "late-answers") {
        must(late_answers_.size() == std::stoul(words.at(2)));
    } else if (type == "machines") {
        must(workers_.size() + booting_.size() == std::stoul(words.at(2)));
    } else if (type == "known") {
        must(controller_->machines().contains(words.at(2)) == (words.at(3) == "yes"));
    } else if (type == "released") {
        must(released_.contains(words.at(2)) == (words.at(3) == "yes"));
    } else if (type == "released-at-most") {
        must(released_.size() <= std::stoul(words.at(2)));
    } else if (type == "recorded") {
        must(records_.contains(words.at(2)) == (words.at(3) == "yes"));
    } else if (type == "start-orders-at-most") {
        must(controller_->counts().starts <= std::stoul(words.at(2)));
    } else if (type == "verdict") {
        const auto verdict = controller_->check(specs_.at(words.at(2)));
        must((verdict == core::Verdict::fits) == (words.at(3) == "fits"));
    } else {
        fail("unknown expectation " + type);
    }
}

void World::line(const std::string& text) {
    const auto words = split(text.substr(0, text.find('#')), ' ');
    if (words.empty()) return;
    const auto& verb = words[0];
    if (verb == "type") {
        core::MachineType type;
        type.name = words.at(1);
        type.size = {number(words, "cpus", 8), number(words, "gpus", 0),
                     number(words, "memory", 64)};
        type.cache_gb = number(words, "cache", 100);
        type.fetch_gb_per_s = 1;
        type.price = number(words, "price", 1);
        type.spot_price = number(words, "spot-price", 0.3);
        type.boot = Seconds(number(words, "boot", 10));
        type.zones = config_.zones;
        types_.push_back(type);
    } else if (verb == "team") {
        core::Team team;
        team.name = words.at(1);
        team.guaranteed = {number(words, "cpus", 0), number(words, "gpus", 0), 0};
        team.limit = {number(words, "cpus-max", 0), number(words, "gpus-max", 0), 0};
        config_.teams.push_back(team);
    } else if (verb == "controller" || verb == "takeover") {
        take_over();
    } else if (verb == "direct") {
        direct_ = words.at(1) == "yes";
    } else if (verb == "mend") {
        workers_.at(words.at(1)).faulty = false;
    } else if (verb == "slow-answer") {
        workers_.at(words.at(1)).slow_answer = true;
    } else if (verb == "hold-calls") {
        workers_.at(words.at(1)).calls_held = true;
    } else if (verb == "deliver-calls") {
        for (const auto& held : held_calls_) call(held, false);
        held_calls_.clear();
        for (auto& [name, worker] : workers_) worker.calls_held = false;
    } else if (verb == "catalog") {
        catalog_ = words.at(1) == "up";
        if (catalog_ && controller_) controller_->set_types(types_);
    } else if (verb == "crash") {
        controller_.reset();
    } else if (verb == "machine") {
        Worker worker;
        worker.name = words.at(1);
        worker.type = words.at(2);
        worker.zone = words.at(3);
        worker.spot = option(words, "spot", "no") == "yes";
        worker.faulty = option(words, "faulty", "no") == "yes";
        if (const auto image = option(words, "image", ""); !image.empty())
            worker.images.insert(image);
        worker.last_answered = worker.next_heartbeat = now_;
        workers_[worker.name] = worker;
    } else if (verb == "job") {
        core::JobSpec spec;
        spec.id = words.at(1);
        spec.job_class = option(words, "class", "c");
        spec.team = option(words, "team", config_.teams.empty() ? "t" : config_.teams[0].name);
        const auto kind = option(words, "kind", "array");
        spec.kind = kind == "gang"      ? core::Kind::gang
                    : kind == "service" ? core::Kind::service
                                        : core::Kind::array;
        const auto priority = option(words, "priority", "normal");
        spec.priority = priority == "low"    ? core::Priority::low
                        : priority == "high" ? core::Priority::high
                                             : core::Priority::normal;
        spec.tasks = static_cast<std::uint32_t>(number(words, "tasks", 1));
        spec.need = {number(words, "cpus", 1), number(words, "gpus", 0),
                     number(words, "memory", 1)};
        spec.image = option(words, "image", "img");
        spec.image_gb = number(words, "image-gb", 0);
        if (const auto zone = option(words, "zone", ""); !zone.empty()) spec.zone = zone;
        if (const auto types = option(words, "types", ""); !types.empty())
            spec.types = split(types, ',');
        spec.one_zone = option(words, "one-zone", "no") == "yes";
        spec.spread = option(words, "spread", "no") == "yes";
        spec.spot = option(words, "spot", "no") == "yes";
        const double run = number(words, "run", 10);
        run_time_[spec.id] = run;
        if (option(words, "mistaken", "no") == "yes") mistaken_.insert(spec.id);
        spec.estimate = Seconds(number(words, "estimate", run));
        spec.checkpoint = Seconds(number(words, "checkpoint", 0));
        spec.save_time = Seconds(number(words, "save", 0));
        specs_[spec.id] = spec;
        const auto submit = option(words, "submit", "yes");
        if (submit == "elsewhere") {
            // Another controller has written its first record.
            core::JobRecord record;
            record.spec = spec;
            jobs_[spec.id] = {record, ++revision_};
        }
        if (submit == "yes") submitting_.insert(spec.id);
        if (submit == "yes" && controller_)
            controller_->accept(spec, core::WallTime{} + std::chrono::seconds(specs_.size()), at());
        write_records();
    } else if (verb == "learn") {
        for (const auto& [id, record] : jobs_)
            if (record.first.home.empty()) controller_->learn(record.first, record.second, at());
    } else if (verb == "cancel") {
        if (controller_) controller_->cancel(words.at(1), at());
        cancelling_.insert(words.at(1));
        write_records();
    } else if (verb == "run") {
        const double until = now_ + std::stod(words.at(1));
        while (now_ < until - 1e-9) step();
    } else if (verb == "cut" || verb == "heal") {
        workers_.at(words.at(1)).reachable = verb == "heal";
    } else if (verb == "deafen" || verb == "undeafen") {
        workers_.at(words.at(1)).deaf = verb == "deafen";
    } else if (verb == "mute" || verb == "unmute") {
        workers_.at(words.at(1)).mute = verb == "mute";
    } else if (verb == "slow-call") {
        workers_.at(words.at(1)).slow_call = true;
    } else if (verb == "writes") {
        writes_ = words.at(1) == "slow"         ? Writes::slow
                  : words.at(1) == "refused"    ? Writes::refused
                  : words.at(1) == "unanswered" ? Writes::unanswered
                                                : Writes::prompt;
        writes_late_ = words.size() > 2 ? std::stod(words[2]) : 0;
    } else if (verb == "resubmit") {
        controller_->accept(specs_.at(words.at(1)), core::WallTime{}, at());
    } else if (verb == "flood") {
        flood(words);
    } else if (verb == "patience") {
        patience_ = std::stod(words.at(1));
        waits_since_.clear();
    } else if (verb == "users") {
        users_repeat_ = words.at(1) == "repeat";
    } else if (verb == "split") {
        // Another controller takes the role; the former one goes on with these workers.
        elder_ = std::move(controller_);
        for (std::size_t i = 1; i < words.size(); ++i)
            if (const auto it = workers_.find(words[i]); it != workers_.end())
                it->second.with_elder = true;
        take_over();
    } else if (verb == "join") {
        elder_.reset();
        for (auto& [name, worker] : workers_) worker.with_elder = false;
    } else if (verb == "stand-still") {
        stand_still(std::stod(words.at(1)));
    } else if (verb == "unreadable-machine") {
        unreadable_.insert(words.at(1));
    } else if (verb == "hang" || verb == "resume") {
        workers_.at(words.at(1)).hung = verb == "hang";
    } else if (verb == "notice") {
        workers_.at(words.at(1)).notice = std::stod(words.at(2));
        workers_.at(words.at(1)).next_heartbeat = now_;
    } else if (verb == "unnotice") {
        workers_.at(words.at(1)).notice.reset();
    } else if (verb == "kill") {
        workers_.at(words.at(1)).dead = true;
        workers_.at(words.at(1)).tasks.clear();
    } else if (verb == "hold-report") {
        // The report is made now and arrives later; its answer is lost.
        auto& worker = workers_.at(words.at(1));
        held_reports_.push_back({worker, worker.heartbeat()});
    } else if (verb == "deliver-held") {
        for (auto& held : held_reports_) deliver(held.worker, held.heartbeat, false);
        held_reports_.clear();
    } else if (verb == "lose-answer") {
        // A report is handled, but the worker gave up waiting: no order takes effect.
        auto& worker = workers_.at(words.at(1));
        deliver(worker, worker.heartbeat(), false);
    } else if (verb == "state") {
        state_up_ = words.at(1) == "up";
    } else if (verb == "cloud") {
        cloud_up_ = words.at(1) == "up";
    } else if (verb == "list-lag") {
        config_.list_lag = Seconds(std::stod(words.at(1)));
    } else if (verb == "list") {
        // As the cloud tells it now; of machines that live, `without` one.
        std::vector<core::ListedMachine> list;
        for (const auto& [name, worker] : workers_)
            if (!worker.dead && name != option(words, "without", ""))
                list.push_back({name, name, worker.type, worker.zone, worker.spot,
                                core::MachineStage::running, Seconds{0}});
        controller_->listed(list, at(), at());
    } else if (verb == "rent") {
        auto_rent_ = words.at(1) == "yes";
        capacity_ = static_cast<int>(number(words, "capacity", 1000));
        boot_ = number(words, "boot", 5);
    } else if (verb == "start-within") {
        config_.objectives.start_within[words.at(1)] = Seconds(std::stod(words.at(2)));
    } else if (verb == "headroom") {
        config_.headroom = std::stod(words.at(1));
    } else if (verb == "floors") {
        config_.floors.whole = std::stod(words.at(1));
        config_.floors.patience = Seconds(std::stod(words.at(2)));
    } else if (verb == "keep-idle") {
        config_.idle_return = Seconds(std::stod(words.at(1)));
    } else if (verb == "expect") {
        expect(words);
    } else {
        fail("unknown verb " + verb);
    }
}

}  // namespace bendspindle::standin
