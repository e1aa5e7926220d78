#include "standin/services.hpp"

#include <algorithm>

namespace bendspindle::standin {

namespace {

using wire::Value;

constexpr const char* cbor = "application/cbor";
constexpr std::chrono::milliseconds longer_than_anybody_waits{1700};

void answer(httplib::Response& response, int status, const Value& body) {
    response.status = status;
    response.set_content(wire::to_cbor(body), cbor);
}

void start(httplib::Server& server, std::thread& thread, int port) {
    server.new_task_queue = [] { return new httplib::ThreadPool(24); };
    server.set_keep_alive_max_count(1);
    server.set_tcp_nodelay(true);
    if (!server.bind_to_port("127.0.0.1", port)) throw std::runtime_error("port is taken");
    thread = std::thread([&server] { server.listen_after_bind(); });
    while (!server.is_running()) std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

}  // namespace

StateService::StateService(const std::vector<int>& ports) {
    for (const auto port : ports) serve(*fronts_.emplace_back(std::make_unique<Front>()), port);
}

void StateService::serve(Front& front, int port) {
    auto& server = front.server;
    server.set_pre_routing_handler([this, &front](const auto& request, auto& response) {
        if (!refused(front) || request.path == "/watch")
            return httplib::Server::HandlerResponse::Unhandled;
        answer(response, 503, {{"error", "trouble"}});
        return httplib::Server::HandlerResponse::Handled;
    });
    server.Get(R"(/kv/(.+))", [this](const auto& request, auto& response) {
        read(request.matches[1], response);
        read_slowly(request.matches[1]);
    });
    server.Get("/kv", [this](const auto& request, auto& response) {
        const std::lock_guard lock(mutex_);
        expire();
        Value pairs = Value::array();
        const auto prefix = request.get_param_value("starts");
        for (const auto& [key, item] : items_)
            if (key.starts_with(prefix))
                pairs.push_back({{"path", key}, {"v", item.value}, {"stamp", item.stamp}});
        answer(response, 200, {{"pairs", pairs}, {"truncated", false}, {"ledger_tick", revision_}});
    });
    server.Get("/watch", [this, &front](const auto& request, auto& response) {
        const auto prefix = request.get_param_value("starts");
        std::chrono::milliseconds late{0};
        const auto since = std::stoull(request.get_param_value("since"));
        const auto until =
            Clock::now() + std::chrono::milliseconds(std::stoi(request.get_param_value("wait_ms")));
        for (;;) {
            {
                const std::lock_guard lock(mutex_);
                expire();
                Value events = Value::array();
                for (const auto& [key, item] : items_)
                    if (key.starts_with(prefix) && item.stamp > since)
                        events.push_back({{"put", key}, {"v", item.value}, {"stamp", item.stamp}});
                for (const auto& [key, stamp] : deleted_)
                    if (key.starts_with(prefix) && stamp > since)
                        events.push_back({{"delete", key}, {"stamp", stamp}});
                if (refused(front)) events = Value::array();
                if (!events.empty() || ending_ || Clock::now() >= until) {
                    late = events.empty() ? std::chrono::milliseconds{0} : slow_watches_.of(prefix);
                    answer(response, 200, {{"ledger_tick", revision_}, {"events", events}});
                    break;
                }
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        std::this_thread::sleep_for(late);
    });
    server.Post("/txn", [this](const auto& request, auto& response) {
        transact_in_time(request, response);
    });
    server.Post("/leases", [this](const auto& request, auto& response) {
        const std::lock_guard lock(mutex_);
        const auto body = wire::parse_cbor(request.body);
        const std::chrono::milliseconds life{(*body)["life_ms"].template get<int>()};
        leases_[++next_lease_] = {life, Clock::now() + life};
        answer(response, 200, {{"loan", next_lease_}});
    });
    server.Post(R"(/leases/(\d+)/touch)", [this](const auto& request, auto& response) {
        const std::lock_guard lock(mutex_);
        expire();
        const auto it = leases_.find(std::stoull(request.matches[1]));
        if (it == leases_.end()) return answer(response, 404, Value::object());
        it->second.ends = Clock::now() + it->second.life;
        answer(response, 200, {{"loan", it->first}});
    });
    server.Delete(R"(/leases/(\d+))", [this](const auto& request, auto& response) {
        const std::lock_guard lock(mutex_);
        const auto lease = std::stoull(request.matches[1]);
        if (leases_.erase(lease) == 0) return answer(response, 404, Value::object());
        end(lease);
        answer(response, 200, Value::object());
    });
    start(server, front.thread, port);
}

StateService::~StateService() {
    ending_ = true;
    for (auto& front : fronts_) front->server.stop();
    for (auto& front : fronts_) front->thread.join();
}

void StateService::outage(bool down) {
    const std::lock_guard lock(mutex_);
    expire();
    down_ = down;
    for (auto& [number, lease] : leases_) lease.ends = Clock::now() + lease.life;
}

void StateService::expire() {
    if (down_) return;
    for (auto it = leases_.begin(); it != leases_.end();) {
        if (it->second.ends > Clock::now()) {
            ++it;
            continue;
        }
        const auto lease = it->first;
        it = leases_.erase(it);
        end(lease);
    }
}

void StateService::end(std::uint64_t lease) {
    ++revision_;
    std::erase_if(items_, [&](const auto& item) {
        if (item.second.lease != lease) return false;
        deleted_[item.first] = revision_;
        return true;
    });
}

void StateService::read(const std::string& key, httplib::Response& response) {
    const std::lock_guard lock(mutex_);
    expire();
    const auto it = items_.find(key);
    if (it == items_.end()) return answer(response, 404, {{"ledger_tick", revision_}});
    Value out{{"path", it->first}, {"v", it->second.value}, {"stamp", it->second.stamp}};
    if (it->second.lease != 0) out["loan"] = it->second.lease;
    answer(response, 200, out);
}

void StateService::read_slowly(const std::string& key) {
    std::chrono::milliseconds late{0};
    {
        const std::lock_guard lock(mutex_);
        late = std::max(slow_reads_.of(key), drawn_slowness());
    }
    std::this_thread::sleep_for(late);
}

// Needs the lock.
std::chrono::milliseconds StateService::drawn_slowness() {
    if (std::uniform_real_distribution<>(0, 1)(random_) >= troubles_.slow)
        return std::chrono::milliseconds{0};
    return std::chrono::milliseconds(
        std::uniform_int_distribution<>(0, static_cast<int>(troubles_.slow_most.count()))(random_));
}

StateService::Fate StateService::fate_of_transaction(const Value& body) {
    const std::lock_guard lock(mutex_);
    Fate fate;
    if (!held_.empty()) {
        fate.before = held_.front();
        held_.erase(held_.begin());
        return fate;
    }
    const auto drawn = std::uniform_real_distribution<>(0, 1)(random_);
    if (drawn < troubles_.late) {
        std::uniform_int_distribution<> late(static_cast<int>(troubles_.late_least.count()),
                                             static_cast<int>(troubles_.late_most.count()));
        fate.before = std::chrono::milliseconds(late(random_));
        ++troubled_;
    } else if (drawn < troubles_.late + troubles_.lost) {
        fate.after = longer_than_anybody_waits;
        ++troubled_;
    } else {
        fate.after = drawn_slowness();
    }
    for (const auto& operation : body["apply"])
        fate.after = std::max(fate.after, slow_puts_.of(operation.value("put", std::string())));
    return fate;
}

void StateService::transact_in_time(const httplib::Request& request, httplib::Response& response) {
    const auto fate = fate_of_transaction(wire::parse_cbor(request.body).value());
    std::this_thread::sleep_for(fate.before);
    transact(request, response);
    std::this_thread::sleep_for(fate.after);
}

void StateService::transact(const httplib::Request& request, httplib::Response& response) {
    const std::lock_guard lock(mutex_);
    expire();
    const auto body = wire::parse_cbor(request.body);
    Value failed = Value::array();
    for (const auto& condition : (*body)["if"]) {
        const auto it = items_.find(condition["path"]);
        const auto stamp = it == items_.end() ? 0 : it->second.stamp;
        if (stamp != condition["stamp"].get<std::uint64_t>()) failed.push_back(condition["path"]);
    }
    for (const auto& operation : (*body)["apply"])
        if (!refused_.empty() && operation.value("put", std::string()) == refused_)
            return answer(response, 400, {{"error", "too large"}});
    for (const auto& operation : (*body)["apply"])
        if (operation.contains("loan") && !leases_.contains(operation["loan"].get<std::uint64_t>()))
            return answer(response, 400, {{"error", "no such lease"}});
    if (!failed.empty())
        return answer(response, 409, {{"failed", failed}, {"ledger_tick", revision_}});
    ++revision_;
    for (const auto& operation : (*body)["apply"]) {
        if (operation.contains("delete")) {
            items_.erase(operation["delete"].get<std::string>());
            deleted_[operation["delete"]] = revision_;
            continue;
        }
        const auto lease = operation.contains("loan") ? operation["loan"].get<std::uint64_t>() : 0;
        items_[operation["put"]] = {operation["v"], revision_, lease};
    }
    answer(response, 200, {{"ledger_tick", revision_}});
}

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
    start(server_, thread_, port);
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

// A worker whose tasks take half a second. It has no address of its own, so all orders come in
// answers to its reports.
void CloudAndWorkers::work(Machine& machine) {
    using namespace std::chrono_literals;
    core::Report report;
    report.machine = machine.name;
    report.type = machine.type;
    report.zone = machine.zone;
    report.spot = machine.spot;
    report.session = 1;
    std::vector<std::chrono::steady_clock::time_point> ends;
    std::size_t at = 0;
    while (!machine.gone && !stopping_) {
        const auto now = std::chrono::steady_clock::now();
        for (std::size_t i = 0; i < report.tasks.size(); ++i)
            if (report.tasks[i].state == core::TaskState::running && ends[i] < now) {
                report.tasks[i].state = core::TaskState::exited;
                report.tasks[i].cause = core::ExitCause::done;
            }
        ++report.seq;
        httplib::Client client("127.0.0.1", controllers_[at]);
        client.set_connection_timeout(1s);
        client.set_read_timeout(2s);
        const auto result = client.Post("/checkin", wire::report_body(report), cbor);
        const auto body = result ? wire::parse_cbor(result->body) : std::nullopt;
        if (!result || result->status != 200 || !body) {
            at = (at + 1) % controllers_.size();
            std::this_thread::sleep_for(200ms);
            continue;
        }
        const auto token = (*body)["baton"].get<std::uint64_t>();
        if (token >= report.token) {
            report.token = token;
            for (const auto& order : (*body)["orders"]) {
                const auto piece = order["piece"].get<std::string>();
                const auto job = piece.substr(0, piece.rfind('/'));
                const auto index =
                    static_cast<std::uint32_t>(std::stoul(piece.substr(piece.rfind('/') + 1)));
                const auto attempt = order["try"].get<std::uint64_t>();
                const auto it =
                    std::find_if(report.tasks.begin(), report.tasks.end(), [&](const auto& t) {
                        return t.job == job && t.index == index && t.attempt == attempt;
                    });
                if (order["verb"] == "start" && it == report.tasks.end()) {
                    report.tasks.push_back({job, index, attempt, core::TaskState::running,
                                            core::ExitCause::none, false});
                    ends.push_back(std::chrono::steady_clock::now() + 500ms);
                } else if (order["verb"] == "stop" && it != report.tasks.end()) {
                    it->state = core::TaskState::exited;
                    it->cause = core::ExitCause::stopped;
                } else if (order["verb"] == "reap" && it != report.tasks.end()) {
                    ends.erase(ends.begin() + (it - report.tasks.begin()));
                    report.tasks.erase(it);
                }
            }
        }
        std::this_thread::sleep_for(200ms);
    }
}

}  // namespace bendspindle::standin
