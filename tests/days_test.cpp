// Whole days of the simulated cluster, hundreds of machines and overlapping failures, drawn from a
// fixed seed. Rules are checked at every step, and a digest of all decisions is compared with the
// one recorded: work on the core's inner order must not change what it decides. A change that is
// meant to records the new digest, and says why in its commit.
#include <gtest/gtest.h>
#include <xxhash.h>

#include <random>

#include "standin/simulated_cluster.hpp"

namespace bendspindle {
namespace {

struct Day {
    const char* name;
    unsigned seed;
    int machines;  // up at the start; more are scaled out
    int seconds;
    double jobs_a_second;
    bool failovers;  // the leader ends, twice shortly one after the other
    bool outage;     // the state service is down, also while a failover is due
    const char* digest;
};

// The draws below use the engine's own numbers: distributions differ between standard libraries.
class Draw {
  public:
    explicit Draw(unsigned seed) : engine_(seed) {}
    int below(int n) { return static_cast<int>(engine_() % static_cast<unsigned>(n)); }
    bool once_in(int n) { return below(n) == 0; }

  private:
    std::mt19937 engine_;
};

class DayPlayer {
  public:
    explicit DayPlayer(const Day& day) : day_(day), draw_(day.seed) {
        XXH3_64bits_reset(state_.get());
        cluster_.set_decision_observer([this](const std::string& decision) {
            XXH3_64bits_update(state_.get(), decision.data(), decision.size());
            for (auto& [kind, times] : kinds_)
                if (decision.find(kind) != std::string::npos) ++times;
        });
    }

    std::string play() {
        say("type big cpus=32 gpus=4 memory=256 price=10 spot-price=3 boot=20 cache=20");
        say("type thin cpus=32 memory=128 price=2 spot-price=0.6 boot=10 cache=20");
        say("team red cpus=400 cpus-max=1500 gpus=100 gpus-max=400");
        say("team blue cpus=600 cpus-max=2500 gpus=200 gpus-max=500");
        say("start-within urgent 15");
        say("keep-idle 20");
        say("scale-out yes capacity=60 boot=12");
        say("direct-commands yes");
        say("controller");
        for (int i = 0; i < day_.machines; ++i) {
            machine_ = std::string("m").append(std::to_string(i));
            say("machine " + machine_ + (i % 3 == 0 ? " thin " : " big ") +
                (i % 2 == 0 ? "a" : "b") + (i % 5 == 0 ? " spot=yes" : "") +
                (i % 41 == 40 ? " faulty=yes" : ""));
        }
        for (int second = 0; second < day_.seconds; ++second) {
            if (leader_is_up_) submit(second);
            if (second > 20) fail(second);
            say("run 1");
        }
        std::ostringstream out;
        out << std::hex << XXH3_64bits_digest(state_.get());
        return out.str();
    }
    // How often each kind of decision was taken: a day without one says nothing of it.
    const std::map<std::string, int>& kinds() const { return kinds_; }

  private:
    void say(const std::string& line) { cluster_.execute(line); }

    void submit(int second) {
        // Twice the usual rate in the middle third: work builds up and preempts.
        const bool busy = second > day_.seconds / 3 && second < day_.seconds * 2 / 3;
        due_ += day_.jobs_a_second * (busy ? 2 : 1);
        for (; due_ >= 1; due_ -= 1) {
            const auto id = std::string("job-").append(std::to_string(++jobs_));
            const auto team = draw_.once_in(3) ? " team=blue" : " team=red";
            const auto image = " image=img" + std::to_string(draw_.below(9)) + " image-gb=3";
            std::string what;
            switch (draw_.below(4)) {
                case 0:
                    what =
                        " class=urgent kind=gang priority=high cpus=28 gpus=4 checkpoint=20 "
                        "save=3 tasks=" +
                        std::to_string(1 << draw_.below(3));
                    break;
                case 1:
                    what =
                        " class=pairs kind=gang priority=low cpus=28 gpus=4 one-zone=yes "
                        "checkpoint=30 save=4 tasks=" +
                        std::to_string(1 + draw_.below(4));
                    break;
                case 2:
                    what = " class=scan cpus=6 gpus=1 memory=30 checkpoint=5 save=3 tasks=" +
                           std::to_string(1 + draw_.below(20));
                    break;
                default:
                    what = " class=count priority=low cpus=1 spot=yes spread=yes tasks=" +
                           std::to_string(2 + draw_.below(60));
            }
            say("job " + id + team + image + what + " run=" + std::to_string(10 + draw_.below(40)) +
                " estimate=25");
            if (draw_.once_in(25)) say("cancel job-" + std::to_string(1 + draw_.below(jobs_)));
        }
    }

