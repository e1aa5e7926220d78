#include "app/service.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdlib>
#include <thread>

#include "app/stop_signal.hpp"
#include "wire/records.hpp"
#include "wire/users.hpp"
#include "wire/workers.hpp"

namespace bendspindle::app {

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

core::JobStatus final_status(core::Final final) {
    return core::JobStatus{final, 0, 0};
}

// Whether others may have told a newer state than this answer's since it was asked for.
bool aged(const Reply& reply, std::chrono::steady_clock::time_point asked) {
    if (std::chrono::steady_clock::now() - asked <= told_within) return false;
    if (reply.status == 404) return true;
    return reply.status == 200 && !wire::final_in_status(reply.body);
}

}  // namespace

Service::Service(Settings settings, OperatorSettings own)
    : settings_(std::move(settings)),
      own_(std::move(own)),
      store_(settings_.state),
      finals_(own_.finals_cached),
      membership_(store_, settings_.name, own_.lease,
                  {[this](std::uint64_t epoch, std::uint64_t stamp) { take_over(epoch, stamp); },
                   [this] { stand_down(); }}),
      peers_(peer_names(settings_), socket_link(settings_)),
      replication_(settings_.name, settings_.workers, membership_, peers_),
      recorder_(office_, store_, finals_, settings_.state_limits),
      acceptor_(store_, settings_.state_limits),
      cloud_(office_, settings_, [this] { return membership_.lease_valid(); }),
      courier_(office_),
      reports_(settings_.workers, office_, membership_, peers_, replication_),
      poll_reads_(std::max(settings_.state_limits.requests_per_s * share_for_polls /
                               static_cast<double>(settings_.siblings.size() + 1),
                           1.0),
                  polls_in_hand) {}

void Service::take_over(std::uint64_t epoch, std::uint64_t steward_stamp) {
    reports_.took_over();
    replication_.took_over();
    // Loading runs beside the renewal of the lease, which this thread must not hold up.
    std::thread([this, epoch, steward_stamp, log = TakeoverLog(Clock::now())]() mutable {
        std::unique_ptr<core::Controller> controller;
        std::optional<std::uint64_t> revision;
        for (;;) {
            const auto now = membership_.standing();
            if (!now.acting || now.epoch != epoch) return;
            controller = std::make_unique<core::Controller>(core_config(settings_, own_), epoch);
            revision = load(*controller);
            if (revision) break;
            std::this_thread::sleep_for(load_retry);
        }
        const std::lock_guard lock(office_.mutex);
        const auto now = membership_.standing();
        if (!now.acting || now.epoch != epoch) return;
        controller->hold_finals_until(membership_.finals_from());
        log.loaded(*controller, Clock::now());
        office_.takeover_log = log;
        office_.news.begin(*revision);
        office_.install(std::move(controller), steward_stamp);
    }).detach();
}

std::optional<std::uint64_t> Service::load(core::Controller& controller) {
    const auto machines = store_.list("machine/");
    if (machines.outcome != Outcome::ok) return std::nullopt;
    const auto now = Clock::now();
    for (const auto& entry : machines.entries) {
        const auto name = entry.key.substr(std::string("machine/").size());
        const auto machine = wire::parse_machine_record(name, entry.value);
        // Guard against nobody acting for ever: one record that could not be read kept each
        // controller in turn from taking over. A machine without a readable record is asked back
        // once it shows itself (`Fleet::watch`); its record stays as it is.
        if (!machine) {
            spdlog::error("record {} cannot be read; set aside", entry.key);
            controller.load_unreadable_machine(name, entry.stamp, now);
            continue;
        }
        controller.load_machine(*machine, entry.stamp, now);
    }
    const auto jobs = store_.list(keys::jobs);
    if (jobs.outcome != Outcome::ok) return std::nullopt;
    std::vector<std::pair<core::JobRecord, std::uint64_t>> records;
    for (const auto& entry : jobs.entries) {
        auto record = wire::parse_job_record(entry.value);
        // It stays as it is and its user is told so; all others go on.
        if (!record) {
            spdlog::error("record {} cannot be read; set aside", entry.key);
            controller.set_aside(entry.key.substr(std::string(keys::jobs).size()));
            continue;
        }
        records.emplace_back(std::move(*record), entry.stamp);
    }
    std::sort(records.begin(), records.end(),
              [](const auto& a, const auto& b) { return a.first.submitted < b.first.submitted; });
    for (const auto& [record, stamp] : records) controller.load_job(record, stamp, Clock::now());
    return jobs.revision;
}

