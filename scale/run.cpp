#include "run.hpp"

#include <algorithm>
#include <random>

#include "cloud.hpp"
#include "controllers.hpp"
#include "event_loop.hpp"
#include "measure.hpp"
#include "simulated_agents.hpp"
#include "task_oracle.hpp"
#include "users.hpp"
#include "wire/records.hpp"

namespace bendspindle::scale {

namespace {

using nlohmann::json;

constexpr std::chrono::seconds check_every{1};
constexpr std::chrono::milliseconds last_window_late{100};
constexpr double seconds_a_day = 86'400;

std::vector<int> state_ports(const ScaleSettings& settings) {
    std::vector<int> out;
    out.reserve(static_cast<std::size_t>(settings.controllers.count));
    for (int i = 0; i < settings.controllers.count; ++i) out.push_back(settings.state_port(i));
    return out;
}

// Everything that takes part, begun and ended in order.
class Run {
  public:
    Run(const ScaleSettings& settings, const std::string& program)
        : settings_(settings),
          random_(settings.time.seed),
          oracle_(settings.teams(), settings.workers.times.cancel),
          state_(state_ports(settings),
                 {true, settings.services.requests_per_s, settings.services.writes_per_s}),
          agents_(loop_, settings, oracle_, random_),
          cloud_(loop_, settings, agents_, random_),
          users_(loop_, settings, oracle_, random_),
          controllers_(settings, program),
          measure_({agents_, users_, oracle_, state_, controllers_}, Clock::now()) {}

    RunResult play();

  private:
    void plan();
    void check();
    void find_leader();
    void window();
    void fault(const FaultSettings& fault);
    void end_leader(const FaultSettings& fault);
    void trouble(double per_day, std::function<void(const std::string&)> what);
    std::vector<std::string> all() const;

    const ScaleSettings& settings_;
    std::mt19937_64 random_;
    EventLoop loop_;
    TaskOracle oracle_;
    standin::StateService state_;
    SimulatedAgents agents_;
    Cloud cloud_;
    Users users_;
    Controllers controllers_;
    Measure measure_;
    TimePoint measured_from_{};
    TimePoint end_{};
    int leader_ = 0;
    bool ended_by_itself_ = false;
    json faults_ = json::array();
};

std::vector<std::string> Run::all() const {
    std::vector<std::string> out;
    for (const auto& zone : settings_.zones)
        for (auto& name : agents_.at(zone.name)) out.push_back(std::move(name));
    return out;
}

// As the controllers have recorded it. Who answers reports does not tell: followers pass them on.
void Run::find_leader() {
    const auto recorded = state_.value("view");
    const auto view = recorded ? wire::parse_leadership_record(*recorded) : std::nullopt;
    for (int i = 0; view && i < controllers_.count(); ++i)
        if (view->leader == controller_name(i)) leader_ = i;
}

void Run::check() {
    const auto now = Clock::now();
    oracle_.check(now);
    find_leader();
    if (!controllers_.ended().empty()) ended_by_itself_ = true;
    if (now + check_every < end_) loop_.at(now + check_every, [this] { check(); });
}

void Run::window() {
    measure_.window(leader_, Clock::now());
    const auto next = core::later(Clock::now(), settings_.time.window);
    if (next <= end_ + last_window_late) loop_.at(next, [this] { window(); });
}

void Run::end_leader(const FaultSettings& fault) {
    const auto leader = leader_;
    controllers_.kill(leader);
    loop_.at(core::later(Clock::now(), fault.lasts),
             [this, leader] { controllers_.start(leader); });
}

void Run::fault(const FaultSettings& fault) {
    const auto names = fault.place.empty() ? std::vector<std::string>{} : agents_.at(fault.place);
    faults_.push_back({{"at_s", fault.at.count()},
                       {"what", fault.name},
                       {"place", fault.place},
                       {"machines", names.size()},
                       {"leader", leader_}});
    if (fault.what == FaultSettings::What::end_leader) return end_leader(fault);
    for (const auto& name : names) {
        if (fault.what == FaultSettings::What::lose) cloud_.lose(name);
        if (fault.what == FaultSettings::What::cut) agents_.cut(name, fault.lasts);
        if (fault.what == FaultSettings::What::hang) agents_.hang(name, fault.lasts);
    }
}

// Something happens to a machine drawn from all, again and again.
void Run::trouble(double per_day, std::function<void(const std::string&)> what) {
    if (per_day <= 0) return;
    const Seconds pause(std::exponential_distribution(per_day / seconds_a_day)(random_));
    const auto when = core::later(Clock::now(), pause);
    if (when > end_) return;
    loop_.at(when, [this, per_day, what = std::move(what)]() mutable {
        const auto names = all();
        if (!names.empty())
            what(names[std::uniform_int_distribution<std::size_t>(0, names.size() - 1)(random_)]);
        trouble(per_day, std::move(what));
    });
}

void Run::plan() {
    const auto now = Clock::now();
    measured_from_ = core::later(now, settings_.time.warm_up);
    end_ = core::later(measured_from_, settings_.time.measure);
    loop_.at(measured_from_, [this] {
        measure_.begin(Clock::now());
        loop_.at(core::later(Clock::now(), settings_.time.window), [this] { window(); });
    });
    for (const auto& fault : settings_.faults)
        loop_.at(core::later(measured_from_, fault.at), [this, &fault] { this->fault(fault); });
    const auto& rates = settings_.rates;
    trouble(rates.deaths_per_day, [this](const auto& name) { cloud_.lose(name); });
    trouble(rates.restarts_per_day,
            [this](const auto& name) { agents_.restart(name, settings_.rates.restart); });
    trouble(rates.hangs_per_day,
            [this](const auto& name) { agents_.hang(name, settings_.rates.hang); });
    check();
}

RunResult Run::play() {
    controllers_.start_all();
    cloud_.begin(settings_.workers.count);
    plan();
    users_.begin(end_);
    // A moment more than the end, so that the last window is whole.
    loop_.run_until(end_ + 2 * last_window_late);
    if (!controllers_.ended().empty()) ended_by_itself_ = true;
    RunResult out;
    out.figures = measure_.results();
    out.figures["settings"] = json::parse(settings_.text);
    out.figures["faults"] = faults_;
    out.figures["ended_by_itself"] = ended_by_itself_;
    out.figures["rented"] = cloud_.scaled_out();
    out.figures["released"] = cloud_.released();
    for (const auto& [rule, count] : out.figures["rules"]["broken"].items())
        out.rule_broken = out.rule_broken || count.get<std::uint64_t>() > 0;
    out.nothing_ran = oracle_.counts().starts == 0 && settings_.load.jobs_per_s > 0;
    out.ended_by_itself = ended_by_itself_;
    return out;
}

}  // namespace

RunResult play(const ScaleSettings& settings, const std::string& program) {
    return Run(settings, program).play();
}

}  // namespace bendspindle::scale
