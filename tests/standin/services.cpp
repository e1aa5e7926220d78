#include "standin/services.hpp"

namespace bendspindle::standin {

using wire::Value;

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
            std::unique_ptr<Worker> worker;  // waited for without the lock
            const std::lock_guard lock(mutex_);
            const auto it = workers_.find(name);
            if (it == workers_.end()) continue;
            worker = std::move(it->second);
            workers_.erase(it);
        }
        answer(response, 200, Value::object());
    });
    server_.set_keep_alive_max_count(1);
    start_server(server_, thread_, port);
}

CloudAndWorkers::~CloudAndWorkers() {
    server_.stop();
    thread_.join();
}

void CloudAndWorkers::rent(const httplib::Request& request, httplib::Response& response) {
    const std::lock_guard lock(mutex_);
    const auto body = wire::parse_cbor(request.body);
    auto& names = granted_[(*body)["hire"]];
    if (names.empty())
        for (int i = 0; i < (*body)["number"].get<int>(); ++i) {
            const Worker::Identity identity{"n-" + std::to_string(++next_), (*body)["build"],
                                            (*body)["hall"], (*body)["loaners"]};
            names.push_back(identity.name);
            workers_[identity.name] = std::make_unique<Worker>(identity, controllers_, counts_);
        }
    answer(response, 200, {{"spindles", names}});
}

}  // namespace bendspindle::standin
