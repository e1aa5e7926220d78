// A promise made to a user survives any sequence of terms: schedules of troubles, some fixed and
// some drawn from a seed, played with the controller's own membership, cancellation replication and
// report handling in simulated time (standin/terms_world). A schedule that fails is cut down.
//
// BENDSPINDLE_TERMS=FIRST,COUNT plays other seeds than those of every day.
// BENDSPINDLE_TERMS_TRACE=1 prints what happens in each.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <iostream>

#include "core/model/fencing_token.hpp"
#include "standin/leader_change_simulation.hpp"
#include "wire/agent_messages.hpp"

namespace bendspindle {
namespace {

using standin::LeaderChangeSimulation;
using standin::TermsSetting;
using Lines = std::vector<std::string>;

// After it no more happens, and everything must be over a cancellation's time later.
constexpr double troubles_end = 110;

// Of the schedules that fail.
constexpr unsigned most_cut_down = 2;

struct Played {
    std::vector<std::string> broken;
    int confirmed = 0;
    int terms = 0;
    int expired = 0;
    int released = 0;
    std::size_t running = 0;
};

Played play(const TermsSetting& setting, const Lines& lines, bool trace = false) {
    spdlog::set_level(spdlog::level::off);
    LeaderChangeSimulation world(setting);
    if (trace) world.trace = [](const std::string& what) { std::cerr << what << "\n"; };
    for (const auto& line : lines) world.trouble(line);
    world.run(troubles_end + setting.workers.cancel.count() + 10);
    return {world.broken(),  world.confirmed(), world.terms(),
            world.expired(), world.released(),  world.running()};
}

std::string text_of(const std::vector<std::string>& lines) {
    std::string out;
    for (const auto& line : lines) out += "\n    " + line;
    return out;
}

// Leaves out line after line as long as a rule is still broken.
Lines cut_down(const TermsSetting& setting, Lines lines) {
    for (std::size_t i = lines.size(); i-- > 0;) {
        auto fewer = lines;
        fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(i));
        if (!play(setting, fewer).broken.empty()) lines = std::move(fewer);
    }
    return lines;
}

Played expect_kept(const TermsSetting& setting, const Lines& lines, bool cut = true) {
    auto out = play(setting, lines, std::getenv("BENDSPINDLE_TERMS_TRACE") != nullptr);
    if (out.broken.empty()) return out;
    if (!cut) {
        ADD_FAILURE() << "seed " << setting.seed << text_of(out.broken);
        return out;
    }
    const auto least = cut_down(setting, lines);
    ADD_FAILURE() << "seed " << setting.seed << ", " << setting.controllers << " controllers"
                  << text_of(out.broken) << "\nby the schedule" << text_of(lines) << "\ncut down to"
                  << text_of(least) << "\nwhich gives" << text_of(play(setting, least).broken);
    return out;
}

class Draw {
  public:
    explicit Draw(unsigned seed) : engine_(seed) {}
    // The engine's own numbers: distributions differ between standard libraries.
    int below(int n) { return static_cast<int>(engine_() % static_cast<unsigned>(n)); }
    double between(double from, double to) {
        return from + (to - from) * (static_cast<double>(engine_()) / 4294967296.0);
    }
    std::string number(double from, double to) {
        return std::to_string(between(from, to)).substr(0, 5);
    }