// Records that another controller has written for jobs it accepted: nobody has adopted them yet.
void Service::learn_jobs(const std::vector<wire::Entry>& entries, std::uint64_t revision,
                         std::uint64_t epoch) {
    const std::lock_guard lock(office_.mutex);
    if (!office_.controller || office_.controller->epoch() != epoch) return;
    // Guard against ran_twice: without a valid lease another controller may act already, and it
    // would take this one to have known nothing of younger records. They are asked for again.
    if (!membership_.lease_valid()) return;
    bool some = false;
    for (const auto& entry : entries) {
        const auto record = wire::parse_job_record(entry.value);
        // Guard against doing finished work again, and telling its user so: a record that this
        // controller has written, or whose job is over, may be told of late.
        if (!record || !record->home.empty()) continue;
        if (!office_.news.is_new(record->spec.id, entry.stamp)) continue;
        some |= office_.controller->learn(*record, entry.stamp, Clock::now());
    }
    office_.news.reached(revision);
    if (some) office_.want_place();
}

// One that another controller has accepted a moment ago, before the news of it came. False: it is
// not open, or is not to be learned now.
bool Service::learn_job(const std::string& id, std::uint64_t epoch) {
    const auto open = store_.get(keys::job(id));
    if (open.outcome != Outcome::ok) return false;
    learn_jobs({open.entry}, 0, epoch);
    const std::lock_guard lock(office_.mutex);
    return office_.controller && office_.controller->epoch() == epoch &&
           office_.controller->knows(id);
}

void Service::learn() {
    for (;;) {
        std::uint64_t epoch = 0;
        std::uint64_t since = 0;
        {
            const std::lock_guard lock(office_.mutex);
            if (office_.controller) {
                epoch = office_.controller->epoch();
                since = office_.news.revision();
            }
        }
        if (epoch != 0) {
            auto news = store_.watch(keys::jobs, since, watch_wait);
            if (news.outcome == Outcome::too_old) news = store_.list(keys::jobs);
            if (news.outcome == Outcome::ok) learn_jobs(news.entries, news.revision, epoch);
        }
        // This controller's own writes end the wait too; a pause lets several come together.
        std::this_thread::sleep_for(learn_pause);
    }
}

void Service::stand_down() {
    const std::lock_guard lock(office_.mutex);
    if (office_.controller) replication_.stood_down(cancelled_jobs(*office_.controller));
    office_.controller.reset();
    office_.recorded.notify_all();
}

template <typename Ready>
bool Service::wait_recorded(std::unique_lock<std::mutex>& lock, Ready ready) {
    office_.want_write();
    return office_.recorded.wait_for(lock, record_limit, ready);
}

std::optional<Reply> Service::from_final(const std::string& id, bool with_counts) {
    const auto final = finals_.get(id);
    if (!final) return std::nullopt;
    return Reply{200, 0, wire::status_body(id, final_status(*final), with_counts)};
}

// Guard against leases that end for a flood of questions: while nobody acts each poll reads
// records, and the state service refused renewals and writes together with them.
Reply Service::poll_records(const std::string& id, bool with_counts) {
    {
        const std::lock_guard lock(reads_mutex_);
        if (!poll_reads_.take(Clock::now())) return busy("too many questions at once");
    }
    return from_records(id, with_counts);
}

// Of a job that this controller holds open but may tell nothing of: its first or its final record
// is under way, or the lease is gone.
Reply Service::known_by_records(const std::string& id, bool with_counts) {
    auto reply = poll_records(id, with_counts);
    return reply.status == 404 ? busy("the job is being recorded") : reply;
}

Reply Service::from_records(const std::string& id, bool with_counts) {
    const auto asked = Clock::now();
    auto reply = read_records(id, with_counts);
    return aged(reply, asked) ? read_records(id, with_counts) : reply;
}

// The records have the last word. The open record is read first: a job that ends between the two
// reads is then found by the second.
Reply Service::read_records(const std::string& id, bool with_counts) {
    const auto open = store_.get(keys::job(id));
    if (open.outcome == Outcome::ok) {
        const auto record = wire::parse_job_record(open.entry.value);
        if (!record) return busy("the record cannot be read");
        core::JobStatus status;
        for (const auto& [first, last] : record->done) status.done += last - first + 1;
        return {200, 0, wire::status_body(id, status, with_counts)};
    }
    if (open.outcome != Outcome::absent) return busy("the state service does not answer");
    const auto over = store_.get(keys::over(id));
    if (over.outcome == Outcome::ok) {
        const auto final = wire::parse_final(over.entry.value);
        if (!final) return busy("the record cannot be read");
        finals_.put(id, *final);
        return {200, 0, wire::status_body(id, final_status(*final), with_counts)};
    }
    if (over.outcome != Outcome::absent) return busy("the state service does not answer");
    return {404, 0, wire::error_body("no such job")};
}

