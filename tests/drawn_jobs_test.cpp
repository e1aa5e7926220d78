// Jobs drawn from a seed meet a cluster that was drawn too: services, long tasks, a machine that
// ends. The cloud has machines of every type. Whatever job can run at all must have all tasks at
// once that its constraints allow, within the time in which a machine is released and another one
// boots.
//
// BENDSPINDLE_RANDOM_SEEDS=FIRST,COUNT plays other seeds than those of every day.
#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

#include "standin/seed_range.hpp"
#include "standin/simulated_cluster.hpp"

namespace bendspindle {
namespace {

// A job may wait for this long beside room; no fault of this test takes longer to be seen.
constexpr int patience_s = 90;
// Ends of tasks must not make room: what waits has to be scaled out for.
constexpr const char* run_time = " run=5000";

class DrawnCluster {
  public:
    explicit DrawnCluster(unsigned seed) : engine_(seed) {}

    void play() {
        add_deployment();
        for (int i = below(4); i > 0; --i) submit();
        say("run " + std::to_string(1 + below(20)));
        for (int i = 1 + below(3); i > 0; --i) submit();
        if (below(3) == 0) {
            say("run 15");
            try_say("kill m" + std::to_string(below(machines_)));
        }
        say("run " + std::to_string(patience_s));
        for (const auto& [id, tasks] : expected_)
            say("expect running " + id + " " + std::to_string(tasks));
    }
    const std::string& text() const { return text_; }

  private:
    struct Expected {
        std::string id;
        int tasks;  // that must run at once
    };

    int below(int n) { return static_cast<int>(engine_() % static_cast<unsigned>(n)); }
    bool once_in(int n) { return below(n) == 0; }
    void say(const std::string& line) {
        text_ += line + "\n";
        cluster_.execute(line);
    }
    void try_say(const std::string& line) {
        try {
            say(line);
        } catch (const std::out_of_range&) {
            // The machine has been released already.
        }
    }

    void add_deployment() {
        say("type thin cpus=32 memory=256 price=2");
        say("type small cpus=8 memory=64 price=1");
        say("type gpu cpus=32 gpus=4 memory=192 price=9");
        say("type local cpus=64 memory=512 price=1.5 zones=b");
        say("team red");
        say("headroom 0");
        say(once_in(2) ? "direct-commands yes" : "direct-commands no");
        say("scale-out yes boot=" + std::to_string(5 + below(20)));
        say("controller");
        machines_ = 1 + below(4);
        static const std::vector<std::string> types{"thin", "thin", "small", "gpu"};
        for (int i = 0; i < machines_; ++i) {
            const auto& type = types[static_cast<std::size_t>(below(4))];
            say("machine m" + std::to_string(i) + " " + type + (once_in(2) ? " a" : " b") +
                (once_in(4) ? " spot=yes" : ""));
        }
    }

    void submit() {
        static const std::vector<std::string> kinds{"array", "gang", "service"};
        static const std::vector<int> cpus{1, 3, 7, 12, 20, 30};
        const auto id = "job-" + std::to_string(++jobs_);
        const auto& kind = kinds[static_cast<std::size_t>(below(3))];
        const int tasks = once_in(5) ? 20 + below(60) : 1 + below(6);
        const bool apart = once_in(2);
        const bool together = once_in(4);
        const bool bound = once_in(4);
        std::string line = "job " + id + " kind=" + kind + " tasks=" + std::to_string(tasks);
        line += " cpus=" + std::to_string(cpus[static_cast<std::size_t>(below(6))]);
        if (once_in(4)) line += " gpus=1";
        if (apart) line += " spread=yes";
        if (together) line += " one-zone=yes";
        if (bound) line += once_in(2) ? " zone=a" : " zone=b";
        if (once_in(5)) line += " types=thin,gpu";
        if (once_in(3)) line += " spot=yes";
        line += run_time;
        const bool one_zone = together || bound;
        const bool in_part = apart && one_zone && tasks > 1;
        if (in_part && kind != "array") {
            say(line + " submit=no");
            say("expect verdict " + id + " never");
            return;
        }
        say(line);
        say("expect verdict " + id + " fits");
        expected_.push_back({id, in_part ? (tasks + 1) / 2 : tasks});
    }

    std::mt19937 engine_;
    standin::SimulatedCluster cluster_;
    std::string text_;
    int machines_ = 0;
    int jobs_ = 0;
    std::vector<Expected> expected_;
};

// Guards against left_waiting: the scaling plan counted machines as room on which placement places
// nothing, so that a job waited for machines that nobody scaled out.
TEST(DrawnJobs, RunOnceMachinesForThemAreScaledOut) {
    const auto seeds = standin::asked_seeds({1, 600});
    for (auto seed = seeds.first; seed < seeds.end(); ++seed) {
        DrawnCluster cluster(seed);
        try {
            cluster.play();
        } catch (const std::exception& e) {
            ADD_FAILURE() << "seed " << seed << ": " << e.what() << "\n" << cluster.text();
        }
    }
}

}  // namespace
}  // namespace bendspindle