  private:
    std::mt19937 engine_;
};

std::string some_trouble(Draw& draw, int controllers) {
    const auto some = [&] { return "c" + std::to_string(draw.below(controllers)); };
    const auto anyone = [&] { return draw.below(3) ? std::string("leader") : some(); };
    switch (draw.below(22)) {
        case 0:
        case 1:
        case 2:
        case 3:
            return "end leader " + draw.number(0.05, 0.5);
        case 4:
            return "end " + some() + " " + draw.number(0.05, 12);
        case 5:
        case 6:
            return "cancel " + std::to_string(1 + draw.below(4)) + " hang " + draw.number(2, 25);
        case 7:
            return "cancel " + std::to_string(1 + draw.below(3));
        case 8:
            return "end-at-confirmation " + draw.number(0, 0.6) + " " + draw.number(0.05, 0.5);
        case 9:
            return "end-at-takeover " + draw.number(0, 6) + " " + draw.number(0.05, 0.5);
        case 10:
            return "freeze " + anyone() + " " + draw.number(0.5, 14);
        case 11:
            return "cut-state " + anyone() + (draw.below(2) ? " refused " : " held ") +
                   draw.number(2, 20);
        case 12:
            return "cut-peers " + anyone() + " " + draw.number(2, 20);
        case 13: {
            const int one = draw.below(controllers);
            const int other = (one + 1 + draw.below(controllers - 1)) % controllers;
            return "cut-pair c" + std::to_string(one) + " c" + std::to_string(other) + " " +
                   draw.number(2, 20);
        }
        case 14:
            return "cut-workers " + anyone() + " " + draw.number(0.2, 1) + " " + draw.number(4, 30);
        case 15:
            return "peers-refuse " + draw.number(1, 12);
        case 16:
            return "outage " + draw.number(1, 30);
        case 17:
            return "refuse " + anyone() + " " + draw.number(2, 20);
        case 18:
            return draw.below(2) ? "slow " + draw.number(0.02, 0.5) + " " + draw.number(5, 40)
                                 : "late " + draw.number(0.05, 0.5) + " " + draw.number(5, 40);
        case 19:
            return (draw.below(2) ? "mute " : "deaf ") + draw.number(0.1, 0.6) + " " +
                   draw.number(4, 40);
        case 20:
            return draw.below(2) ? "hang " + draw.number(0.1, 0.6) + " " + draw.number(2, 25)
                                 : std::string("copies");
        default:
            return "cloud-down " + draw.number(5, 60);
    }
}

TermsSetting drawn_setting(Draw& draw, unsigned seed) {
    TermsSetting setting;
    setting.seed = seed;
    setting.controllers = draw.below(3) ? 3 : 5;
    setting.machines = 5 + draw.below(4);
    // With and without the way out that machines are returned.
    setting.release = draw.below(2) != 0;
    if (draw.below(3) == 0) {
        setting.workers.heartbeat = core::Seconds(2);
        setting.workers.lease = core::Seconds(20);
        setting.workers.cancel = core::Seconds(40);
    }
    return setting;
}

// Some quiet at first, so that work runs; cancellations come in bursts of troubles.
Lines drawn(Draw& draw, int controllers) {
    Lines out;
    const int bursts = 1 + draw.below(3);
    for (int i = 0; i < bursts; ++i) {
        const double from = draw.between(15, 70);
        const int troubles = 3 + draw.below(12);
        out.push_back(std::to_string(from).substr(0, 5) + " cancel " +
                      std::to_string(1 + draw.below(6)) +
                      (draw.below(2) ? " hang " + draw.number(5, 25) : std::string{}));
        for (int k = 0; k < troubles; ++k)
            out.push_back(std::to_string(from + draw.between(-5, 35)).substr(0, 5) + " " +
                          some_trouble(draw, controllers));
    }
    return out;
}

std::string at(double time) {
    return std::to_string(time).substr(0, 5) + " ";
}

// What was cancelled hangs for most of its lease; leader after leader ends just as it goes on.
Lines drawn_storm(Draw& draw, int controllers) {
    Lines out;
    const double from = draw.between(15, 40);
    const double hang = draw.between(8, 28);
    out.push_back(at(from) + "cancel " + std::to_string(3 + draw.below(12)) + " hang " +
                  std::to_string(hang).substr(0, 5));
    if (draw.below(2)) out.push_back(at(from) + "end-at-confirmation 0.1 0.2");
    const int troubles = 6 + draw.below(12);
    for (int k = 0; k < troubles; ++k) {
        const auto time = at(from + hang + draw.between(-6, 12));
        switch (draw.below(7)) {
            case 0:
                out.push_back(time + "end leader " + draw.number(0.05, 0.5));
                break;
            case 1:
                out.push_back(time + "end-at-takeover " + draw.number(0, 2) + " " +
                              draw.number(0.05, 0.5));
                break;
            case 2:
                out.push_back(time + "slow 0.6 " + draw.number(2, 10));
                break;
            case 3:
                out.push_back(time + "cut-workers leader 1 " + draw.number(2, 15));
                break;
            case 4:
                out.push_back(time + "mute 0.5 " + draw.number(1, 6));
                break;
            default:
                out.push_back(time + some_trouble(draw, controllers));
        }
    }
    return out;
}

// The leader goes on behind a cut with some of the workers, while another one takes the role and
// users cancel there.
Lines drawn_split(Draw& draw, int controllers) {
    const double from = draw.between(14, 25);
    const auto length = draw.number(40, 80);
    Lines out{at(from) + "cut-workers c0 " + draw.number(0, 0.8) + " " + length,
              at(from) + "cut-workers c1 " + draw.number(0, 0.8) + " " + length,
              at(from) + "cut-workers c2 " + draw.number(0, 0.8) + " " + length,
              at(from) + "cut-state leader " + (draw.below(2) ? "held " : "refused ") + length,
              at(from) + "cut-peers leader " + length};
    const int troubles = 3 + draw.below(6);
    for (int k = 0; k < troubles; ++k)
        out.push_back(at(from + draw.between(4, 40)) +
                      (draw.below(2) ? "cancel " + std::to_string(1 + draw.below(4))
                                     : some_trouble(draw, controllers)));
    return out;
}

// The one that confirms is lost right after, and the state service with it: nobody can take the
// role. The machines do not hear what it ordered.
Lines drawn_outage(Draw& draw, int controllers) {
    const double from = draw.between(14, 50);
    const auto back = draw.below(2) ? draw.number(40, 70) : draw.number(0.05, 0.5);
    Lines out{at(from - 0.5) + "deaf " + draw.number(0.5, 1) + " " + draw.number(1, 9),
              at(from) + "cancel " + std::to_string(2 + draw.below(8)),
              at(from) + "end-at-confirmation " + draw.number(0, 0.4) + " " + back,
              at(from + draw.between(0.3, 2)) + "outage " + draw.number(20, 60)};
    const int troubles = draw.below(6);
    for (int k = 0; k < troubles; ++k)
        out.push_back(at(from + draw.between(-3, 40)) + some_trouble(draw, controllers));
    return out;
}

Lines drawn_of_some_kind(Draw& draw, unsigned seed, int controllers) {
    switch (seed % 4) {
        case 0:
            return drawn_storm(draw, controllers);
        case 1:
            return drawn_split(draw, controllers);
        case 2:
            return drawn_outage(draw, controllers);
        default:
            return drawn(draw, controllers);
    }
}

// A leader whose state service, peers and records a test leads.
class Leader : public testing::Test {
  protected:
    class FixedRole : public leadership::Leadership {
      public:
        leadership::LeadershipStatus status() const override { return {3, "c0", true, 1}; }
        bool lease_valid() const override { return true; }
        core::TimePoint lease_end() const override { return start + std::chrono::hours(1); }
        bool knows_leadership_record() const override { return true; }
        void observe_newer_term(std::uint64_t) override {}
        void learn_leader(std::uint64_t, const std::string&) override {}
    };

