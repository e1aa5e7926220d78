#include "users.hpp"

#include <netinet/in.h>

#include <algorithm>
#include <cmath>

#include "wire/cbor.hpp"
#include "wire/user_messages.hpp"

namespace bendspindle::scale {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds submit_limit{5000};
constexpr milliseconds poll_limit{2000};
constexpr milliseconds poll_every{5000};
constexpr milliseconds try_again{1000};
constexpr std::chrono::seconds gives_up_after{60};
constexpr double owners_error = 0.5;  // of estimates, either way
constexpr double run_spread = 0.5;    // of the logarithm of run times

}  // namespace

Users::Users(EventLoop& loop, const ScaleSettings& settings, TaskOracle& oracle,
             SimulatedAgents::Random& random)
    : loop_(loop), settings_(settings), oracle_(oracle), random_(random) {}

void Users::begin(TimePoint end) {
    end_ = end;
    if (settings_.load.jobs_per_s > 0) arrive();
}

std::uint64_t Users::tasks_open() const {
    std::uint64_t out = 0;
    for (const auto& id : open_) {
        const auto& job = *oracle_.job(id);
        out += job.spec.tasks - job.done_count;
    }
    return out;
}

void Users::arrive() {
    const Seconds pause(std::exponential_distribution(settings_.load.jobs_per_s)(random_));
    const auto when = core::later(Clock::now(), pause);
    if (when > end_) return;
    loop_.at(when, [this] {
        const auto now = Clock::now();
        const auto& job = oracle_.add(draw(), draw_run(), now);
        const auto id = job.spec.id;
        ++counts_.submitted;
        submit(id, now);
        if (draw_share() < settings_.load.cancel_share)
            loop_.at(core::later(now, job.run * draw_share() * 2), [this, id] { cancel(id); });
        arrive();
    });
}

Seconds Users::draw_run() {
    const auto mean = settings_.load.run.count();
    std::lognormal_distribution draw(std::log(mean) - run_spread * run_spread / 2, run_spread);
    return Seconds(draw(random_));
}

void Users::draw_size(core::JobSpec& spec, bool urgent) {
    const auto& load = settings_.load;
    if (draw_share() < load.gang_share) {
        spec.kind = core::Kind::gang;
        const auto most = urgent ? std::min(load.gang_most, load.urgent_tasks) : load.gang_most;
        const auto doublings = static_cast<int>(std::log2(most));
        spec.tasks = 1U << std::uniform_int_distribution(0, doublings)(random_);
        return;
    }
    // At least one task; the mean is as set.
    std::geometric_distribution<std::uint32_t> more(std::min(1 / load.array_tasks, 0.999));
    spec.tasks = 1 + more(random_);
    if (urgent) spec.tasks = std::min(spec.tasks, static_cast<std::uint32_t>(load.urgent_tasks));
}

core::JobSpec Users::draw() {
    const auto& load = settings_.load;
    core::JobSpec spec;
    spec.id = "job-" + std::to_string(++numbers_);
    const bool urgent = draw_share() < load.urgent_share;
    spec.job_class = urgent ? "urgent" : "ordinary";
    spec.priority = urgent ? core::Priority::high : core::Priority::normal;
    spec.team = "team-" + std::to_string(std::uniform_int_distribution(0, load.teams - 1)(random_));
    draw_size(spec, urgent);
    spec.need = {load.cpus, 0, load.cpus};
    spec.image =
        "img-" + std::to_string(std::uniform_int_distribution(0, load.images - 1)(random_));
    spec.image_gb = load.image_gb;
    spec.estimate =
        load.run * std::uniform_real_distribution(1 - owners_error, 1 + owners_error)(random_);
    return spec;
}

void Users::ask(const std::string& method, const std::string& target, const std::string& body,
                Clock::duration limit, OnAnswer on_answer) {
    const auto number = ++calls_made_;
    auto& client = calls_[number] = std::make_unique<HttpClient>(loop_, INADDR_LOOPBACK);
    const auto port = settings_.user_port(next_controller_++ % settings_.controllers.count);
    ++counts_.requests;
    client->send(
        static_cast<std::uint16_t>(port), request_text(method, target, body), limit,
        [this, number, on_answer = std::move(on_answer)](std::optional<HttpMessage> answer) {
            const auto parsed = answer ? wire::parse_cbor(answer->body) : std::nullopt;
            const auto& traffic = calls_.at(number)->traffic();
            traffic_.messages += traffic.messages;
            traffic_.bytes_out += traffic.bytes_out;
            traffic_.bytes_in += traffic.bytes_in;
            // Not within its own call.
            loop_.at(Clock::now(), [this, number] { calls_.erase(number); });
            const auto stage =
                parsed && parsed->is_object() ? parsed->value("stage", "") : std::string();
            on_answer(answer ? answer->status : 0, stage);
        });
}

void Users::submit(const std::string& id, TimePoint first) {
    const auto body = wire::job_body(oracle_.job(id)->spec);
    ask("POST", wire::path::jobs, body, submit_limit, [this, id, first](int status, const auto&) {
        const auto now = Clock::now();
        auto& job = *oracle_.job(id);
        if (status == 200 || status == 201) {
            job.accepted = true;
            open_.insert(id);
            ++counts_.accepted;
            latencies_.push_back(core::between(first, now).count());
            loop_.at(now + poll_every, [this, id] { poll(id); });
        } else if (status == 400 || status == 422) {
            ++counts_.refused;
        } else if (now - first > gives_up_after) {
            ++counts_.given_up;
        } else {
            ++counts_.errors;
            loop_.at(now + try_again, [this, id, first] { submit(id, first); });
        }
    });
}

void Users::poll(const std::string& id) {
    if (!open_.contains(id)) return;
    // An answer that was under way when the cancellation was confirmed may be older.
    const bool was_cancelled = oracle_.job(id)->cancelled.has_value();
    ask("GET", std::string(wire::path::jobs) + "/" + id, "", poll_limit,
        [this, id, was_cancelled](int status, const std::string& stage) {
            polled(*oracle_.job(id), was_cancelled, status, stage);
            if (open_.contains(id)) loop_.at(Clock::now() + poll_every, [this, id] { poll(id); });
        });
}

void Users::polled(Job& job, bool was_cancelled, int status, const std::string& stage) {
    const auto& id = job.spec.id;
    if (status == 404) ++counts_.forgotten;
    if (status != 200) {
        ++counts_.errors;
        return;
    }
    if (stage == "done" && job.done_count < job.spec.tasks) ++counts_.not_done;
    if (stage == "aborted" && !cancelling_.contains(id)) ++counts_.went_back;
    if (stage == "aborted" && !job.cancelled) job.cancelled = Clock::now();
    if (was_cancelled && stage != "aborted") ++counts_.went_back;
    if (stage == "done" || stage == "aborted") {
        job.over = true;
        ++counts_.over;
        open_.erase(id);
    }
}

void Users::cancel(const std::string& id) {
    auto& job = *oracle_.job(id);
    if (!job.accepted || job.over) return;
    cancelling_.insert(id);
    ask("POST", std::string(wire::path::jobs) + "/" + id + "/cancel", "", submit_limit,
        [this, id](int status, const std::string& stage) {
            auto& cancelled = *oracle_.job(id);
            if (status == 200 && stage == "aborted") {
                if (!cancelled.cancelled) cancelled.cancelled = Clock::now();
            } else if (status != 200) {
                ++counts_.errors;
                loop_.at(Clock::now() + try_again, [this, id] { cancel(id); });
            }
        });
}

}  // namespace bendspindle::scale
