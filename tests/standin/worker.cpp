#include "standin/worker.hpp"

#include <algorithm>
#include <numeric>

#include "standin/message_size.hpp"
#include "standin/worker_commands.hpp"
#include "wire/agent_messages.hpp"

namespace bendspindle::standin {

namespace {

using namespace std::chrono_literals;
using wire::Value;

constexpr const char* cbor = "application/cbor";
constexpr auto heartbeat_interval = 200ms;
constexpr auto run_time = 500ms;
constexpr unsigned heartbeats_per_repeat = 4;
constexpr std::size_t server_threads = 2;
constexpr double min_repeat_delay_s = 0.7;
constexpr double max_repeat_delay_s = 4;

unsigned seed_of(const std::string& name) {
    return std::accumulate(name.begin(), name.end(), 0U);
}

}  // namespace

Worker::Worker(const Identity& identity, std::vector<int> controllers, WorkerCounts& counts)
    : controllers_(std::move(controllers)),
      counts_(counts),
      copies_(seed_of(identity.name), min_repeat_delay_s, max_repeat_delay_s) {
    heartbeat_.machine = identity.name;
    heartbeat_.type = identity.type;
    heartbeat_.zone = identity.zone;
    heartbeat_.spot = identity.spot;
    heartbeat_.agent_epoch = 1;
    server_.new_task_queue = [] { return new httplib::ThreadPool(server_threads); };
    server_.set_keep_alive_max_count(1);
    server_.Post("/orders", [this](const auto& request, auto& response) {
        auto [status, body] = handle_direct_call(request.body);
        if (status == 200) {
            const std::lock_guard lock(mutex_);
            copies_.add({false, request.body}, seconds_now());
        }
        response.status = status;
        response.set_content(std::move(body), cbor);
    });
    const auto port = server_.bind_to_any_port("127.0.0.1");
    heartbeat_.address = "127.0.0.1:" + std::to_string(port);
    server_thread_ = std::thread([this] { server_.listen_after_bind(); });
    while (!server_.is_running()) std::this_thread::sleep_for(1ms);
    thread_ = std::thread([this] { run(); });
    repeat_thread_ = std::thread([this] { repeat_messages(); });
}

Worker::~Worker() {
    stopping_ = true;
    server_.stop();
    for (auto* thread : {&server_thread_, &thread_, &repeat_thread_}) thread->join();
}

double Worker::seconds_now() {
    return std::chrono::duration<double>(Clock::now().time_since_epoch()).count();
}

bool Worker::is_oversized(const std::string& body) {
    if (json_size(body) <= message_limit_bytes) return false;
    ++counts_.oversized_messages;
    return true;
}

// Returns the response, or nothing if the controller did not accept the heartbeat.
std::optional<Value> Worker::send_heartbeat(int port, const std::string& body) {
    if (is_oversized(body)) return std::nullopt;
    httplib::Client client("127.0.0.1", port);
    client.set_connection_timeout(1s);
    client.set_read_timeout(2s);
    const auto result = client.Post("/checkin", body, cbor);
    if (!result || result->status != 200 || is_oversized(result->body)) return std::nullopt;
    return wire::parse_cbor(result->body);
}

void Worker::end_finished_tasks() {
    const auto now = Clock::now();
    for (auto& task : heartbeat_.tasks) {
        const auto end = ends_.find({task.job, task.index, task.attempt});
        if (end == ends_.end() || end->second > now) continue;
        task.state = core::TaskState::exited;
        task.cause = core::ExitCause::done;
        ends_.erase(end);
    }
}

void Worker::run() {
    std::size_t at = 0;
    while (!stopping_) {
        std::string body;
        {
            const std::lock_guard lock(mutex_);
            end_finished_tasks();
            ++heartbeat_.sequence;
            body = wire::heartbeat_body(heartbeat_);
        }
        if (const auto response = send_heartbeat(controllers_[at], body)) {
            const auto message = read_commands(*response);
            const std::lock_guard lock(mutex_);
            copies_.add_one_in(heartbeats_per_repeat, {true, body}, seconds_now());
            if (message.fencing_token >= heartbeat_.fencing_token) {
                heartbeat_.fencing_token = message.fencing_token;
                execute(message.commands);
            }
        } else {
            at = (at + 1) % controllers_.size();
        }
        std::this_thread::sleep_for(heartbeat_interval);
    }
}

// Nobody waits for the answers.
void Worker::repeat_messages() {
    while (!stopping_) {
        std::vector<Copy> due;
        {
            const std::lock_guard lock(mutex_);
            due = copies_.due(seconds_now());
        }
        for (const auto& copy : due) {
            if (copy.is_heartbeat) {
                send_heartbeat(controllers_.front(), copy.body);
            } else {
                ++counts_.repeated_calls;
                handle_direct_call(copy.body);
            }
        }
        std::this_thread::sleep_for(50ms);
    }
}

std::pair<int, std::string> Worker::handle_direct_call(const std::string& body) {
    const auto message = wire::parse_cbor(body);
    if (!message || is_oversized(body)) return {400, {}};
    const auto call = read_commands(*message);
    const std::lock_guard lock(mutex_);
    end_finished_tasks();
    const bool accepted = call.fencing_token >= heartbeat_.fencing_token &&
                          call.agent_epoch == heartbeat_.agent_epoch;
    if (accepted) {
        heartbeat_.fencing_token = call.fencing_token;
        execute(call.commands);
    }
    ++heartbeat_.sequence;
    return {accepted ? 200 : 409, wire::heartbeat_body(heartbeat_)};
}

void Worker::start(const Attempt& attempt) {
    const auto& [job, index, number] = attempt;
    if (acknowledged_.contains(attempt)) ++counts_.restarted_attempts;
    heartbeat_.tasks.push_back(
        {job, index, number, core::TaskState::running, core::ExitCause::none, false});
    ends_[attempt] = Clock::now() + run_time;
}

void Worker::execute(const std::vector<core::TaskCommand>& commands) {
    using Verb = core::TaskCommand::Verb;
    for (const auto& command : commands) {
        const Attempt attempt{command.job, command.index, command.attempt};
        const auto it =
            std::find_if(heartbeat_.tasks.begin(), heartbeat_.tasks.end(), [&](const auto& task) {
                return Attempt{task.job, task.index, task.attempt} == attempt;
            });
        const bool known = it != heartbeat_.tasks.end();
        if (command.verb == Verb::start && !known) {
            start(attempt);
        } else if (command.verb == Verb::stop && known && it->state != core::TaskState::exited) {
            it->state = core::TaskState::exited;
            it->cause = core::ExitCause::stopped;
            ends_.erase(attempt);
        } else if (command.verb == Verb::acknowledge && known) {
            heartbeat_.tasks.erase(it);
            acknowledged_.insert(attempt);
        }
    }
}

}  // namespace bendspindle::standin