    Leader() { replication_.on_elected(); }

    static core::Heartbeat heartbeat(std::uint64_t sequence, std::uint64_t seen_term,
                                     std::uint32_t generation = 0) {
        core::Heartbeat out;
        out.machine = "m1";
        out.address = "127.0.0.1:1";
        out.type = "g8";
        out.zone = "a";
        out.agent_epoch = 1;
        out.sequence = sequence;
        out.fencing_token = core::fencing_token(seen_term, generation);
        out.tasks = {{"job-100001", 0, 7, core::TaskState::running, core::ExitCause::none, false},
                     {"job-100002", 0, 7, core::TaskState::running, core::ExitCause::none, false}};
        return out;
    }
    static core::JobSpec spec(const std::string& id) {
        core::JobSpec out;
        out.id = id;
        out.team = "t";
        out.kind = core::Kind::service;
        out.need = {1, 0, 1};
        return out;
    }
    // Job 2 is open, and job 1 is not: it was cancelled under a former leader.
    std::unique_ptr<core::Controller> loaded() const {
        core::Config config;
        config.teams = {{"t", {}, {}}};
        auto out = std::make_unique<core::Controller>(config, 3);
        out->load_machine(
            {"m1", "127.0.0.1:1", "g8", "a", false, core::MachineStage::running, core::Seconds{0}},
            1, start);
        core::JobRecord record;
        record.spec = spec("job-100002");
        out->load_job(record, 1, start);
        return out;
    }
    static std::vector<std::string> stopped(const core::HeartbeatResponse& answer) {
        std::vector<std::string> out;
        for (const auto& command : answer.commands)
            if (command.verb == core::TaskCommand::Verb::stop) out.push_back(command.job);
        return out;
    }

