#include "standin/services.hpp"

#include <algorithm>

#include "standin/message_size.hpp"
#include "wire/agent_messages.hpp"

namespace bendspindle::standin {

namespace {

using wire::Value;

constexpr const char* cbor = "application/cbor";

}  // namespace

struct CloudAndWorkers::Machine {
    std::string name;
    std::string type;
    std::string zone;
    bool spot = false;
    std::atomic<bool> gone{false};
    std::thread thread;
};

CloudAndWorkers::CloudAndWorkers(int port, std::vector<int> controllers)
    : controllers_(std::move(controllers)) {
    server_.Get("/catalog", [](const auto&, auto& response) {
        const Value type{{"sku", "m4"},          {"cores", 4},       {"ram_gb", 16},
                         {"cache_gb", 10},       {"rate", 1.0},      {"spot_price", 0.4},
                         {"fetch_gb_per_s", 10}, {"startup_s", 0.1}, {"halls", {"a"}}};
        answer(response, 200, {{"builds", {type}}});
    });
    server_.Post("/machines",
                 [this](const auto& request, auto& response) { rent(request, response); });
    server_.Get("/machines", [this](const auto&, auto& response) {
        Value machines = Value::array();
        const std::lock_guard lock(mutex_);
        for (const auto& name : listed_)
            machines.push_back({{"uid", name},
                                {"addr", ""},
                                {"build", "m4"},
                                {"hall", "a"},
                                {"loaners", false},
                                {"stage", "running"},
                                {"age_s", 60.0}});
        answer(response, 200, {{"spindles", machines}, {"truncated", false}});
    });
    server_.Post("/machines/release", [this](const auto& request, auto& response) {
        const auto body = wire::parse_cbor(request.body);
        for (const auto& name : (*body)["spindles"]) {
            std::unique_ptr<Machine> machine;
            {
                const std::lock_guard lock(mutex_);
                const auto it = machines_.find(name);
                if (it == machines_.end()) continue;
                machine = std::move(it->second);
                machines_.erase(it);
            }
            machine->gone = true;
            machine->thread.join();
        }
        answer(response, 200, Value::object());
    });
    server_.set_keep_alive_max_count(1);
    start_server(server_, thread_, port);
}

CloudAndWorkers::~CloudAndWorkers() {
    server_.stop();
    thread_.join();
    stopping_ = true;
    for (auto& [name, machine] : machines_) machine->thread.join();
}

void CloudAndWorkers::rent(const httplib::Request& request, httplib::Response& response) {
    const std::lock_guard lock(mutex_);
    const auto body = wire::parse_cbor(request.body);
    auto& names = granted_[(*body)["hire"]];
    if (names.empty())
        for (int i = 0; i < (*body)["number"].get<int>(); ++i) {
            auto machine = std::make_unique<Machine>();
            machine->name = "n-" + std::to_string(++next_);
            machine->type = (*body)["build"];
            machine->zone = (*body)["hall"];
            machine->spot = (*body)["loaners"];
            names.push_back(machine->name);
            auto* raw = machine.get();
            machine->thread = std::thread([this, raw] { work(*raw); });
            machines_[machine->name] = std::move(machine);
        }
    answer(response, 200, {{"spindles", names}});
}

bool CloudAndWorkers::is_oversized(const std::string& body) {
    if (json_size(body) <= message_limit_bytes) return false;
    ++oversized_messages_;
    return true;
}

// Returns the response, or nothing if the controller did not accept the heartbeat.
std::optional<Value> CloudAndWorkers::send_heartbeat(int port, const core::Heartbeat& heartbeat) {
    using namespace std::chrono_literals;
    const auto body = wire::heartbeat_body(heartbeat);
    if (is_oversized(body)) return std::nullopt;
    httplib::Client client("127.0.0.1", port);
    client.set_connection_timeout(1s);
    client.set_read_timeout(2s);
    const auto result = client.Post("/checkin", body, cbor);
    if (!result || result->status != 200 || is_oversized(result->body)) return std::nullopt;
    return wire::parse_cbor(result->body);
}

// A worker whose tasks take half a second. It has no address of its own, so all orders come in
// answers to its reports.
void CloudAndWorkers::work(Machine& machine) {
    using namespace std::chrono_literals;
    core::Heartbeat heartbeat;
    heartbeat.machine = machine.name;
    heartbeat.type = machine.type;
    heartbeat.zone = machine.zone;
    heartbeat.spot = machine.spot;
    heartbeat.agent_epoch = 1;
    std::vector<std::chrono::steady_clock::time_point> ends;
    std::size_t at = 0;
    while (!machine.gone && !stopping_) {
        const auto now = std::chrono::steady_clock::now();
        for (std::size_t i = 0; i < heartbeat.tasks.size(); ++i)
            if (heartbeat.tasks[i].state == core::TaskState::running && ends[i] < now) {
                heartbeat.tasks[i].state = core::TaskState::exited;
                heartbeat.tasks[i].cause = core::ExitCause::done;
            }
        ++heartbeat.sequence;
        const auto body = send_heartbeat(controllers_[at], heartbeat);
        if (!body) {
            at = (at + 1) % controllers_.size();
            std::this_thread::sleep_for(200ms);
            continue;
        }
        const auto fencing_token = (*body)["baton"].get<std::uint64_t>();
        if (fencing_token >= heartbeat.fencing_token) {
            heartbeat.fencing_token = fencing_token;
            for (const auto& command : (*body)["orders"]) {
                const auto piece = command["piece"].get<std::string>();
                const auto job = piece.substr(0, piece.rfind('/'));
                const auto index =
                    static_cast<std::uint32_t>(std::stoul(piece.substr(piece.rfind('/') + 1)));
                const auto attempt = command["try"].get<std::uint64_t>();
                const auto it = std::find_if(
                    heartbeat.tasks.begin(), heartbeat.tasks.end(), [&](const auto& t) {
                        return t.job == job && t.index == index && t.attempt == attempt;
                    });
                if (command["verb"] == "start" && it == heartbeat.tasks.end()) {
                    heartbeat.tasks.push_back({job, index, attempt, core::TaskState::running,
                                               core::ExitCause::none, false});
                    ends.push_back(std::chrono::steady_clock::now() + 500ms);
                } else if (command["verb"] == "stop" && it != heartbeat.tasks.end()) {
                    it->state = core::TaskState::exited;
                    it->cause = core::ExitCause::stopped;
                } else if (command["verb"] == "reap" && it != heartbeat.tasks.end()) {
                    ends.erase(ends.begin() + (it - heartbeat.tasks.begin()));
                    heartbeat.tasks.erase(it);
                }
            }
        }
        std::this_thread::sleep_for(200ms);
    }
}

}  // namespace bendspindle::standin
