#include "daemon/service.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdlib>
#include <thread>

#include "daemon/stop_signal.hpp"
#include "leadership/peer_sockets.hpp"
#include "wire/agent_messages.hpp"
#include "wire/records.hpp"
#include "wire/user_messages.hpp"

namespace bendspindle::daemon {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* cbor = "application/cbor";
constexpr milliseconds record_limit{2500};  // users give up after 5 s
// An open job's state that was asked for longer ago is asked for once more before it is told: the
// controller may have stood still, and others told newer states meanwhile.
constexpr milliseconds told_within{500};
// The same for a 201, whose state was not read at all: the transaction that it answers left it.
constexpr milliseconds accepted_within{50};
constexpr seconds health_memory{6};
// Of the requests that the state service takes, for reading what users ask about.
constexpr double share_for_polls = 0.85;
constexpr seconds polls_in_hand{2};  // about a lease without anybody who acts, on a usual day
// The one that acts speaks each second, the state service is asked each second.
constexpr milliseconds own_trouble{2500};
constexpr milliseconds least_between_cycles{250};
constexpr milliseconds load_retry{300};
constexpr milliseconds announce_every{1000};
constexpr milliseconds watch_wait{10'000};
constexpr milliseconds learn_pause{100};
constexpr milliseconds look_for_stop{250};
constexpr milliseconds stop_step{20};
constexpr milliseconds longest_stop{3000};

core::JobStatus terminal_status(core::TerminalState terminal_state) {
    return core::JobStatus{terminal_state, 0, 0};
}

// Whether others may have told a newer state than this answer's since it was asked for.
bool aged(const wire::Response& response, std::chrono::steady_clock::time_point asked) {
    if (std::chrono::steady_clock::now() - asked <= told_within) return false;
    if (response.status == 404) return true;
    return response.status == 200 && !wire::terminal_state_in_status(response.body);
}

}  // namespace

Service::Service(config::Settings settings, config::OperatorSettings own)
    : settings_(std::move(settings)),
      own_(std::move(own)),
      store_(settings_.state),
      terminal_states_(own_.terminal_states_cached),
      elector_(store_, settings_.name, own_.lease,
               {[this](std::uint64_t term, std::uint64_t mod_revision) {
                    take_over(term, mod_revision);
                },
                [this] { on_deposed(); }}),
      peers_(leadership::peer_names(settings_), leadership::socket_link(settings_)),
      replication_(settings_.name, settings_.workers, elector_, peers_),
      state_writer_(leader_state_, store_, terminal_states_, settings_.state_limits),
      job_admission_(store_, settings_.state_limits),
      cloud_(leader_state_, settings_, [this] { return elector_.lease_valid(); }),
      agent_commands_(leader_state_),
      heartbeats_(settings_.workers, leader_state_, elector_, peers_, replication_),
      poll_reads_(std::max(settings_.state_limits.requests_per_s * share_for_polls /
                               static_cast<double>(settings_.peers.size() + 1),
                           1.0),
                  polls_in_hand) {}

void Service::take_over(std::uint64_t term, std::uint64_t leader_key_revision) {
    heartbeats_.on_elected();
    replication_.on_elected();
    // Loading runs beside the renewal of the lease, which this thread must not hold up.
    std::thread([this, term, leader_key_revision,
                 log = state::FailoverProgress(Clock::now())]() mutable {
        std::unique_ptr<core::Controller> controller;
        std::optional<std::uint64_t> revision;
        for (;;) {
            const auto now = elector_.status();
            if (!now.leading || now.term != term) return;
            controller =
                std::make_unique<core::Controller>(config::core_config(settings_, own_), term);
            revision = load(*controller);
            if (revision) break;
            std::this_thread::sleep_for(load_retry);
        }
        const std::lock_guard lock(leader_state_.mutex);
        const auto now = elector_.status();
        if (!now.leading || now.term != term) return;
        controller->hold_terminal_states_until(elector_.terminal_states_allowed_from());
        log.loaded(*controller, Clock::now());
        leader_state_.failover_progress = log;
        leader_state_.news.begin(*revision);
        leader_state_.install(std::move(controller), leader_key_revision);
    }).detach();
}

std::optional<std::uint64_t> Service::load(core::Controller& controller) {
    const auto machines = store_.list(state::keys::machines);
    if (machines.outcome != state::StoreStatus::ok) return std::nullopt;
    const auto now = Clock::now();
    for (const auto& entry : machines.entries) {
        const auto name = entry.key.substr(std::string(state::keys::machines).size());
        const auto machine = wire::parse_machine_record(name, entry.value);
        // Guard against nobody acting for ever: one record that could not be read kept each
        // controller in turn from taking over. A machine without a readable record is asked back
        // once it shows itself (`Fleet::watch`); its record stays as it is.
        if (!machine) {
            spdlog::error("record {} cannot be read; set aside", entry.key);
            controller.load_unreadable_machine(name, entry.mod_revision, now);
            continue;
        }
        controller.load_machine(*machine, entry.mod_revision, now);
    }
    const auto jobs = store_.list(state::keys::jobs);
    if (jobs.outcome != state::StoreStatus::ok) return std::nullopt;
    std::vector<std::pair<core::JobRecord, std::uint64_t>> records;
    for (const auto& entry : jobs.entries) {
        auto record = wire::parse_job_record(entry.value);
        // It stays as it is and its user is told so; all others go on.
        if (!record) {
            spdlog::error("record {} cannot be read; set aside", entry.key);
            controller.quarantine(entry.key.substr(std::string(state::keys::jobs).size()));
            continue;
        }
        records.emplace_back(std::move(*record), entry.mod_revision);
    }
    std::sort(records.begin(), records.end(),
              [](const auto& a, const auto& b) { return a.first.submitted < b.first.submitted; });
    for (const auto& [record, mod_revision] : records)
        controller.load_job(record, mod_revision, Clock::now());
    return jobs.revision;
}

// Records that another controller has written for jobs it accepted: nobody has adopted them yet.
void Service::adopt_jobs(const std::vector<wire::Entry>& entries, std::uint64_t revision,
                         std::uint64_t term) {
    const std::lock_guard lock(leader_state_.mutex);
    if (!leader_state_.controller || leader_state_.controller->term() != term) return;
    // Guard against ran_twice: without a valid lease another controller may act already, and it
    // would take this one to have known nothing of younger records. They are asked for again.
    if (!elector_.lease_valid()) return;
    bool some = false;
    for (const auto& entry : entries) {
        const auto record = wire::parse_job_record(entry.value);
        // Guard against doing finished work again, and telling its user so: a record that this
        // controller has written, or whose job is over, may be told of late.
        if (!record || !record->home.empty()) continue;
        if (!leader_state_.news.is_new(record->spec.id, entry.mod_revision)) continue;
        some |= leader_state_.controller->learn(*record, entry.mod_revision, Clock::now());
    }
    leader_state_.news.reached(revision);
    if (some) leader_state_.want_place();
}

// One that another controller has accepted a moment ago, before the news of it came. False: it is
// not open, or is not to be learned now.
bool Service::adopt_job(const std::string& id, std::uint64_t term) {
    const auto open = store_.get(state::keys::job(id));
    if (open.outcome != state::StoreStatus::ok) return false;
    adopt_jobs({open.entry}, 0, term);
    const std::lock_guard lock(leader_state_.mutex);
    return leader_state_.controller && leader_state_.controller->term() == term &&
           leader_state_.controller->knows(id);
}

void Service::learn() {
    for (;;) {
        std::uint64_t term = 0;
        std::uint64_t since = 0;
        {
            const std::lock_guard lock(leader_state_.mutex);
            if (leader_state_.controller) {
                term = leader_state_.controller->term();
                since = leader_state_.news.revision();
            }
        }
        if (term != 0) {
            auto news = store_.watch(state::keys::jobs, since, watch_wait);
            if (news.outcome == state::StoreStatus::too_old) news = store_.list(state::keys::jobs);
            if (news.outcome == state::StoreStatus::ok)
                adopt_jobs(news.entries, news.revision, term);
        }
        // This controller's own writes end the wait too; a pause lets several come together.
        std::this_thread::sleep_for(learn_pause);
    }
}

void Service::on_deposed() {
    const std::lock_guard lock(leader_state_.mutex);
    if (leader_state_.controller)
        replication_.on_deposed(leadership::cancelled_jobs(*leader_state_.controller));
    leader_state_.controller.reset();
    leader_state_.recorded.notify_all();
}

template <typename Ready>
bool Service::wait_recorded(std::unique_lock<std::mutex>& lock, Ready ready) {
    leader_state_.want_write();
    return leader_state_.recorded.wait_for(lock, record_limit, ready);
}

std::optional<wire::Response> Service::from_terminal_cache(const std::string& id,
                                                           bool with_counts) {
    const auto terminal_state = terminal_states_.get(id);
    if (!terminal_state) return std::nullopt;
    return wire::Response{200, 0,
                          wire::status_body(id, terminal_status(*terminal_state), with_counts)};
}

// Guard against leases that end for a flood of questions: while nobody acts each poll reads
// records, and the state service refused renewals and writes together with them.
wire::Response Service::poll_records(const std::string& id, bool with_counts) {
    {
        const std::lock_guard lock(reads_mutex_);
        if (!poll_reads_.take(Clock::now())) return wire::unavailable("too many questions at once");
    }
    return from_records(id, with_counts);
}

// Of a job that this controller holds open but may tell nothing of: its first or its final record
// is under way, or the lease is gone.
wire::Response Service::known_by_records(const std::string& id, bool with_counts) {
    auto response = poll_records(id, with_counts);
    return response.status == 404 ? wire::unavailable("the job is being recorded") : response;
}

wire::Response Service::from_records(const std::string& id, bool with_counts) {
    const auto asked = Clock::now();
    auto response = read_records(id, with_counts);
    return aged(response, asked) ? read_records(id, with_counts) : response;
}

// The records have the last word. The open record is read first: a job that ends between the two
// reads is then found by the second.
wire::Response Service::read_records(const std::string& id, bool with_counts) {
    const auto open = store_.get(state::keys::job(id));
    if (open.outcome == state::StoreStatus::ok) {
        const auto record = wire::parse_job_record(open.entry.value);
        if (!record) return wire::unavailable("the record cannot be read");
        core::JobStatus status;
        for (const auto& [first, last] : record->done) status.done += last - first + 1;
        return {200, 0, wire::status_body(id, status, with_counts)};
    }
    if (open.outcome != state::StoreStatus::absent)
        return wire::unavailable("the state service does not answer");
    const auto over = store_.get(state::keys::over(id));
    if (over.outcome == state::StoreStatus::ok) {
        const auto terminal_state = wire::parse_terminal_record(over.entry.value);
        if (!terminal_state) return wire::unavailable("the record cannot be read");
        terminal_states_.put(id, *terminal_state);
        return {200, 0, wire::status_body(id, terminal_status(*terminal_state), with_counts)};
    }
    if (over.outcome != state::StoreStatus::absent)
        return wire::unavailable("the state service does not answer");
    return {404, 0, wire::error_body("no such job")};
}

wire::Response Service::accept_elsewhere(const core::JobSpec& spec) {
    const auto verdict = core::judge(spec, settings_.teams, leader_state_.types());
    if (verdict == core::Verdict::not_ready)
        return wire::unavailable("machine types are not known yet");
    if (verdict == core::Verdict::never_fits) {
        // It may have been accepted before teams or types changed; accepted stays accepted.
        auto response = from_records(spec.id, false);
        if (response.status == 404) return {422, 0, wire::error_body("the job can never run")};
        return response;
    }
    core::JobRecord record;
    record.spec = spec;
    record.submitted = std::chrono::system_clock::now();
    const auto answer = job_admission_.accept(std::move(record));
    if (answer.outcome == state::JobAdmission::Result::failed)
        return wire::unavailable("the job could not be recorded in time");
    const bool accepted = answer.outcome == state::JobAdmission::Result::accepted;
    if (accepted && Clock::now() - answer.sent <= accepted_within)
        return {201, 0, wire::status_body(spec.id, core::JobStatus{}, false)};
    // Guard against went_back: with the transaction's answer held up for a second the 201 "queued"
    // left after others had told the job's end.
    auto response = from_records(spec.id, false);
    if (response.status == 404) return wire::unavailable("the record is changing");
    if (accepted && response.status == 200) response.status = 201;
    return response;
}

wire::Response Service::submit(const std::string& body) {
    const auto parsed = wire::parse_job(body);
    if (!parsed.job) return {400, 0, wire::error_body(parsed.error)};
    const auto& id = parsed.job->id;
    if (auto response = from_terminal_cache(id, false)) return *response;
    if (!elector_.status().leading) return accept_elsewhere(*parsed.job);
    if (!elector_.lease_valid()) return wire::unavailable("the state service does not answer", 2);

    std::unique_lock lock(leader_state_.mutex);
    if (!leader_state_.controller) {
        lock.unlock();
        return accept_elsewhere(*parsed.job);
    }
    // Guard against overwriting what another version may be able to read.
    if (leader_state_.controller->quarantined(id))
        return wire::unavailable("the record cannot be read", 5);
    const auto verdict = leader_state_.controller->check(*parsed.job);
    if (verdict == core::Verdict::not_ready)
        return wire::unavailable("machine types are not known yet");
    if (verdict == core::Verdict::never_fits && !leader_state_.controller->knows(id)) {
        lock.unlock();
        // It may have been accepted before teams or types changed; accepted stays accepted.
        auto response = from_records(id, false);
        if (response.status == 404) return {422, 0, wire::error_body("the job can never run")};
        return response;
    }
    const bool fresh = leader_state_.controller->accept(
        *parsed.job, std::chrono::system_clock::now(), Clock::now());
    wait_recorded(lock, [&] {
        return !leader_state_.controller || !leader_state_.controller->knows(id) ||
               leader_state_.controller->durable(id);
    });
    // Guard against went_back: the wait may have been long, and the lease is gone since.
    if (leader_state_.controller && elector_.lease_valid())
        if (const auto status = leader_state_.controller->status(id))
            return {fresh && !leader_state_.controller->found(id) ? 201 : 200, 0,
                    wire::status_body(id, *status, false)};
    lock.unlock();
    // Over already, or a write has not come through.
    if (auto response = from_terminal_cache(id, false)) return *response;
    return known_by_records(id, false);
}

wire::Response Service::status(const std::string& id, agents::RequestOrigin from) {
    if (!wire::valid_job_id(id)) return {404, 0, wire::error_body("no such job")};
    if (auto response = from_terminal_cache(id, true)) return *response;
    if (!elector_.status().leading) {
        if (from == agents::RequestOrigin::peer)
            return wire::unavailable("another controller acts");
        const auto asked = Clock::now();
        auto response =
            leadership::forward_to_leader(wire::peer::Op::status, id, {}, elector_, peers_);
        if (response && response->status != 503 && !aged(*response, asked)) {
            // Final for good: the next to ask here needs nobody else.
            if (const auto terminal_state = wire::terminal_state_in_status(response->body))
                terminal_states_.put(id, *terminal_state);
            return *response;
        }
        return poll_records(id, true);
    }
    // Without the lease another controller may have told a newer state already.
    bool known = false;
    {
        const std::lock_guard lock(leader_state_.mutex);
        // Looked at after the wait for the lock, not before: nothing blocks from here to the
        // answer.
        if (leader_state_.controller && elector_.lease_valid()) {
            if (const auto status = leader_state_.controller->status(id))
                return {200, 0, wire::status_body(id, *status, true)};
            known = leader_state_.controller->knows(id);
        }
    }
    return known ? known_by_records(id, true) : poll_records(id, true);
}

wire::Response Service::cancel(const std::string& id, agents::RequestOrigin from) {
    if (!wire::valid_job_id(id)) return {404, 0, wire::error_body("no such job")};
    if (auto response = from_terminal_cache(id, false)) return *response;
    if (!elector_.status().leading) {
        if (from == agents::RequestOrigin::peer)
            return wire::unavailable("another controller acts");
        if (auto response =
                leadership::forward_to_leader(wire::peer::Op::cancel, id, {}, elector_, peers_))
            return *response;
        return wire::unavailable("no controller acts");
    }
    if (!elector_.lease_valid()) return wire::unavailable("the state service does not answer", 2);
    std::unique_lock lock(leader_state_.mutex);
    if (!leader_state_.controller) return wire::unavailable("taking over");
    const auto term = leader_state_.controller->term();
    const bool known = leader_state_.controller->knows(id);
    lock.unlock();
    if (!known) {
        auto response = from_records(id, false);
        if (response.status != 200 || wire::terminal_state_in_status(response.body))
            return response;
        if (!adopt_job(id, term)) return wire::unavailable("the job is not loaded");
    }
    if (!replication_.replicate_cancellation(id, term))
        return wire::unavailable("the other controllers cannot be told");
    lock.lock();
    if (!leader_state_.controller || leader_state_.controller->term() != term)
        return wire::unavailable("taking over");
    // Guard against ran_cancelled: a former controller that hears neither the state service nor
    // this one renewed the leases of its workers through an outage, and nobody was left to end
    // them. With enough peers that know who acts it finds none to vouch for it.
    if (leader_state_.controller->may_have_unfenced_tasks(id) && !replication_.acknowledged_by_quorum())
        return wire::unavailable("the other controllers are being told who acts");
    leader_state_.controller->cancel(id, Clock::now());
    leader_state_.want_place();  // its stops go out at once
    wait_recorded(lock, [&] {
        if (!leader_state_.controller) return true;
        const auto status = leader_state_.controller->status(id);
        return !leader_state_.controller->knows(id) ||
               (status && status->terminal_state != core::TerminalState::none);
    });
    lock.unlock();
    if (auto response = from_terminal_cache(id, false)) return *response;
    // Its write may have been carried out without an answer.
    if (auto response = poll_records(id, false); wire::terminal_state_in_status(response.body))
        return response;
    return wire::unavailable("the cancellation could not be recorded in time");
}

wire::Response Service::answer_cancellation_snapshot(const std::string& peer) {
    if (!elector_.status().leading) return replication_.follower_snapshot();
    const std::lock_guard lock(leader_state_.mutex);
    if (!leader_state_.controller) return {503, 0, {}};
    return replication_.leader_snapshot(peer,
                                        leadership::cancelled_jobs(*leader_state_.controller));
}

wire::peer::Answer Service::answer_peer(const wire::peer::Request& request) {
    peers_.was_called();
    wire::Response response;
    switch (request.op) {
        case wire::peer::Op::status:
            response = status(request.id, agents::RequestOrigin::peer);
            break;
        case wire::peer::Op::cancel:
            response = cancel(request.id, agents::RequestOrigin::peer);
            break;
        case wire::peer::Op::heartbeat:
            response = heartbeats_.heartbeat(request.body, agents::RequestOrigin::peer);
            break;
        case wire::peer::Op::leader_announcement:
            if (request.term >= elector_.status().term) leader_heard_at_ = Clock::now();
            elector_.learn_leader(request.term, request.id);
            response.status = 200;
            break;
        case wire::peer::Op::cancellation_snapshot:
            response = answer_cancellation_snapshot(request.id);
            break;
        case wire::peer::Op::cancelled:
            response = replication_.record_cancellation(request.id, request.term);
            break;
    }
    return {static_cast<std::uint16_t>(response.status),
            static_cast<std::uint16_t>(response.retry_after), elector_.status().term,
            std::move(response.body)};
}

bool Service::healthy() const {
    if (!leader_state_.knows_types()) return false;
    const auto now = Clock::now();
    // Guard against users held by a controller that can accept nothing: the one that acts has the
    // state service and says so, this one has it not. In an outage for all nobody says so.
    if (now - store_.last_success() > own_trouble && now - leader_heard_at_.load() < own_trouble)
        return false;
    return now - store_.last_success() < health_memory ||
           now - peers_.last_contact() < health_memory;
}

void Service::announce() {
    for (;;) {
        replication_.round();
        if (elector_.status().leading) yield_if_unreachable();
        std::this_thread::sleep_for(announce_every);
    }
}

void Service::yield_if_unreachable() {
    if (!heartbeats_.detect_inbound_unreachable()) return;
    spdlog::info("workers reach siblings only; another controller may act");
    elector_.yield_leadership();
}

// Where the time until each start went, for those who want to know: at debug level.
void Service::tell_starts(core::Controller& controller) {
    for (const auto& s : controller.take_started())
        spdlog::debug(
            "started {} of {} for {}, {} tasks, after {:.2f} s: record {:.2f}, room {:.2f}, {} "
            "{:.2f}, report {:.2f}, image {:.2f}",
            s.job, s.job_class, s.team, s.tasks, s.total().count(), s.record.count(),
            s.room.count(), s.stopped_others ? "stopping others" : "not stopping", s.saves.count(),
            s.heartbeat.count(), s.image.count());
}

void Service::place() {
    auto next = Clock::now();
    for (;;) {
        std::unique_lock lock(leader_state_.mutex);
        leader_state_.place_wanted.wait_for(lock, own_.cycle,
                                            [&] { return leader_state_.place_pending; });
        if (Clock::now() < next) {
            lock.unlock();
            std::this_thread::sleep_until(next);
            lock.lock();
        }
        leader_state_.place_pending = false;
        std::vector<core::DirectCommand> calls;
        if (leader_state_.controller) {
            leader_state_.controller->hold_terminal_states_until(
                elector_.terminal_states_allowed_from());
            leader_state_.controller->cycle(Clock::now());
            // Guard against ran_cancelled: a former controller went on starting by direct call, in
            // the session that followed the lease it no longer renewed, what another had cancelled.
            calls =
                leader_state_.controller->direct_commands(Clock::now(), replication_.may_renew());
            tell_starts(*leader_state_.controller);
            if (leader_state_.failover_progress)
                leader_state_.failover_progress->look(*leader_state_.controller, Clock::now());
            if (leader_state_.failover_progress &&
                leader_state_.failover_progress->progressed(Clock::now()))
                elector_.made_progress();
        }
        lock.unlock();
        for (auto& call : calls) agent_commands_.send(std::move(call));
        next = Clock::now() + least_between_cycles;
    }
}

// In this order: new connections are refused, so that the load balancer goes on to the next
// controller; requests under way get their answers; the role is handed over, so that another
// controller acts at once. Nothing of this is needed for safety: a process that is killed leaves
// the same to its successor, which only begins a lease later.
void Service::stop_when_asked(io::HttpServer& http) {
    take_stop_signals_here();
    while (!stop_asked()) std::this_thread::sleep_for(look_for_stop);
    spdlog::info("asked to stop");
    http.stop_accepting();
    const auto until = Clock::now() + longest_stop;
    while (!http.quiet() && Clock::now() < until) std::this_thread::sleep_for(stop_step);
    elector_.resign();
    spdlog::info("stopped");
    // The other threads wait in calls and for work, and use what destructors would take away.
    std::_Exit(0);
}

bool Service::run() {
    io::HttpServerLimits limits;
    limits.max_threads = config::max_connections(settings_, own_);
    limits.max_waiting = config::max_waiting_connections(settings_, limits.max_threads);
    io::HttpServer http(limits);
    const auto send = [](const wire::Response& answer, httplib::Response& response) {
        response.status = answer.status;
        if (answer.retry_after > 0)
            response.set_header("Retry-After", std::to_string(answer.retry_after));
        response.set_content(answer.body, cbor);
    };
    http.Get(wire::path::health, [&](const httplib::Request&, httplib::Response& response) {
        response.status = healthy() ? 200 : 503;
    });
    http.Post(wire::path::work, [&](const httplib::Request& request, httplib::Response& response) {
        send(submit(request.body), response);
    });
    http.Get(R"(/work/([^/]*))", [&](const httplib::Request& request, httplib::Response& response) {
        send(status(request.matches[1], agents::RequestOrigin::client), response);
    });
    http.Post(R"(/work/([^/]*)/cancel)",
              [&](const httplib::Request& request, httplib::Response& response) {
                  send(cancel(request.matches[1], agents::RequestOrigin::client), response);
              });
    http.Post(
        wire::path::heartbeat, [&](const httplib::Request& request, httplib::Response& response) {
            send(heartbeats_.heartbeat(request.body, agents::RequestOrigin::client), response);
        });
    http.set_error_handler([](const httplib::Request& request, httplib::Response& response) {
        if (!response.body.empty()) return;
        // The protocol has one word for bodies that are too large or broken: malformed.
        if (response.status == 413) response.status = 400;
        const auto& path = request.path;
        // An id may be any text: asked for in the right way, it is unknown, not a wrong method.
        const bool asked =
            path.starts_with("/work/") &&
            (request.method == "GET" || (request.method == "POST" && path.ends_with("/cancel")));
        const bool known = path == wire::path::work || path == wire::path::heartbeat ||
                           path == wire::path::health || (path.starts_with("/work/") && !asked);
        if (response.status == 404 && known) response.status = 405;
        response.set_content(wire::error_body("not served"), cbor);
    });

    io::PeerServer peers([this](const auto& request) { return answer_peer(request); },
                         [](const auto& what) { spdlog::info("{}", what); });
    if (!http.bind(settings_.listen.host, settings_.listen.port)) {
        spdlog::error("listen: the address cannot be bound");
        return false;
    }
    if (!peers.bind(settings_.internal)) {
        spdlog::error("internal_addr: the address cannot be bound");
        return false;
    }
    std::thread([this] { cloud_.run(); }).detach();
    std::thread([this] { elector_.run(); }).detach();
    std::thread([this] { elector_.watch(); }).detach();
    std::thread([this] { state_writer_.run(); }).detach();
    std::thread([this] { job_admission_.run(); }).detach();
    std::thread([this] { learn(); }).detach();
    std::thread([this] { place(); }).detach();
    std::thread([this] { announce(); }).detach();
    agent_commands_.start();
    std::thread([&peers] { peers.run(); }).detach();
    std::thread stopper([this, &http] { stop_when_asked(http); });
    spdlog::info("{} serves", settings_.name);
    http.listen_after_bind();
    if (stop_asked()) stopper.join();  // and with it the process
    spdlog::error("the listening socket has failed");
    std::_Exit(1);
}

}  // namespace bendspindle::daemon