    static inline const core::TimePoint start{std::chrono::hours(1)};
    core::TimePoint now_ = start;
    core::AgentTimings workers_{core::Seconds(6), core::Seconds(31), core::Seconds(30),
                                core::Seconds(4), core::Seconds(51)};
    io::ClockFunction clock_ = [this] { return now_; };
    FixedRole leadership_;
    state::LeaderState leader_state_;
    leadership::Peers peers_{
        {"c1", "c2"}, [](const auto&, const auto&) { return std::nullopt; }, clock_};
    leadership::CancellationReplication replication_{"c0", workers_, leadership_, peers_, clock_};
    agents::HeartbeatHandler desk_{workers_, leader_state_, leadership_,
                                   peers_,   replication_,  clock_};
};

using Jobs = std::vector<std::string>;
using JobSet = std::set<std::string>;

// Guard against ran_cancelled: leader after leader renewed the lease by its first answer, which
// held no stops because the machine had not shown the token yet.
TEST_F(Leader, StopsWhatIsOverInItsFirstAnswerToAMachine) {
    const auto controller = loaded();
    EXPECT_EQ(stopped(controller->heartbeat(heartbeat(1, 2), start)), Jobs{"job-100001"});
}

TEST_F(Leader, StopsWhatItCancelledOnAMachineThatHasNotShownTheToken) {
    const auto controller = loaded();
    EXPECT_TRUE(controller->cancel("job-100002", start));
    EXPECT_EQ(stopped(controller->heartbeat(heartbeat(1, 2), start)),
              (Jobs{"job-100001", "job-100002"}));
}

// The answer to a direct call may overtake a report, whose answer renews the lease all the same.
TEST_F(Leader, StopsWhatIsOverInTheAnswerToAnOvertakenReport) {
    const auto controller = loaded();
    const auto calls = controller->direct_commands(start);
    ASSERT_EQ(calls.size(), 1U);
    const auto answer = heartbeat(2, 3);
    controller->complete_direct_call(calls[0], core::CommandOutcome::executed, &answer, start);
    EXPECT_EQ(stopped(controller->heartbeat(heartbeat(1, 2), start)), Jobs{"job-100001"});
}

// The answer before may be lost, and this leader may be gone before it repeats the stop.
TEST_F(Leader, RepeatsTheStopOfWhatIsCancelledInEachAnswer) {
    const auto controller = loaded();
    controller->heartbeat(heartbeat(1, 3), start);
    EXPECT_TRUE(controller->cancel("job-100002", start));
    for (std::uint64_t sequence = 2; sequence < 6; ++sequence)
        EXPECT_EQ(stopped(controller->heartbeat(heartbeat(sequence, 3), start)).size(), 2U)
            << sequence;
}

TEST_F(Leader, StopsNothingOfAJobThatItCannotRead) {
    const auto controller = loaded();
    controller->quarantine("job-100001");
    EXPECT_EQ(stopped(controller->heartbeat(heartbeat(1, 2), start)), Jobs{});
}

// Told to followers: what of former terms is still there, though this leader never knew it.
TEST_F(Leader, NamesWhatIsOverAndStillOnMachinesInItsWord) {
    const auto controller = loaded();
    EXPECT_FALSE(leadership::cancelled_jobs(*controller).complete);
    controller->heartbeat(heartbeat(1, 3), start);
    EXPECT_TRUE(leadership::cancelled_jobs(*controller).complete);
    EXPECT_EQ(leadership::cancelled_jobs(*controller).jobs, JobSet{"job-100001"});
    auto without = heartbeat(2, 3);
    without.tasks.erase(without.tasks.begin());
    controller->heartbeat(without, start);
    EXPECT_EQ(leadership::cancelled_jobs(*controller).jobs, JobSet{});
}

// Before its records are loaded it renews no longer than a follower may, with the same stops.
TEST_F(Leader, WithoutRecordsRenewsByWhatItRemembersOnly) {
    const auto body = wire::heartbeat_body(heartbeat(1, 2));
    EXPECT_EQ(desk_.handle(body, agents::RequestOrigin::client).status, 503);
    replication_.on_deposed({true, {"job-100001"}});
    const auto response = desk_.handle(body, agents::RequestOrigin::client);
    ASSERT_EQ(response.status, 200);
    const core::TaskCommand stop{core::TaskCommand::Verb::stop, "job-100001", 0, 7,
                                 core::Seconds{0}};
    EXPECT_EQ(response.body, wire::commands_body(core::fencing_token(3), {stop}));
    now_ = core::later(start, leadership::renewal_bound(workers_) + core::Seconds(1));
    EXPECT_EQ(desk_.handle(body, agents::RequestOrigin::client).status, 503);
}

// Guards against lost leases: an agent drops a response with a lower token than it has seen.
TEST_F(Leader, WithoutRecordsRenewsUnderARaisedToken) {
    constexpr std::uint32_t raised = 5;
    replication_.on_deposed({true, {}});
    const auto response =
        desk_.handle(wire::heartbeat_body(heartbeat(1, 3, raised)), agents::RequestOrigin::client);
    EXPECT_EQ(response.body, wire::commands_body(core::fencing_token(3, raised), {}));
}

// During a roll-out the agent's leader may send plain terms, below all tokens of this version.
TEST_F(Leader, WithoutRecordsKeepsAPlainTermAsTheToken) {
    replication_.on_deposed({true, {}});
    auto from_former_version = heartbeat(1, 3);
    from_former_version.fencing_token = 2;
    const auto response =
        desk_.handle(wire::heartbeat_body(from_former_version), agents::RequestOrigin::client);
    EXPECT_EQ(response.body, wire::commands_body(2, {}));
}

TEST(LeaderChanges, WithoutTroublesWorkRunsAndCancellationsEndIt) {
    TermsSetting setting;
    const auto out = expect_kept(setting, {"20 cancel 5"});
    EXPECT_EQ(out.confirmed, 5);
    EXPECT_EQ(out.terms, 1);
    EXPECT_EQ(out.expired, 0);
    EXPECT_EQ(out.released, 0);
    EXPECT_GT(out.running, 10U);
}

// Found on a day with many leaders: one that had confirmed ended, its machines hung, and six terms
// followed within 35 s. Each leader's first answer to a machine renewed its lease without a stop.
TEST(LeaderChanges, ManyLeadersAfterACancellation) {
    for (unsigned seed = 1; seed <= 20; ++seed) {
        TermsSetting setting;
        setting.seed = seed;
        setting.machines = 10;
        setting.release = false;
        const auto out = expect_kept(
            setting, {"29 mute 0.3 40", "30 end-at-confirmation 0.3 0.2", "30 cancel 12 hang 20",
                      "38 end leader 0.2", "44 end leader 0.2", "48 outage 2", "53 end leader 0.2",
                      "58 end leader 0.2", "63 end leader 0.2", "68 end leader 0.2"});
        EXPECT_GE(out.confirmed, 8);
        EXPECT_GE(out.terms, 6);
        if (!out.broken.empty()) break;
    }
}

TEST(LeaderChanges, RandomSchedules) {
    unsigned first = 1;
    unsigned count = 200;
    if (const char* given = std::getenv("BENDSPINDLE_TERMS")) {
        const std::string text(given);
        first = static_cast<unsigned>(std::stoul(text));
        count = static_cast<unsigned>(std::stoul(text.substr(text.find(',') + 1)));
    }
    Played sum;
    unsigned failed = 0;
    for (unsigned seed = first; seed < first + count; ++seed) {
        Draw draw(seed);
        const auto setting = drawn_setting(draw, seed);
        const auto lines = drawn_of_some_kind(draw, seed, setting.controllers);
        const auto out = expect_kept(setting, lines, failed < most_cut_down);
        failed += !out.broken.empty();
        sum.confirmed += out.confirmed;
        sum.terms += out.terms;
        sum.expired += out.expired;
        sum.released += out.released;
    }
    std::cout << count << " schedules: " << sum.confirmed << " cancellations confirmed, "
              << sum.terms << " terms, " << sum.expired << " leases of workers over, "
              << sum.released << " machines released\n";
    EXPECT_GT(sum.confirmed, static_cast<int>(count));
    EXPECT_GT(sum.terms, static_cast<int>(count * 3));
}

}  // namespace
}  // namespace bendspindle
