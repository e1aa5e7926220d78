#include "api/job_submission.hpp"

#include <chrono>
#include <utility>

#include "api/commit_limit.hpp"
#include "wire/http_status.hpp"
#include "wire/user_messages.hpp"

namespace bendspindle::api {

namespace {

using Clock = std::chrono::steady_clock;

// A follower returns 201 without reading the job's state; within this time after its transaction
// was sent no other controller can have returned a newer state.
constexpr std::chrono::milliseconds max_created_state_age{50};

constexpr JobSubmissionHandler::Refusal never_fits{wire::http_status::unprocessable,
                                                   "the job can never run"};
constexpr JobSubmissionHandler::Refusal cannot_be_recorded{
    wire::http_status::bad_request, "the state service refuses the job's record"};

}  // namespace

JobSubmissionHandler::JobSubmissionHandler(const config::Settings& settings,
                                           const leadership::Leadership& leadership,
                                           state::LeaderState& leader_state,
                                           state::JobAdmission& admission, JobRecords& records)
    : settings_(settings),
      leadership_(leadership),
      leader_state_(leader_state),
      admission_(admission),
      records_(records) {}

wire::Response JobSubmissionHandler::handle(const std::string& body) {
    const auto parsed = wire::parse_job(body);
    if (!parsed.job) return {wire::http_status::bad_request, 0, wire::error_body(parsed.error)};
    if (auto response = records_.from_terminal_cache(parsed.job->id, TaskCounts::omitted))
        return *response;
    if (!leadership_.status().leading) return admit_as_follower(*parsed.job);
    if (!leadership_.lease_valid())
        return wire::unavailable("the state service does not answer", 2);
    return admit_as_leader(*parsed.job);
}

wire::Response JobSubmissionHandler::admit_as_leader(const core::JobSpec& spec) {
    const auto& id = spec.id;
    auto access = leader_state_.lock();
    if (access.controller() == nullptr) {
        access.unlock();
        return admit_as_follower(spec);
    }
    // Guards against overwriting a record that another version may be able to read.
    if (access.controller()->quarantined(id))
        return wire::unavailable("the record cannot be read", 5);
    const auto feasibility = access.controller()->check(spec);
    if (feasibility == core::Feasibility::not_ready)
        return wire::unavailable("machine types are not known yet");
    if (feasibility == core::Feasibility::never_fits && !access.controller()->knows(id)) {
        access.unlock();
        return answer_unless_recorded(id, never_fits);
    }
    const bool is_new =
        access.controller()->accept(spec, std::chrono::system_clock::now(), Clock::now());
    access.request_write();
    access.wait_for_commit(commit_timeout, [&] {
        const auto* const controller = access.controller();
        return controller == nullptr || !controller->knows(id) || controller->durable(id);
    });
    // Guards against went_back: the wait may have been long and the lease may have expired during
    // it.
    if (const auto* const controller = access.controller();
        controller != nullptr && leadership_.lease_valid()) {
        if (const auto status = controller->status(id)) {
            auto response = status_response(id, *status, TaskCounts::omitted);
            if (is_new && !controller->found_existing_record(id))
                response.status = wire::http_status::created;
            return response;
        }
        if (controller->was_refused(id)) {
            access.unlock();
            return answer_unless_recorded(id, cannot_be_recorded);
        }
    }
    access.unlock();
    // The job has already ended, or a write was not committed in time.
    if (auto response = records_.from_terminal_cache(id, TaskCounts::omitted)) return *response;
    return records_.read_open_job_rate_limited(id, TaskCounts::omitted);
}

wire::Response JobSubmissionHandler::admit_as_follower(const core::JobSpec& spec) {
    const auto feasibility =
        core::check_feasibility(spec, settings_.teams, leader_state_.machine_types());
    if (feasibility == core::Feasibility::not_ready)
        return wire::unavailable("machine types are not known yet");
    if (feasibility == core::Feasibility::never_fits)
        return answer_unless_recorded(spec.id, never_fits);
    core::JobRecord record;
    record.spec = spec;
    record.submitted = std::chrono::system_clock::now();
    const auto answer = admission_.admit(record);
    if (answer.outcome == state::JobAdmission::Result::refused)
        return answer_unless_recorded(spec.id, cannot_be_recorded);
    if (answer.outcome == state::JobAdmission::Result::failed)
        return wire::unavailable("the job could not be recorded in time");
    const bool is_new = answer.outcome == state::JobAdmission::Result::admitted;
    if (is_new && Clock::now() - answer.sent_at <= max_created_state_age)
        return {wire::http_status::created, 0,
                wire::status_body(spec.id, core::JobStatus{}, false)};
    // Guards against went_back: with the response to the transaction delayed by a second, the 201
    // "queued" was sent after other controllers had returned the job's terminal state.
    auto response = records_.read(spec.id, TaskCounts::omitted);
    if (response.status == wire::http_status::not_found)
        return wire::unavailable("the record is changing");
    if (is_new && response.status == wire::http_status::ok)
        response.status = wire::http_status::created;
    return response;
}

// The job may have been admitted with another body, or before the teams or machine types changed,
// and stays admitted.
wire::Response JobSubmissionHandler::answer_unless_recorded(const std::string& id,
                                                            const Refusal& refusal) {
    auto response = records_.read(id, TaskCounts::omitted);
    if (response.status == wire::http_status::not_found)
        return {refusal.status, 0, wire::error_body(refusal.reason)};
    return response;
}

}  // namespace bendspindle::api
