// The codecs of src/wire: round trips, what is refused and by which field, and bytes that are
// broken.
#include <gtest/gtest.h>

#include <random>

#include "wire/agent_messages.hpp"
#include "wire/cloud.hpp"
#include "wire/key_value_store.hpp"
#include "wire/peer.hpp"
#include "wire/records.hpp"
#include "wire/user_messages.hpp"

namespace bendspindle::wire {
namespace {

core::JobSpec sample_spec() {
    core::JobSpec s;
    s.id = "job-000412";
    s.job_class = "train";
    s.team = "vision";
    s.kind = core::Kind::gang;
    s.priority = core::Priority::high;
    s.tasks = 16;
    s.need = {8, 1, 64};
    s.image = "img-07";
    s.image_gb = 6.2;
    s.types = std::vector<std::string>{"g8"};
    s.one_zone = true;
    s.spot = true;
    s.estimate = core::Seconds(240);
    s.checkpoint_interval = core::Seconds(30);
    s.save_time = core::Seconds(4);
    s.deadline = core::Seconds(900);
    return s;
}

core::Heartbeat sample_heartbeat() {
    core::Heartbeat r;
    r.machine = "n-000231";
    r.address = "10.1.0.232:9000";
    r.type = "g8";
    r.zone = "a";
    r.agent_epoch = 1;
    r.sequence = 88;
    r.fencing_token = 41;
    r.tasks = {{"job-000412", 3, 2, core::TaskState::running, core::ExitCause::none, false},
               {"job-000398", 0, (1ULL << 40) + 5, core::TaskState::exited,
                core::ExitCause::stopped, true}};
    return r;
}

TEST(Codec, JobRoundTrip) {
    const auto parsed = parse_job(job_body(sample_spec()));
    ASSERT_TRUE(parsed.job) << parsed.error;
    EXPECT_EQ(job_body(*parsed.job), job_body(sample_spec()));
}

TEST(Codec, HeartbeatRoundTrip) {
    const auto parsed = parse_heartbeat(heartbeat_body(sample_heartbeat()));
    ASSERT_TRUE(parsed);
    EXPECT_EQ(heartbeat_body(*parsed), heartbeat_body(sample_heartbeat()));
    EXPECT_EQ(parsed->tasks[1].attempt, (1ULL << 40) + 5);
}

TEST(Codec, UnknownFieldsAreIgnoredAndNullsMayBeLeftOut) {
    auto m = *parse_cbor(job_body(sample_spec()));
    m["new-field"] = 1;
    m.erase("builds");
    m["due_s"] = nullptr;
    const auto parsed = parse_job(to_cbor(m));
    ASSERT_TRUE(parsed.job);
    EXPECT_FALSE(parsed.job->types);
    EXPECT_FALSE(parsed.job->deadline);
}

TEST(Codec, MalformedJobsNameTheField) {
    const auto good = *parse_cbor(job_body(sample_spec()));
    const std::vector<std::pair<const char*, Value>> wrong{
        {"uid", "nonsense"},
        {"uid", 7},
        {"uid", "job-a/b"},
        {"lane", nullptr},
        {"shape", "circle"},
        {"urgency", "now"},
        {"pieces", 0},
        {"pieces", -1},
        {"pieces", 100'001},
        {"pieces", "many"},
        {"cores", -1.0},
        {"cores", "1"},
        {"ram_gb", std::numeric_limits<double>::infinity()},
        {"expect_s", std::numeric_limits<double>::quiet_NaN()},
        {"builds", "g8"},
        {"builds", {1}},
        {"together", 1},
        {"due_s", "soon"}};
    for (const auto& [field, value] : wrong) {
        auto m = good;
        m[field] = value;
        const auto parsed = parse_job(to_cbor(m));
        EXPECT_FALSE(parsed.job) << field << " = " << value;
        EXPECT_NE(parsed.error.find(field), std::string::npos) << parsed.error;
    }
    for (const auto* field : {"uid", "lane", "crew", "shape", "urgency", "pieces", "cores", "cards",
                              "ram_gb", "blueprint", "pull_gb", "together", "apart", "loaners",
                              "expect_s", "notch_s", "stow_s"}) {
        auto m = good;
        m.erase(field);
        EXPECT_FALSE(parse_job(to_cbor(m)).job) << field;
    }
    EXPECT_FALSE(parse_job("").job);
    EXPECT_FALSE(parse_job(to_cbor(Value::array())).job);
    EXPECT_FALSE(parse_job("{\"uid\":1}").job);
}

// What BoundedBuilder is for: nesting that fills a body must not overflow the stack.
TEST(Codec, DeepNestingIsRefused) {
    EXPECT_FALSE(parse_cbor(std::string(most_body, '\x81')));
    EXPECT_FALSE(parse_cbor(std::string(most_body, '\x9f')));
    EXPECT_FALSE(parse_cbor(std::string(most_body, '\xbf')));
}

TEST(Codec, HugeClaimedLengthsAreRefused) {
    EXPECT_FALSE(parse_cbor(std::string("\x9b\xff\xff\xff\xff\xff\xff\xff\xf0", 9)));
    EXPECT_FALSE(parse_cbor(std::string("\x7b\x00\x00\x00\xff\xff\xff\xff\xff", 9)));
}

// Every cut and many flipped bits of good messages: an answer or a refusal, never a crash.
TEST(Codec, BrokenBytesNeverCrash) {
    std::mt19937 random(20261201);
    const std::vector<std::string> good{
        job_body(sample_spec()), heartbeat_body(sample_heartbeat()),
        commands_body(3, {{core::TaskCommand::Verb::stop, "job-1", 0, 4, core::Seconds(3)}}),
        compare_and_swap_body({{"a", 1}}, {{"b", Value{{"x", 1}}, 7}})};
    const auto feed = [](const std::string& bytes) {
        parse_job(bytes);
        parse_heartbeat(bytes);
        parse_catalog(bytes);
        parse_scale_out_response(bytes);
        parse_list(bytes);
        parse_entry(bytes);
        parse_entries(bytes);
        parse_compare_and_swap(bytes);
        parse_lease(bytes);
    };
    for (const auto& body : good) {
        for (std::size_t cut = 0; cut < body.size(); ++cut) feed(body.substr(0, cut));
        for (int i = 0; i < 2000; ++i) {
            auto broken = body;
            for (int k = 0; k < 3; ++k)
                broken[random() % broken.size()] = static_cast<char>(random());
            feed(broken);
        }
    }
    EXPECT_TRUE(parse_job(good[0]).job);
}

TEST(Codec, JobIds) {
    EXPECT_TRUE(valid_job_id("job-000412"));
    EXPECT_FALSE(valid_job_id("job-"));
    EXPECT_FALSE(valid_job_id("task-1"));
    EXPECT_FALSE(valid_job_id("job-a b"));
    EXPECT_FALSE(valid_job_id("job-../view"));
    EXPECT_FALSE(valid_job_id("job-" + std::string(300, '1')));
}

TEST(Codec, RecordsOfAnyDoneSetRoundTripAndFitAValue) {
    core::JobRecord record;
    record.spec = sample_spec();
    record.spec.tasks = 100'000;
    record.submitted = core::WallTime(std::chrono::milliseconds(1'700'000'000'000));
    record.last_attempt = 77;
    for (std::uint32_t i = 0; i < record.spec.tasks; i += 2) record.done.push_back({i, i});
    const auto value = job_record(record);
    EXPECT_LT(to_cbor(value).size(), 32U * 1024);
    const auto parsed = parse_job_record(*parse_cbor(to_cbor(value)));
    ASSERT_TRUE(parsed);
    EXPECT_EQ(parsed->done, record.done);
    EXPECT_EQ(parsed->last_attempt, 77U);
    record.done = {{0, 4}, {9, 9}};
    EXPECT_EQ(parse_job_record(job_record(record))->done, record.done);
}

TEST(Peer, RoundTrip) {
    const peer::Request request{peer::Op::heartbeat, 1ULL << 40, "n-1", std::string("\0\xff", 2)};
    const auto bytes = peer::pack(request);
    const auto header = peer::parse_header(bytes.substr(0, peer::header_size));
    ASSERT_EQ(header.error, peer::HeaderError::none);
    const auto parsed = peer::parse_request(header.header.kind, bytes.substr(peer::header_size));
    ASSERT_TRUE(parsed);
    EXPECT_EQ(parsed->term, request.term);
    EXPECT_EQ(parsed->id, request.id);
    EXPECT_EQ(parsed->body, request.body);
    EXPECT_EQ(header.header.length, bytes.size() - peer::header_size);

    const auto answer = peer::pack(peer::Answer{201, 3, 9, "body"});
    const auto back = peer::parse_answer(0x80, answer.substr(peer::header_size));
    ASSERT_TRUE(back);
    EXPECT_EQ(back->status, 201);
    EXPECT_EQ(back->retry_after, 3);
    EXPECT_EQ(back->body, "body");
}

TEST(Peer, BrokenFramesAreRefused) {
    auto bytes = peer::pack(peer::Request{peer::Op::status, 1, "job-1", "x"});
    auto other = bytes;
    other[0] = 2;
    EXPECT_EQ(peer::parse_header(other.substr(0, 8)).error, peer::HeaderError::version);
    other = bytes;
    other[4] = '\x7f';
    EXPECT_EQ(peer::parse_header(other.substr(0, 8)).error, peer::HeaderError::malformed);
    const auto payload = bytes.substr(peer::header_size);
    for (std::size_t cut = 0; cut < payload.size(); ++cut)
        EXPECT_FALSE(peer::parse_request(2, payload.substr(0, cut)));
    EXPECT_FALSE(peer::parse_request(2, payload + "y"));
    EXPECT_FALSE(peer::parse_request(9, payload));
}

TEST(Peer, ASnapshotIsPackedAndUnpacked) {
    const peer::CancellationSnapshot snapshot{std::chrono::milliseconds(1500),
                                              std::chrono::milliseconds(70'000),
                                              true,
                                              {"job-1", "job-22"}};
    const auto back = peer::parse_cancellation_snapshot(peer::pack(snapshot));
    ASSERT_TRUE(back);
    EXPECT_EQ(back->age, snapshot.age);
    EXPECT_EQ(back->memory, snapshot.memory);
    EXPECT_TRUE(back->complete);
    EXPECT_EQ(back->cancelled, snapshot.cancelled);
}

// One that leaves jobs out must not count as complete: what it leaves out would be kept alive.
TEST(Peer, ASnapshotThatDoesNotFitIsNotComplete) {
    peer::CancellationSnapshot snapshot;
    snapshot.complete = true;
    for (int i = 0; i < 3000; ++i) snapshot.cancelled.emplace_back(94, 'x');
    const auto body = peer::pack(snapshot);
    EXPECT_LE(peer::pack(peer::Answer{200, 0, 1, body}).size(),
              peer::most_payload + peer::header_size);
    const auto back = peer::parse_cancellation_snapshot(body);
    ASSERT_TRUE(back);
    EXPECT_FALSE(back->complete);
    EXPECT_GT(back->cancelled.size(), 1000U);
}

TEST(Peer, AMalformedSnapshotIsNone) {
    const auto good = peer::pack(peer::CancellationSnapshot{
        std::chrono::milliseconds(1), std::chrono::milliseconds(2), true, {"job-1"}});
    ASSERT_TRUE(peer::parse_cancellation_snapshot(good));
    for (std::size_t n = 0; n < good.size(); ++n)
        EXPECT_FALSE(peer::parse_cancellation_snapshot(good.substr(0, n))) << n << " bytes";
    EXPECT_FALSE(peer::parse_cancellation_snapshot(good + "x"));
    auto number = good;
    number[9] = '\xff';  // four thousand million jobs
    EXPECT_FALSE(peer::parse_cancellation_snapshot(number));
    auto flag = good;
    flag[8] = 2;
    EXPECT_FALSE(peer::parse_cancellation_snapshot(flag));
}

}  // namespace
}  // namespace bendspindle::wire