    void fail(int second) {
        // Only machines of the start are picked: they exist until they are released.
        const auto machine = [&] {
            return std::string("m").append(std::to_string(draw_.below(day_.machines)));
        };
        const auto hit = [&](const std::string& verb) { try_say(verb + " " + machine()); };
        if (draw_.once_in(9)) hit("kill");
        if (draw_.once_in(11)) hit("hang");
        if (draw_.once_in(9)) hit("resume");
        if (draw_.once_in(11)) hit("cut");
        if (draw_.once_in(9)) hit("heal");
        if (draw_.once_in(13)) try_say("spot-notice " + machine() + " 15");
        if (draw_.once_in(13)) hit("delay-heartbeat");
        if (draw_.once_in(17)) say("deliver-heartbeats");
        if (draw_.once_in(13)) hit("delay-commands");
        if (draw_.once_in(17)) say("deliver-commands");
        if (draw_.once_in(13)) hit("delay-response");
        if (leader_is_up_ && draw_.once_in(13)) hit("lose-response");
        if (day_.outage && second == day_.seconds / 2) say("state down");
        if (day_.outage && second == day_.seconds / 2 + 15) say("state up");
        if (!day_.failovers) return;
        const int first = day_.seconds / 2 + 5;
        for (const int ends : {first, first + 12}) {
            if (second == ends) say("crash");
            if (second == ends + 5) say("failover");
            if (second >= ends && second < ends + 5) leader_is_up_ = false;
            if (second == ends + 5) leader_is_up_ = true;
        }
    }
    // A machine that has been released meanwhile cannot fail any more.
    void try_say(const std::string& line) {
        try {
            say(line);
        } catch (const std::out_of_range&) {
        }
    }

    struct FreeState {
        void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
    };
    Day day_;
    Draw draw_;
    standin::SimulatedCluster cluster_;
    std::unique_ptr<XXH3_state_t, FreeState> state_{XXH3_createState()};
    std::map<std::string, int> kinds_{{" verb 0 ", 0},  {" verb 1 ", 0},  {" verb 2 ", 0},
                                      {" grace 4", 0},  {" rent ", 0},    {" write 0 ", 0},
                                      {" write 1 ", 0}, {" write 2 ", 0}, {" write 3 ", 0},
                                      {" grace 5", 0},  {" release ", 0}, {" call ", 0}};
    std::string machine_;
    double due_ = 0;
    int jobs_ = 0;
    bool leader_is_up_ = true;
};

class Days : public testing::TestWithParam<Day> {};

TEST_P(Days, DecideAsRecorded) {
    DayPlayer player(GetParam());
    const auto digest = player.play();
    for (const auto& [kind, times] : player.kinds()) EXPECT_GT(times, 20) << kind;
    EXPECT_EQ(digest, GetParam().digest);
}

INSTANTIATE_TEST_SUITE_P(
    SimulatedCluster, Days,
    testing::Values(Day{"machines", 1, 320, 180, 3.0, false, false, "a903a7a9291b2a5b"},
                    Day{"failovers", 2, 200, 165, 2.8, true, false, "ae854afffad2384b"},
                    Day{"failovers_in_outage", 3, 160, 150, 2.4, true, true, "961ef04362a61065"}),
    [](const auto& day) { return std::string(day.param.name); });

}  // namespace
}  // namespace bendspindle