Reply Service::accept_elsewhere(const core::JobSpec& spec) {
    const auto verdict = core::judge(spec, settings_.teams, office_.types());
    if (verdict == core::Verdict::not_ready) return busy("machine types are not known yet");
    if (verdict == core::Verdict::never_fits) {
        // It may have been accepted before teams or types changed; accepted stays accepted.
        auto reply = from_records(spec.id, false);
        if (reply.status == 404) return {422, 0, wire::error_body("the job can never run")};
        return reply;
    }
    core::JobRecord record;
    record.spec = spec;
    record.submitted = std::chrono::system_clock::now();
    const auto answer = acceptor_.accept(std::move(record));
    if (answer.outcome == Acceptor::Outcome::failed)
        return busy("the job could not be recorded in time");
    const bool accepted = answer.outcome == Acceptor::Outcome::accepted;
    if (accepted && Clock::now() - answer.sent <= accepted_within)
        return {201, 0, wire::status_body(spec.id, core::JobStatus{}, false)};
    // Guard against went_back: with the transaction's answer held up for a second the 201 "queued"
    // left after others had told the job's end.
    auto reply = from_records(spec.id, false);
    if (reply.status == 404) return busy("the record is changing");
    if (accepted && reply.status == 200) reply.status = 201;
    return reply;
}

Reply Service::submit(const std::string& body) {
    const auto parsed = wire::parse_job(body);
    if (!parsed.job) return {400, 0, wire::error_body(parsed.error)};
    const auto& id = parsed.job->id;
    if (auto reply = from_final(id, false)) return *reply;
    if (!membership_.standing().acting) return accept_elsewhere(*parsed.job);
    if (!membership_.lease_valid()) return busy("the state service does not answer", 2);

    std::unique_lock lock(office_.mutex);
    if (!office_.controller) {
        lock.unlock();
        return accept_elsewhere(*parsed.job);
    }
    // Guard against overwriting what another version may be able to read.
    if (office_.controller->aside(id)) return busy("the record cannot be read", 5);
    const auto verdict = office_.controller->check(*parsed.job);
    if (verdict == core::Verdict::not_ready) return busy("machine types are not known yet");
    if (verdict == core::Verdict::never_fits && !office_.controller->knows(id)) {
        lock.unlock();
        // It may have been accepted before teams or types changed; accepted stays accepted.
        auto reply = from_records(id, false);
        if (reply.status == 404) return {422, 0, wire::error_body("the job can never run")};
        return reply;
    }
    const bool fresh =
        office_.controller->accept(*parsed.job, std::chrono::system_clock::now(), Clock::now());
    wait_recorded(lock, [&] {
        return !office_.controller || !office_.controller->knows(id) ||
               office_.controller->durable(id);
    });
    // Guard against went_back: the wait may have been long, and the lease is gone since.
    if (office_.controller && membership_.lease_valid())
        if (const auto status = office_.controller->status(id))
            return {fresh && !office_.controller->found(id) ? 201 : 200, 0,
                    wire::status_body(id, *status, false)};
    lock.unlock();
    // Over already, or a write has not come through.
    if (auto reply = from_final(id, false)) return *reply;
    return known_by_records(id, false);
}

Reply Service::status(const std::string& id, From from) {
    if (!wire::valid_job_id(id)) return {404, 0, wire::error_body("no such job")};
    if (auto reply = from_final(id, true)) return *reply;
    if (!membership_.standing().acting) {
        if (from == From::sibling) return busy("another controller acts");
        const auto asked = Clock::now();
        auto reply = hand_to_leader(wire::peer::Op::status, id, {}, membership_, peers_);
        if (reply && reply->status != 503 && !aged(*reply, asked)) {
            // Final for good: the next to ask here needs nobody else.
            if (const auto final = wire::final_in_status(reply->body)) finals_.put(id, *final);
            return *reply;
        }
        return poll_records(id, true);
    }
    // Without the lease another controller may have told a newer state already.
    bool known = false;
    {
        const std::lock_guard lock(office_.mutex);
        // Looked at after the wait for the lock, not before: nothing blocks from here to the
        // answer.
        if (office_.controller && membership_.lease_valid()) {
            if (const auto status = office_.controller->status(id))
                return {200, 0, wire::status_body(id, *status, true)};
            known = office_.controller->knows(id);
        }
    }
    return known ? known_by_records(id, true) : poll_records(id, true);
}

