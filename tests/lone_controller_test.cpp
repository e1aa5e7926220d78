// A controller process that can reach neither the key-value store nor another controller: the
// status codes and the Retry-After header that users, agents and the load balancer receive.
#include <gtest/gtest.h>
#include <httplib.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <thread>

#include "wire/agent_messages.hpp"
#include "wire/user_messages.hpp"

namespace bendspindle {
namespace {

using namespace std::chrono_literals;

class LoneController : public testing::Test {
  protected:
    void SetUp() override {
        file_ = (std::filesystem::temp_directory_path() /
                 ("bendspindle-alone-" + std::to_string(::getpid())))
                    .string();
        const auto address = [](int port) { return "127.0.0.1:" + std::to_string(port); };
        const wire::Value settings{
            {"node_name", "c0"},
            {"domain", "a"},
            {"listen", address(port_)},
            {"internal_addr", address(port_ + 1)},
            {"siblings", wire::Value::array()},
            {"external", {{"state", address(1)}, {"cloud", address(1)}}},
            {"deployment",
             {{"zones", {"a"}},
              {"teams", wire::Value::array()},
              {"objectives", wire::Value::array()},
              {"workers",
               {{"report_s", 1.0},
                {"lease_s", 30.0},
                {"gang_wait_s", 30.0},
                {"gang_peer_s", 4.0},
                {"cancel_s", 30.0}}},
              {"state", {{"rps", 50.0}, {"write_rps", 30.0}, {"value_kb", 32.0}, {"txn_ops", 12}}},
              {"cloud", {{"rps", 2.0}, {"list_lag_s", 1.0}}},
              {"resources", {{"mem_mb", 500.0}, {"max_sockets", 500}}}}}};
        std::ofstream(file_) << settings.dump();
        std::vector<std::string> arguments{PROGRAM, "serve", "--config", file_};
        std::vector<char*> argv;
        for (auto& argument : arguments) argv.push_back(argument.data());
        argv.push_back(nullptr);
        ASSERT_EQ(::posix_spawn(&pid_, PROGRAM, nullptr, nullptr, argv.data(), environ), 0);
        client_.set_read_timeout(10s);
        for (int i = 0; i < 200 && !client_.Get("/healthz"); ++i) std::this_thread::sleep_for(50ms);
    }
    void TearDown() override {
        if (pid_ > 0) {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
        }
        std::filesystem::remove(file_);
    }
    // Returns the status, the Retry-After header and the body as text.
    static std::string describe(const httplib::Result& result) {
        if (!result) return "no answer";
        const auto body = wire::parse_cbor(result->body);
        return std::to_string(result->status) + " [" + result->get_header_value("Retry-After") +
               "] " + (body ? body->dump() : result->body);
    }
    // Returns the same text for an expected error response; without Retry-After if `retry_after` is
    // empty.
    static std::string error_response(int status, const std::string& retry_after,
                                      const std::string& reason) {
        return std::to_string(status) + " [" + retry_after + "] {\"error\":\"" + reason + "\"}";
    }
    std::string get(const std::string& path) { return describe(client_.Get(path)); }
    std::string post(const std::string& path, const std::string& body) {
        return describe(client_.Post(path, body, "application/cbor"));
    }

    // Below the range of outgoing connections: one that is still closing would keep its port taken.
    const int port_ = 10'000 + static_cast<int>(::getpid() % 500) * 2;
    httplib::Client client_{"127.0.0.1", port_};
    pid_t pid_ = -1;
    std::string file_;
};

TEST_F(LoneController, RespondsWithTheDocumentedStatusCodes) {
    EXPECT_EQ(get("/healthz"), error_response(503, "", "not served"));
    EXPECT_EQ(get("/elsewhere"), error_response(404, "", "not served"));
    EXPECT_EQ(get("/work"), error_response(405, "", "not served"));
    EXPECT_EQ(get("/checkin"), error_response(405, "", "not served"));
    EXPECT_EQ(post("/healthz", ""), error_response(405, "", "not served"));
    EXPECT_EQ(post("/work/job-1", ""), error_response(405, "", "not served"));
    EXPECT_EQ(post("/work", "nonsense"), error_response(400, "", "the body is not CBOR"));
    EXPECT_EQ(post("/work", std::string(70'000, '\x81')), error_response(400, "", "not served"));
    EXPECT_EQ(post("/checkin", "nonsense"), error_response(400, "", "malformed report"));
    EXPECT_EQ(get("/work/nonsense"), error_response(404, "", "no such job"));
    EXPECT_EQ(post("/work/nonsense/cancel", ""), error_response(404, "", "no such job"));
    core::JobSpec spec;
    spec.id = "job-1";
    EXPECT_EQ(post("/work", wire::job_body(spec)),
              error_response(503, "1", "machine types are not known yet"));
    EXPECT_EQ(get("/work/job-1"), error_response(503, "1", "the state service does not answer"));
    EXPECT_EQ(post("/work/job-1/cancel", ""), error_response(503, "1", "no controller acts"));
    core::Heartbeat heartbeat;
    heartbeat.machine = "n-1";
    EXPECT_EQ(post("/checkin", wire::heartbeat_body(heartbeat)),
              error_response(503, "", "no view"));
}

}  // namespace
}  // namespace bendspindle
