#include "standin/simulated_key_value_store.hpp"

#include <algorithm>

namespace bendspindle::standin {

namespace {

using core::Seconds;
using state::StoreStatus;

constexpr Seconds call_limit{1.5};
constexpr double usual_ms = 3;

}  // namespace

void SimulatedService::expire() {
    if (down_) return;
    std::vector<std::uint64_t> over;
    for (const auto& [id, lease] : leases_)
        if (lease.ends <= timeline_.now()) over.push_back(id);
    for (const auto id : over) end(id);
}

void SimulatedService::end(std::uint64_t lease) {
    leases_.erase(lease);
    const auto before = items_.size();
    std::erase_if(items_, [&](const auto& entry) { return entry.second.lease == lease; });
    if (items_.size() != before) ++revision_;
}

void SimulatedService::outage(bool down) {
    expire();
    down_ = down;
    if (down) return;
    for (auto& [id, lease] : leases_) lease.ends = timeline_.now() + lease.life;
}

state::ReadResult SimulatedService::get(const std::string& key) {
    expire();
    const auto found = items_.find(key);
    if (found == items_.end()) return {StoreStatus::absent, {}};
    const auto& item = found->second;
    return {StoreStatus::ok, {key, item.value, item.mod_revision, item.lease}};
}

state::ListResult SimulatedService::list(const std::string& prefix) {
    expire();
    state::ListResult out{StoreStatus::ok, {}, revision_};
    for (auto it = items_.lower_bound(prefix); it != items_.end(); ++it) {
        if (!it->first.starts_with(prefix)) break;
        out.entries.push_back(
            {it->first, it->second.value, it->second.mod_revision, it->second.lease});
    }
    return out;
}

state::CasResult SimulatedService::compare_and_swap(
    const std::vector<wire::Condition>& conditions,
    const std::vector<wire::Operation>& operations) {
    expire();
    for (const auto& operation : operations)
        if (operation.put && operation.lease && !leases_.contains(*operation.lease))
            return {StoreStatus::invalid, revision_, {}};
    state::CasResult out{StoreStatus::ok, revision_, {}};
    for (const auto& condition : conditions) {
        const auto found = items_.find(condition.key);
        const auto mod_revision = found == items_.end() ? 0 : found->second.mod_revision;
        if (mod_revision != condition.mod_revision) out.failed.push_back(condition.key);
    }
    if (!out.failed.empty()) {
        out.outcome = StoreStatus::conflict;
        return out;
    }
    out.revision = ++revision_;
    for (const auto& operation : operations) {
        if (operation.put)
            items_[operation.key] = {*operation.put, revision_, operation.lease.value_or(0)};
        else
            items_.erase(operation.key);
    }
    return out;
}

std::optional<std::uint64_t> SimulatedService::grant_lease(std::chrono::milliseconds life) {
    leases_[++next_lease_] = {life, timeline_.now() + life};
    return next_lease_;
}

StoreStatus SimulatedService::keep_alive(std::uint64_t lease) {
    expire();
    const auto found = leases_.find(lease);
    if (found == leases_.end()) return StoreStatus::absent;
    found->second.ends = timeline_.now() + found->second.life;
    return StoreStatus::ok;
}

StoreStatus SimulatedService::revoke_lease(std::uint64_t lease) {
    expire();
    if (!leases_.contains(lease)) return StoreStatus::absent;
    end(lease);
    return StoreStatus::ok;
}

// The request is on its way whatever becomes of the one that sent it.
template <typename Answer>
std::optional<Answer> SimulatedKeyValueStore::ask(std::function<Answer()> execute, Answer refused,
                                                  bool writes) {
    const auto way = way_();
    if (way == Way::refused) {
        timeline_.wait(Seconds{0.001});
        return std::nullopt;
    }
    const bool slow = service_.below_one() < service_.slow_share;
    const Seconds there{usual_ms / 1000 * (0.5 + service_.below_one()) *
                        (slow ? service_.slow_times : 1)};
    const bool unanswered = writes && service_.below_one() < service_.late_share;
    const bool late = unanswered && service_.below_one() >= service_.late_at_once;
    const Seconds delay = late ? Seconds{2 + 10 * service_.below_one()} : there;
    struct Exchange {
        std::optional<Answer> answer;
        std::shared_ptr<Timeline::Signal> done = std::make_shared<Timeline::Signal>();
    };
    const auto exchange = std::make_shared<Exchange>();
    // What a cut holds arrives once it is over, or never matters.
    const auto arrive = [=, this, &service = service_, &timeline = timeline_,
                         name = controller_](const auto& again) -> void {
        if (way_() == Way::held) {
            timeline.after(Seconds{0.2}, [again] { again(again); });
            return;
        }
        auto answer = service.down() || service.refused.contains(name) ? refused : execute();
        if (unanswered) return;
        timeline.after(there, [=, &timeline] {
            exchange->answer = answer;
            timeline.set(exchange->done);
        });
    };
    timeline_.after(delay, [arrive] { arrive(arrive); });
    timeline_.wait_for(exchange->done, call_limit);
    return exchange->answer;
}

bool SimulatedKeyValueStore::answered(StoreStatus outcome) {
    if (outcome == StoreStatus::ok || outcome == StoreStatus::absent ||
        outcome == StoreStatus::conflict)
        last_success_ = timeline_.now();
    return true;
}

state::ReadResult SimulatedKeyValueStore::get(const std::string& key) {
    const auto answer = ask<state::ReadResult>([this, key] { return service_.get(key); },
                                               {StoreStatus::refused, {}}, false);
    if (!answer) return {};
    answered(answer->outcome);
    return *answer;
}

state::ListResult SimulatedKeyValueStore::list(const std::string& prefix) {
    const auto answer = ask<state::ListResult>([this, prefix] { return service_.list(prefix); },
                                               {StoreStatus::refused, {}, 0}, false);
    if (!answer) return {};
    answered(answer->outcome);
    return *answer;
}

state::CasResult SimulatedKeyValueStore::compare_and_swap(
    const std::vector<wire::Condition>& conditions,
    const std::vector<wire::Operation>& operations) {
    const auto answer = ask<state::CasResult>(
        [&service = service_, conditions, operations] {
            return service.compare_and_swap(conditions, operations);
        },
        {StoreStatus::refused, 0, {}}, true);
    if (!answer) return {};
    answered(answer->outcome);
    return *answer;
}

std::optional<std::uint64_t> SimulatedKeyValueStore::grant_lease(std::chrono::milliseconds life) {
    using Granted = std::optional<std::uint64_t>;
    const auto answer = ask<Granted>(
        [&service = service_, life] { return service.grant_lease(life); }, std::nullopt, false);
    if (!answer || !*answer) return std::nullopt;
    answered(StoreStatus::ok);
    return *answer;
}

StoreStatus SimulatedKeyValueStore::keep_alive(std::uint64_t lease) {
    const auto answer =
        ask<StoreStatus>([&service = service_, lease] { return service.keep_alive(lease); },
                         StoreStatus::refused, false);
    if (answer) answered(*answer);
    return answer.value_or(StoreStatus::unknown);
}

StoreStatus SimulatedKeyValueStore::revoke_lease(std::uint64_t lease) {
    const auto answer =
        ask<StoreStatus>([&service = service_, lease] { return service.revoke_lease(lease); },
                         StoreStatus::refused, false);
    if (answer) answered(*answer);
    return answer.value_or(StoreStatus::unknown);
}

}  // namespace bendspindle::standin