Reply Service::cancel(const std::string& id, From from) {
    if (!wire::valid_job_id(id)) return {404, 0, wire::error_body("no such job")};
    if (auto reply = from_final(id, false)) return *reply;
    if (!membership_.standing().acting) {
        if (from == From::sibling) return busy("another controller acts");
        if (auto reply = hand_to_leader(wire::peer::Op::cancel, id, {}, membership_, peers_))
            return *reply;
        return busy("no controller acts");
    }
    if (!membership_.lease_valid()) return busy("the state service does not answer", 2);
    std::unique_lock lock(office_.mutex);
    if (!office_.controller) return busy("taking over");
    const auto epoch = office_.controller->epoch();
    const bool known = office_.controller->knows(id);
    lock.unlock();
    if (!known) {
        auto reply = from_records(id, false);
        if (reply.status != 200 || wire::final_in_status(reply.body)) return reply;
        if (!learn_job(id, epoch)) return busy("the job is not loaded");
    }
    if (!replication_.tell_cancelled(id, epoch))
        return busy("the other controllers cannot be told");
    lock.lock();
    if (!office_.controller || office_.controller->epoch() != epoch) return busy("taking over");
    // Guard against ran_cancelled: a former controller that hears neither the state service nor
    // this one renewed the leases of its workers through an outage, and nobody was left to end
    // them. With enough siblings that know who acts it finds none to vouch for it.
    if (office_.controller->in_doubt(id) && !replication_.known_to_enough())
        return busy("the other controllers are being told who acts");
    office_.controller->cancel(id, Clock::now());
    office_.want_place();  // its stops go out at once
    wait_recorded(lock, [&] {
        if (!office_.controller) return true;
        const auto status = office_.controller->status(id);
        return !office_.controller->knows(id) || (status && status->final != core::Final::none);
    });
    lock.unlock();
    if (auto reply = from_final(id, false)) return *reply;
    // Its write may have been carried out without an answer.
    if (auto reply = poll_records(id, false); wire::final_in_status(reply.body)) return reply;
    return busy("the cancellation could not be recorded in time");
}

Reply Service::tell_word(const std::string& sibling) {
    if (!membership_.standing().acting) return replication_.word_of_follower();
    const std::lock_guard lock(office_.mutex);
    if (!office_.controller) return {503, 0, {}};
    return replication_.word_of_leader(sibling, cancelled_jobs(*office_.controller));
}

wire::peer::Answer Service::answer_sibling(const wire::peer::Request& request) {
    peers_.was_called();
    Reply reply;
    switch (request.op) {
        case wire::peer::Op::status:
            reply = status(request.id, From::sibling);
            break;
        case wire::peer::Op::cancel:
            reply = cancel(request.id, From::sibling);
            break;
        case wire::peer::Op::report:
            reply = reports_.report(request.body, From::sibling);
            break;
        case wire::peer::Op::view:
            if (request.epoch >= membership_.standing().epoch) steward_spoke_ = Clock::now();
            membership_.heard(request.epoch, request.id);
            reply.status = 200;
            break;
        case wire::peer::Op::word:
            reply = tell_word(request.id);
            break;
        case wire::peer::Op::cancelled:
            reply = replication_.hear_cancelled(request.id, request.epoch);
            break;
    }
    return {static_cast<std::uint16_t>(reply.status), static_cast<std::uint16_t>(reply.retry_after),
            membership_.standing().epoch, std::move(reply.body)};
}

bool Service::healthy() const {
    if (!office_.knows_types()) return false;
    const auto now = Clock::now();
    // Guard against users held by a controller that can accept nothing: the one that acts has the
    // state service and says so, this one has it not. In an outage for all nobody says so.
    if (now - store_.last_ok() > own_trouble && now - steward_spoke_.load() < own_trouble)
        return false;
    return now - store_.last_ok() < health_memory || now - peers_.last_contact() < health_memory;
}

void Service::announce() {
    for (;;) {
        replication_.round();
        if (membership_.standing().acting) give_way_if_unreached();
        std::this_thread::sleep_for(announce_every);
    }
}

