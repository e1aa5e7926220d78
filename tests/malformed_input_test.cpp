// Three controller processes among callers, peers and services that send what they like: nothing
// ends a process, and the service goes on.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

#include "standin/controllers.hpp"
#include "standin/malformed_messages.hpp"
#include "standin/raw_connection.hpp"
#include "standin/raw_server.hpp"
#include "standin/services.hpp"
#include "wire/user_messages.hpp"

namespace bendspindle {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
using standin::Malformation;
using standin::RawConnection;
using standin::small_job;
using standin::status_of_request;

std::string http(const std::string& start_line, const std::string& headers = "",
                 const std::string& body = "") {
    return start_line + " HTTP/1.1\r\nHost: x\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

class MalformedInput : public testing::Test {
  protected:
    MalformedInput()
        : base_(standin::port_base()),
          state_({base_ + 20, base_ + 22, base_ + 23, base_ + 24}),
          controllers_(base_),
          cloud_(base_ + 21, controllers_.ports()) {
        for (int i = 0; i < count; ++i) controllers_.start(i);
        EXPECT_TRUE(submit_and_wait("job-before"));
    }
    ~MalformedInput() override {
        EXPECT_TRUE(submit_and_wait("job-after"));
        for (int i = 0; i < count; ++i) EXPECT_TRUE(controllers_.kill(i)) << "ended by itself";
    }

    int status_at(int controller, const std::string& bytes) const {
        return status_of_request(base_ + controller, bytes);
    }
    // Returns the status of each controller.
    std::array<int, 3> statuses(const std::string& bytes) const {
        return {status_at(0, bytes), status_at(1, bytes), status_at(2, bytes)};
    }
    bool submit_and_wait(const std::string& id) const {
        const auto submission = http("POST /work", "", wire::job_body(small_job(id)));
        const auto until = Clock::now() + 60s;
        bool accepted = false;
        for (int i = 0; Clock::now() < until; ++i) {
            if (!accepted) {
                const auto status = status_at(i % count, submission);
                accepted = status == 200 || status == 201;
            } else {
                RawConnection connection(base_ + i % count);
                connection.send(http("GET /work/" + id, "Connection: close\r\n"));
                if (connection.receive(4096, 4s).find("stage\x64"
                                                      "done") != std::string::npos)
                    return true;
            }
            std::this_thread::sleep_for(100ms);
        }
        return false;
    }

    static constexpr int count = 3;
    int base_;
    standin::StateService state_;
    standin::Controllers controllers_;
    standin::CloudAndWorkers cloud_;
};

using Statuses = std::array<int, 3>;

// Guards against a controller ended by a long path, whose pattern recursed for each character.
TEST_F(MalformedInput, LongPathsEndNoController) {
    for (const int length : {420, 700, 3000, 7000}) {
        const std::string id(static_cast<std::size_t>(length), '1');
        EXPECT_EQ(statuses(http("GET /work/job-" + id)), (Statuses{404, 404, 404}));
        EXPECT_EQ(statuses(http("POST /work/job-" + id + "/cancel")), (Statuses{404, 404, 404}));
    }
    EXPECT_EQ(statuses(http("GET /work/" + std::string(20'000, '1'))), (Statuses{414, 414, 414}));
}

// Guards against a controller ended by a long Range header, whose pattern recursed likewise.
TEST_F(MalformedInput, RangeHeadersEndNoController) {
    std::string many = "Range: bytes=0-1";
    for (int i = 0; i < 2000; ++i) many += ",0-1";
    for (const auto& header : {"Range: bytes=" + std::string(7000, '9') + "-\r\n", many + "\r\n",
                               std::string("Range: bytes=1000-2000\r\n")})
        EXPECT_EQ(statuses(http("GET /healthz", header)), (Statuses{200, 200, 200}));
}

// Guards against a controller ended by a body of nested strings, which the parser reads
// recursively.
TEST_F(MalformedInput, NestedBodiesEndNoController) {
    for (const auto* path : {"POST /work", "POST /checkin"})
        for (const char opening : {'\x7f', '\x5f', '\x81', '\x9f', '\xbf', '\xc1'})
            EXPECT_EQ(statuses(http(path, "", std::string(60'000, opening))),
                      (Statuses{400, 400, 400}));
}

TEST_F(MalformedInput, HeadsBeyondTheLimitsGetAClearStatus) {
    std::string headers;
    for (int i = 0; i < 3000; ++i) headers += "A" + std::to_string(i) + ": b\r\n";
    EXPECT_EQ(statuses(http("GET /healthz", headers)), (Statuses{431, 431, 431}));
    EXPECT_EQ(statuses(http("GET /healthz", "A: " + std::string(100'000, 'b') + "\r\n")),
              (Statuses{431, 431, 431}));
    EXPECT_EQ(statuses("nonsense\r\n\r\n"), (Statuses{400, 400, 400}));
    EXPECT_EQ(statuses("POST /work HTTP/1.1\r\nContent-Length: -1\r\n\r\n"),
              (Statuses{400, 400, 400}));
    EXPECT_EQ(statuses("POST /work HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n" +
                       std::string(1'000'000, 'a')),
              (Statuses{400, 400, 400}));
}

std::size_t resident_kb(const std::string& status_file) {
    std::ifstream file(status_file);
    for (std::string word; file >> word;)
        if (word == "VmRSS:") {
            std::size_t kb = 0;
            file >> kb;
            return kb;
        }
    return 0;
}

// Guards against a controller killed for its memory: a body in chunks, a line and headers without
// an end were kept whole.
TEST_F(MalformedInput, EndlessRequestsTakeLittleMemory) {
    std::string headers;
    for (int i = 0; i < 3000; ++i) headers += "A" + std::to_string(i) + ": b\r\n";
    const std::string chunk = "10000\r\n" + std::string(65536, 'a') + "\r\n";
    const std::vector<std::pair<std::string, std::string>> floods{
        {"POST /work HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", chunk},
        {"GET /", std::string(65536, 'a')},
        {"GET / HTTP/1.1\r\n", headers}};
    const auto file = "/proc/" + std::to_string(controllers_.pid(0)) + "/status";
    const auto before = resident_kb(file);
    std::vector<std::unique_ptr<RawConnection>> connections;
    for (const auto& [head, rest] : floods) {
        auto& connection = connections.emplace_back(std::make_unique<RawConnection>(base_));
        connection->send(head);
        for (int i = 0; i < 1000 && connection->send(rest); ++i) {
        }
    }
    constexpr std::size_t limit_kb = 16 * 1024;
    EXPECT_LT(resident_kb(file), before + limit_kb);
}

// Guards against 503 without end: the store refused the record, and no controller said 400.
TEST_F(MalformedInput, TextThatIsNotUtf8IsRefusedByEveryControllerAlike) {
    auto not_utf8 = small_job("job-text");
    not_utf8.image = "img-200\xf0(\x8c";
    auto latin1 = small_job("job-text");
    latin1.image = "img-200caf\xe9";
    auto unknown = *wire::parse_cbor(wire::job_body(small_job("job-text")));
    unknown["unknown"] = {{"nested", "caf\xe9"}};
    auto name = *wire::parse_cbor(wire::job_body(small_job("job-text")));
    name["caf\xe9"] = 1;
    for (const auto& body : {wire::job_body(not_utf8), wire::job_body(latin1),
                             wire::to_cbor(unknown), wire::to_cbor(name)})
        EXPECT_EQ(statuses(http("POST /work", "", body)), (Statuses{400, 400, 400}));
    EXPECT_EQ(statuses(http("GET /work/job-text")), (Statuses{404, 404, 404}));
}

// Guards against 503 without end: what the store refuses for good gets a final answer.
TEST_F(MalformedInput, AJobThatTheStoreRefusesGetsAFinalAnswer) {
    state_.refuse("job/job-refused");
    const auto submission = http("POST /work", "", wire::job_body(small_job("job-refused")));
    EXPECT_EQ(statuses(submission), (Statuses{400, 400, 400}));
    EXPECT_EQ(statuses(submission), (Statuses{400, 400, 400}));
    EXPECT_EQ(statuses(http("GET /work/job-refused")), (Statuses{404, 404, 404}));
}

TEST_F(MalformedInput, ARequestByteByByteDoesNotHoldAThread) {
    RawConnection slow(base_);
    const auto begin = Clock::now();
    while (slow.send("a") && Clock::now() - begin < 40s) std::this_thread::sleep_for(500ms);
    EXPECT_LT(Clock::now() - begin, 30s);
}

int seconds_of_run() {
    const char* value = std::getenv("BENDSPINDLE_MALFORMED_SECONDS");
    return value ? std::atoi(value) : 40;
}

unsigned seed_of_run() {
    const char* value = std::getenv("BENDSPINDLE_MALFORMED_SEED");
    return value ? static_cast<unsigned>(std::atoi(value)) : 1;
}

struct Counts {
    std::map<std::string, int> by_malformation;
    std::map<int, int> by_status;
};

void print(const std::string& input, const Counts& counts) {
    std::cout << input << ":";
    for (const auto& [name, n] : counts.by_malformation) std::cout << ' ' << name << '=' << n;
    std::cout << "; answers:";
    for (const auto& [status, n] : counts.by_status) std::cout << ' ' << status << '=' << n;
    std::cout << std::endl;
}

void add(Counts& counts, Malformation malformation) {
    ++counts.by_malformation[standin::malformation_names[static_cast<std::size_t>(malformation)]];
}

// Sends malformed messages to both listeners of all controllers, while one controller more has a
// store, a cloud and agents that answer with malformed messages.
TEST_F(MalformedInput, ASeededRunEndsNoController) {
    const auto until = Clock::now() + std::chrono::seconds(seconds_of_run());
    std::mutex mutex;
    Counts answers;
    const auto services_address = "127.0.0.1:" + std::to_string(base_ + 25);
    standin::MalformedMessages responses(seed_of_run() + 1000, services_address);
    const auto respond = [&](const std::string& request) {
        const std::lock_guard lock(mutex);
        auto drawn = responses.response(request);
        add(answers, drawn.malformation);
        return drawn.bytes;
    };
    const standin::RawServer services(base_ + 25, respond);
    controllers_.start_alone(base_ + 25);

    std::array<Counts, count> requests;
    std::array<Counts, count> frames;
    std::vector<std::jthread> callers;
    for (int i = 0; i < count; ++i)
        callers.emplace_back([&, i] {
            const auto index = static_cast<std::size_t>(i);
            standin::MalformedMessages messages(seed_of_run() + static_cast<unsigned>(i),
                                                services_address);
            const auto prefix = "job-" + std::to_string(i) + "-";
            while (Clock::now() < until) {
                const auto request = messages.request(prefix);
                add(requests[index], request.malformation);
                ++requests[index].by_status[status_of_request(base_ + i, request.bytes, 300ms)];
                const auto frame = messages.peer_frame();
                add(frames[index], frame.malformation);
                RawConnection connection(base_ + 10 + i);
                connection.send(frame.bytes);
                static_cast<void>(connection.receive(8, 20ms));
                std::this_thread::sleep_for(5ms);
            }
        });
    callers.clear();
    for (const auto& counts : requests) print("requests", counts);
    for (const auto& counts : frames) print("frames", counts);
    const std::lock_guard lock(mutex);
    print("responses", answers);
    const std::set<int> documented{0, 100, 200, 201, 400, 404, 405, 414, 421, 422, 431, 503};
    for (const auto& counts : requests)
        for (const auto& [status, n] : counts.by_status)
            EXPECT_TRUE(documented.contains(status)) << status;
    EXPECT_TRUE(controllers_.kill_alone()) << "ended by itself among malformed responses";
}

}  // namespace
}  // namespace bendspindle
