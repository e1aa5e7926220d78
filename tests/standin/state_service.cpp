#include "standin/state_service.hpp"

#include <algorithm>
#include <set>
#include <stdexcept>

namespace bendspindle::standin {

namespace {

using std::chrono::milliseconds;
using wire::Value;

constexpr const char* cbor = "application/cbor";
constexpr std::size_t threads_a_port = 24;
constexpr std::size_t changes_kept = 10'000;
constexpr std::size_t most_a_page = 1000;
constexpr std::size_t most_page_bytes = 512 * 1024;
// As JSON text.
constexpr std::size_t most_transaction_bytes = 64 * 1024;
constexpr std::size_t most_value_bytes = 32 * 1024;
constexpr std::size_t most_requests_a_connection = 1'000'000;
// Leases end at most this late.
constexpr milliseconds look_every{20};
constexpr milliseconds longer_than_anybody_waits{1700};

}  // namespace

void answer(httplib::Response& response, int status, const Value& body) {
    response.status = status;
    response.set_content(wire::to_cbor(body), cbor);
}

void start_server(httplib::Server& server, std::thread& thread, int port) {
    server.new_task_queue = [] { return new httplib::ThreadPool(threads_a_port); };
    server.set_tcp_nodelay(true);
    if (!server.bind_to_port("127.0.0.1", port)) throw std::runtime_error("port is taken");
    thread = std::thread([&server] { server.listen_after_bind(); });
    while (!server.is_running()) std::this_thread::sleep_for(milliseconds(1));
}

bool StateService::Bucket::take(double amount, Clock::time_point now) {
    if (rate <= 0) return true;
    const auto passed = std::chrono::duration<double>(now - at).count();
    left = std::min(rate, left + passed * rate);
    at = now;
    if (left < amount) return false;
    left -= amount;
    return true;
}

StateService::StateService(const std::vector<int>& ports, StateOptions options)
    : options_(options) {
    requests_ = {options.requests_per_s, options.requests_per_s, Clock::now()};
    writes_ = {options.writes_per_s, options.writes_per_s, Clock::now()};
    for (const auto port : ports) serve(*fronts_.emplace_back(std::make_unique<Front>()), port);
}

StateService::~StateService() {
    ending_ = true;
    news_.notify_all();
    for (auto& front : fronts_) front->server.stop();
    for (auto& front : fronts_) front->thread.join();
}

// Counts the request; false, with the answer set, if it may not be served.
bool StateService::admit(Front& front, const httplib::Request& request,
                         httplib::Response& response) {
    const std::lock_guard lock(mutex_);
    ++front.counts.requests;
    front.counts.bytes_in += request.body.size() + request.target.size();
    if (refused(front) && request.path != "/watch") {
        answer(response, 503, {{"error", "trouble"}});
        return false;
    }
    if (requests_.take(1, Clock::now())) return true;
    ++front.counts.refused;
    answer(response, 429, {{"error", "too many requests"}});
    return false;
}

void StateService::serve(Front& front, int port) {
    auto& server = front.server;
    server.set_keep_alive_max_count(options_.keep_alive ? most_requests_a_connection : 1);
    server.set_pre_routing_handler([this, &front](const auto& request, auto& response) {
        using Result = httplib::Server::HandlerResponse;
        return admit(front, request, response) ? Result::Unhandled : Result::Handled;
    });
    server.set_post_routing_handler([this, &front](const auto&, const auto& response) {
        const std::lock_guard lock(mutex_);
        front.counts.bytes_out += response.body.size();
    });
    serve_keys(front);
    serve_leases(front);
    start_server(server, front.thread, port);
}

void StateService::serve_keys(Front& front) {
    auto& server = front.server;
    server.Get(R"(/kv/(.+))", [this](const auto& request, auto& response) {
        read(request.matches[1], response);
        read_slowly(request.matches[1]);
    });
    server.Get("/kv", [this](const auto& request, auto& response) { list(request, response); });
    server.Get("/watch", [this, &front](const auto& request, auto& response) {
        std::this_thread::sleep_for(watch(front, request, response));
    });
    server.Post("/txn", [this, &front](const auto& request, auto& response) {
        transact_in_time(front, request, response);
    });
}

void StateService::serve_leases(Front& front) {
    auto& server = front.server;
    server.Post("/leases", [this](const auto& request, auto& response) {
        const std::lock_guard lock(mutex_);
        const auto body = wire::parse_cbor(request.body);
        const milliseconds life{(*body)["life_ms"].template get<int>()};
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
}

void StateService::list(const httplib::Request& request, httplib::Response& response) {
    const std::lock_guard lock(mutex_);
    expire();
    const auto prefix = request.get_param_value("starts");
    const auto page =
        request.has_param("page")
            ? std::min<std::size_t>(std::stoul(request.get_param_value("page")), most_a_page)
            : most_a_page;
    Value pairs = Value::array();
    std::size_t bytes = 0;
    bool truncated = false;
    auto it = request.has_param("since") ? items_.upper_bound(request.get_param_value("since"))
                                         : items_.lower_bound(prefix);
    for (; it != items_.end() && it->first.starts_with(prefix); ++it) {
        const auto size = it->first.size() + wire::to_cbor(it->second.value).size() + 32;
        if (pairs.size() == page || bytes + size > most_page_bytes) {
            truncated = true;
            break;
        }
        bytes += size;
        pairs.push_back(
            {{"path", it->first}, {"v", it->second.value}, {"stamp", it->second.mod_revision}});
    }
    answer(response, 200, {{"pairs", pairs}, {"truncated", truncated}, {"ledger_tick", revision_}});
}

// The last change of each key with the prefix, in order.
Value StateService::events_since(const std::string& prefix, std::uint64_t since) const {
    std::set<std::string> told;
    std::vector<Value> latest;
    for (auto it = changes_.rbegin(); it != changes_.rend() && it->revision > since; ++it) {
        if (!it->key.starts_with(prefix) || !told.insert(it->key).second) continue;
        const auto item = items_.find(it->key);
        if (item == items_.end())
            latest.push_back({{"delete", it->key}, {"stamp", it->revision}});
        else
            latest.push_back({{"put", it->key},
                              {"v", item->second.value},
                              {"stamp", item->second.mod_revision}});
    }
    std::reverse(latest.begin(), latest.end());
    return latest;
}

// Returns how long the answer is held up.
milliseconds StateService::watch(const Front& front, const httplib::Request& request,
                                 httplib::Response& response) {
    const auto prefix = request.get_param_value("starts");
    const auto since = std::stoull(request.get_param_value("since"));
    const auto wait =
        request.has_param("wait_ms") ? std::stoi(request.get_param_value("wait_ms")) : 0;
    const auto until = Clock::now() + milliseconds(wait);
    std::unique_lock lock(mutex_);
    std::uint64_t looked = 0;
    for (;;) {
        expire();
        if (since < forgotten_) {
            answer(response, 410, {{"ledger_tick", revision_}});
            return milliseconds{0};
        }
        Value events = Value::array();
        const bool refuses = refused(front);
        if (looked != revision_ && !refuses) {
            events = events_since(prefix, since);
            looked = revision_;
        }
        if (!events.empty() || ending_ || Clock::now() >= until) {
            answer(response, 200, {{"ledger_tick", revision_}, {"events", events}});
            return events.empty() ? milliseconds{0} : slow_watches_.of(prefix);
        }
        news_.wait_for(lock, look_every);
    }
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
        changed(item.first);
        return true;
    });
    news_.notify_all();
}

void StateService::changed(const std::string& key) {
    changes_.push_back({revision_, key});
    while (changes_.size() > changes_kept) {
        forgotten_ = changes_.front().revision;
        changes_.pop_front();
    }
}

void StateService::apply(const Value& operations) {
    ++revision_;
    for (const auto& operation : operations) {
        if (operation.contains("delete")) {
            const auto key = operation["delete"].get<std::string>();
            items_.erase(key);
            changed(key);
            continue;
        }
        const auto key = operation["put"].get<std::string>();
        const auto lease = operation.contains("loan") ? operation["loan"].get<std::uint64_t>() : 0;
        items_[key] = {operation["v"], revision_, lease};
        changed(key);
    }
    news_.notify_all();
}

void StateService::read(const std::string& key, httplib::Response& response) {
    const std::lock_guard lock(mutex_);
    expire();
    const auto it = items_.find(key);
    if (it == items_.end()) return answer(response, 404, {{"ledger_tick", revision_}});
    Value out{{"path", it->first}, {"v", it->second.value}, {"stamp", it->second.mod_revision}};
    if (it->second.lease != 0) out["loan"] = it->second.lease;
    answer(response, 200, out);
}

void StateService::read_slowly(const std::string& key) {
    milliseconds late{0};
    {
        const std::lock_guard lock(mutex_);
        late = std::max(slow_reads_.of(key), drawn_slowness());
    }
    std::this_thread::sleep_for(late);
}

// Needs the lock.
milliseconds StateService::drawn_slowness() {
    if (std::uniform_real_distribution<>(0, 1)(random_) >= troubles_.slow) return milliseconds{0};
    return milliseconds(
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
        fate.before = milliseconds(late(random_));
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

void StateService::transact_in_time(Front& front, const httplib::Request& request,
                                    httplib::Response& response) {
    const auto body = wire::parse_cbor(request.body);
    if (!body) {
        ++malformed_requests_;
        return answer(response, 400, {{"error", "not CBOR"}});
    }
    const auto fate = fate_of_transaction(*body);
    std::this_thread::sleep_for(fate.before);
    compare_and_swap(front, request, response);
    std::this_thread::sleep_for(fate.after);
}

bool StateService::is_oversized(const Value& transaction) {
    const auto& operations = transaction.at("apply");
    return wire::json_size(transaction) > most_transaction_bytes ||
           std::any_of(operations.begin(), operations.end(), [](const Value& operation) {
               return operation.contains("put") &&
                      wire::json_size(operation.at("v")) > most_value_bytes;
           });
}

void StateService::compare_and_swap(Front& front, const httplib::Request& request,
                                    httplib::Response& response) {
    const std::lock_guard lock(mutex_);
    expire();
    const auto body = wire::parse_cbor(request.body);
    const auto& operations = (*body)["apply"];
    if (is_oversized(*body)) {
        ++oversized_transactions_;
        return answer(response, 400, {{"error", "too large"}});
    }
    if (!writes_.take(static_cast<double>(operations.size()), Clock::now())) {
        ++front.counts.refused;
        return answer(response, 429, {{"error", "too many writes"}});
    }
    front.counts.writes += operations.size();
    Value failed = Value::array();
    for (const auto& condition : (*body)["if"]) {
        const auto it = items_.find(condition["path"]);
        const auto mod_revision = it == items_.end() ? 0 : it->second.mod_revision;
        if (mod_revision != condition["stamp"].get<std::uint64_t>())
            failed.push_back(condition["path"]);
    }
    for (const auto& operation : operations)
        if (!refused_.empty() && operation.value("put", std::string()) == refused_)
            return answer(response, 400, {{"error", "too large"}});
    for (const auto& operation : operations)
        if (operation.contains("loan") && !leases_.contains(operation["loan"].get<std::uint64_t>()))
            return answer(response, 400, {{"error", "no such lease"}});
    if (!failed.empty())
        return answer(response, 409, {{"failed", failed}, {"ledger_tick", revision_}});
    apply(operations);
    answer(response, 200, {{"ledger_tick", revision_}});
}

StateCounts StateService::counts(std::size_t port) const {
    const std::lock_guard lock(mutex_);
    return fronts_[port]->counts;
}

std::optional<Value> StateService::value(const std::string& key) const {
    const std::lock_guard lock(mutex_);
    const auto it = items_.find(key);
    if (it == items_.end()) return std::nullopt;
    return it->second.value;
}

std::pair<std::size_t, std::size_t> StateService::size() const {
    const std::lock_guard lock(mutex_);
    std::size_t bytes = 0;
    for (const auto& [key, item] : items_) bytes += wire::to_cbor(item.value).size();
    return {items_.size(), bytes};
}

}  // namespace bendspindle::standin