void Service::give_way_if_unreached() {
    if (!reports_.unreached()) return;
    spdlog::info("workers reach siblings only; another controller may act");
    membership_.give_way();
}

// Where the time until each start went, for those who want to know: at debug level.
void Service::tell_starts(core::Controller& controller) {
    for (const auto& s : controller.take_started())
        spdlog::debug(
            "started {} of {} for {}, {} tasks, after {:.2f} s: record {:.2f}, room {:.2f}, {} "
            "{:.2f}, report {:.2f}, image {:.2f}",
            s.job, s.job_class, s.team, s.tasks, s.total().count(), s.record.count(),
            s.room.count(), s.stopped_others ? "stopping others" : "not stopping", s.saves.count(),
            s.report.count(), s.image.count());
}

void Service::place() {
    auto next = Clock::now();
    for (;;) {
        std::unique_lock lock(office_.mutex);
        office_.place_wanted.wait_for(lock, own_.cycle, [&] { return office_.place_pending; });
        if (Clock::now() < next) {
            lock.unlock();
            std::this_thread::sleep_until(next);
            lock.lock();
        }
        office_.place_pending = false;
        std::vector<core::DirectCall> calls;
        if (office_.controller) {
            office_.controller->hold_finals_until(membership_.finals_from());
            office_.controller->cycle(Clock::now());
            // Guard against ran_cancelled: a former controller went on starting by direct call, in
            // the session that followed the lease it no longer renewed, what another had cancelled.
            calls = office_.controller->direct_calls(Clock::now(), replication_.may_renew());
            tell_starts(*office_.controller);
            if (office_.takeover_log) office_.takeover_log->look(*office_.controller, Clock::now());
            if (office_.takeover_log && office_.takeover_log->progressed(Clock::now()))
                membership_.made_progress();
        }
        lock.unlock();
        for (auto& call : calls) courier_.send(std::move(call));
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
    membership_.resign();
    spdlog::info("stopped");
    // The other threads wait in calls and for work, and use what destructors would take away.
    std::_Exit(0);
}

bool Service::run() {
    io::HttpServerLimits limits;
    limits.most_threads = most_connections(settings_, own_);
    limits.most_waiting = most_waiting(settings_, limits.most_threads);
    io::HttpServer http(limits);
    const auto send = [](const Reply& reply, httplib::Response& response) {
        response.status = reply.status;
        if (reply.retry_after > 0)
            response.set_header("Retry-After", std::to_string(reply.retry_after));
        response.set_content(reply.body, cbor);
    };
    http.Get(wire::path::health, [&](const httplib::Request&, httplib::Response& response) {
        response.status = healthy() ? 200 : 503;
    });
    http.Post(wire::path::work, [&](const httplib::Request& request, httplib::Response& response) {
        send(submit(request.body), response);
    });
    http.Get(R"(/work/([^/]*))", [&](const httplib::Request& request, httplib::Response& response) {
        send(status(request.matches[1], From::outside), response);
    });
    http.Post(R"(/work/([^/]*)/cancel)",
              [&](const httplib::Request& request, httplib::Response& response) {
                  send(cancel(request.matches[1], From::outside), response);
              });
    http.Post(wire::path::report,
              [&](const httplib::Request& request, httplib::Response& response) {
                  send(reports_.report(request.body, From::outside), response);
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
        const bool known = path == wire::path::work || path == wire::path::report ||
                           path == wire::path::health || (path.starts_with("/work/") && !asked);
        if (response.status == 404 && known) response.status = 405;
        response.set_content(wire::error_body("not served"), cbor);
    });

    io::PeerServer peers([this](const auto& request) { return answer_sibling(request); },
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
    std::thread([this] { membership_.run(); }).detach();
    std::thread([this] { membership_.watch(); }).detach();
    std::thread([this] { recorder_.run(); }).detach();
    std::thread([this] { acceptor_.run(); }).detach();
    std::thread([this] { learn(); }).detach();
    std::thread([this] { place(); }).detach();
    std::thread([this] { announce(); }).detach();
    courier_.start();
    std::thread([&peers] { peers.run(); }).detach();
    std::thread stopper([this, &http] { stop_when_asked(http); });
    spdlog::info("{} serves", settings_.name);
    http.listen_after_bind();
    if (stop_asked()) stopper.join();  // and with it the process
    spdlog::error("the listening socket has failed");
    std::_Exit(1);
}

}  // namespace bendspindle::app
