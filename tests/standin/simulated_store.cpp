#include "standin/simulated_store.hpp"

#include <algorithm>

namespace bendspindle::standin {

namespace {

using app::Outcome;
using core::Seconds;

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

app::Read SimulatedService::get(const std::string& key) {
    expire();
    const auto found = items_.find(key);
    if (found == items_.end()) return {Outcome::absent, {}};
    const auto& item = found->second;
    return {Outcome::ok, {key, item.value, item.stamp, item.lease}};
}

app::Listing SimulatedService::list(const std::string& prefix) {
    expire();
    app::Listing out{Outcome::ok, {}, revision_};
    for (auto it = items_.lower_bound(prefix); it != items_.end(); ++it) {
        if (!it->first.starts_with(prefix)) break;
        out.entries.push_back({it->first, it->second.value, it->second.stamp, it->second.lease});
    }
    return out;
}

app::Txn SimulatedService::transact(const std::vector<wire::Condition>& conditions,
                                    const std::vector<wire::Operation>& operations) {
    expire();
    for (const auto& operation : operations)
        if (operation.put && operation.lease && !leases_.contains(*operation.lease))
            return {Outcome::invalid, revision_, {}};
    app::Txn out{Outcome::ok, revision_, {}};
    for (const auto& condition : conditions) {
        const auto found = items_.find(condition.key);
        const auto stamp = found == items_.end() ? 0 : found->second.stamp;
        if (stamp != condition.stamp) out.failed.push_back(condition.key);
    }
    if (!out.failed.empty()) {
        out.outcome = Outcome::conflict;
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

std::optional<std::uint64_t> SimulatedService::grant(std::chrono::milliseconds life) {
    leases_[++next_lease_] = {life, timeline_.now() + life};
    return next_lease_;
}

Outcome SimulatedService::touch(std::uint64_t lease) {
    expire();
    const auto found = leases_.find(lease);
    if (found == leases_.end()) return Outcome::absent;
    found->second.ends = timeline_.now() + found->second.life;
    return Outcome::ok;
}

Outcome SimulatedService::revoke(std::uint64_t lease) {
    expire();
    if (!leases_.contains(lease)) return Outcome::absent;
    end(lease);
    return Outcome::ok;
}

// The request is on its way whatever becomes of the one that sent it.
template <typename Answer>
std::optional<Answer> SimulatedStore::ask(std::function<Answer()> execute, Answer refused,
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

bool SimulatedStore::answered(Outcome outcome) {
    if (outcome == Outcome::ok || outcome == Outcome::absent || outcome == Outcome::conflict)
        last_ok_ = timeline_.now();
    return true;
}

app::Read SimulatedStore::get(const std::string& key) {
    const auto answer =
        ask<app::Read>([this, key] { return service_.get(key); }, {Outcome::refused, {}}, false);
    if (!answer) return {};
    answered(answer->outcome);
    return *answer;
}

app::Listing SimulatedStore::list(const std::string& prefix) {
    const auto answer = ask<app::Listing>([this, prefix] { return service_.list(prefix); },
                                          {Outcome::refused, {}, 0}, false);
    if (!answer) return {};
    answered(answer->outcome);
    return *answer;
}

app::Txn SimulatedStore::transact(const std::vector<wire::Condition>& conditions,
                                  const std::vector<wire::Operation>& operations) {
    const auto answer =
        ask<app::Txn>([&service = service_, conditions,
                       operations] { return service.transact(conditions, operations); },
                      {Outcome::refused, 0, {}}, true);
    if (!answer) return {};
    answered(answer->outcome);
    return *answer;
}

std::optional<std::uint64_t> SimulatedStore::grant(std::chrono::milliseconds life) {
    using Granted = std::optional<std::uint64_t>;
    const auto answer = ask<Granted>([&service = service_, life] { return service.grant(life); },
                                     std::nullopt, false);
    if (!answer || !*answer) return std::nullopt;
    answered(Outcome::ok);
    return *answer;
}

Outcome SimulatedStore::touch(std::uint64_t lease) {
    const auto answer = ask<Outcome>([&service = service_, lease] { return service.touch(lease); },
                                     Outcome::refused, false);
    if (answer) answered(*answer);
    return answer.value_or(Outcome::unknown);
}

Outcome SimulatedStore::revoke(std::uint64_t lease) {
    const auto answer = ask<Outcome>([&service = service_, lease] { return service.revoke(lease); },
                                     Outcome::refused, false);
    if (answer) answered(*answer);
    return answer.value_or(Outcome::unknown);
}

}  // namespace bendspindle::standin
