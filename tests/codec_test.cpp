// The codecs of src/wire: round trips, rejection of malformed messages with the name of the field,
// and corrupted bytes.
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

TEST(Codec, UnknownFieldsAreIgnoredAndNullableFieldsAreOptional) {
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
    const auto valid = *parse_cbor(job_body(sample_spec()));
    const std::vector<std::pair<const char*, Value>> invalid_values{
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
    for (const auto& [field, value] : invalid_values) {
        auto m = valid;
        m[field] = value;
        const auto parsed = parse_job(to_cbor(m));
        EXPECT_FALSE(parsed.job) << field << " = " << value;
        EXPECT_NE(parsed.error.find(field), std::string::npos) << parsed.error;
    }
    for (const auto* field : {"uid", "lane", "crew", "shape", "urgency", "pieces", "cores", "cards",
                              "ram_gb", "blueprint", "pull_gb", "together", "apart", "loaners",
                              "expect_s", "notch_s", "stow_s"}) {
        auto m = valid;
        m.erase(field);
        EXPECT_FALSE(parse_job(to_cbor(m)).job) << field;
    }
    EXPECT_FALSE(parse_job("").job);
    EXPECT_FALSE(parse_job(to_cbor(Value::array())).job);
    EXPECT_FALSE(parse_job("{\"uid\":1}").job);
}

// Without a limit on the depth, a body full of opening brackets overflows the stack of a thread.
TEST(Codec, DeepNestingIsRejected) {
    EXPECT_FALSE(parse_cbor(std::string(max_request_bytes, '\x81')));
    EXPECT_FALSE(parse_cbor(std::string(max_request_bytes, '\x9f')));
    EXPECT_FALSE(parse_cbor(std::string(max_request_bytes, '\xbf')));
}

TEST(Codec, HugeDeclaredLengthsAreRejected) {
    EXPECT_FALSE(parse_cbor(std::string("\x9b\xff\xff\xff\xff\xff\xff\xff\xf0", 9)));
    EXPECT_FALSE(parse_cbor(std::string("\x7b\x00\x00\x00\xff\xff\xff\xff\xff", 9)));
}

// Truncations at every byte and many random corruptions of valid messages are either parsed or
// rejected, and never crash the process.
TEST(Codec, CorruptedBytesNeverCrash) {
    std::mt19937 random(20261201);
    const std::vector<std::string> valid{
        job_body(sample_spec()), heartbeat_body(sample_heartbeat()),
        commands_body(3, {{core::TaskCommand::Verb::stop, "job-1", 0, 4, core::Seconds(3)}}),
        compare_and_swap_body({{"a", 1}}, {{"b", Value{{"x", 1}}, 7}})};
    const auto parse_all = [](const std::string& bytes) {
        parse_job(bytes);
        parse_heartbeat(bytes);
        parse_catalog(bytes);
        parse_scale_out_response(bytes);
        parse_machine_list(bytes);
        parse_entry(bytes);
        parse_entries(bytes);
        parse_compare_and_swap(bytes);
        parse_lease(bytes);
    };
    for (const auto& body : valid) {
        for (std::size_t size = 0; size < body.size(); ++size) parse_all(body.substr(0, size));
        for (int i = 0; i < 2000; ++i) {
            auto corrupted = body;
            for (int k = 0; k < 3; ++k)
                corrupted[random() % corrupted.size()] = static_cast<char>(random());
            parse_all(corrupted);
        }
    }
    EXPECT_TRUE(parse_job(valid[0]).job);
}

TEST(Codec, JobIds) {
    EXPECT_TRUE(valid_job_id("job-000412"));
    EXPECT_FALSE(valid_job_id("job-"));
    EXPECT_FALSE(valid_job_id("task-1"));
    EXPECT_FALSE(valid_job_id("job-a b"));
    EXPECT_FALSE(valid_job_id("job-../view"));
    EXPECT_FALSE(valid_job_id("job-" + std::string(300, '1')));
}

TEST(Codec, JobRecordWithManyRangesRoundTripsAndFitsAValue) {
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

// Guards against completed tasks that the job does not have, and a time that overflows the clock.
TEST(Codec, JobRecordsOutOfRangeAreUnreadable) {
    core::JobRecord record;
    record.spec = sample_spec();
    record.spec.tasks = 6;
    const auto valid = job_record(record);
    const std::vector<std::pair<const char*, Value>> invalid_values{
        {"done", {0U, 6U}},
        {"done", {3U, 2U}},
        {"done", {0U}},
        {"done", {-1, 2}},
        {"done", {0U, std::uint64_t{1} << 32}},
        {"done", {"a", "b"}},
        {"done", 7},
        {"done", "04"},
        {"done", "g"},
        {"submitted_ms", std::numeric_limits<std::uint64_t>::max()}};
    ASSERT_TRUE(parse_job_record(valid));
    for (const auto& [field, value] : invalid_values) {
        auto changed = valid;
        changed[field] = value;
        EXPECT_FALSE(parse_job_record(changed)) << field << " = " << value;
    }
}

// Guards against machines that can never be recorded, because their key is none of the store's.
TEST(Codec, MachinesHaveNamesThatAKeyCanHold) {
    for (const auto& name : {std::string(), std::string("n 1"), std::string("n/1"),
                             std::string("n&1"), std::string("n\n"), std::string(129, 'n')}) {
        core::Heartbeat heartbeat;
        heartbeat.machine = name;
        EXPECT_FALSE(parse_heartbeat(heartbeat_body(heartbeat))) << name;
        EXPECT_FALSE(parse_scale_out_response(to_cbor({{"spindles", {name}}}))) << name;
    }
    core::Heartbeat heartbeat;
    heartbeat.machine = std::string(128, 'n');
    EXPECT_TRUE(parse_heartbeat(heartbeat_body(heartbeat)));
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
    const auto parsed_answer = peer::parse_answer(0x80, answer.substr(peer::header_size));
    ASSERT_TRUE(parsed_answer);
    EXPECT_EQ(parsed_answer->status, 201);
    EXPECT_EQ(parsed_answer->retry_after, 3);
    EXPECT_EQ(parsed_answer->body, "body");
}

TEST(Peer, MalformedFramesAreRejected) {
    auto bytes = peer::pack(peer::Request{peer::Op::status, 1, "job-1", "x"});
    auto malformed = bytes;
    malformed[0] = 2;
    EXPECT_EQ(peer::parse_header(malformed.substr(0, 8)).error, peer::HeaderError::version);
    malformed = bytes;
    malformed[4] = '\x7f';
    EXPECT_EQ(peer::parse_header(malformed.substr(0, 8)).error, peer::HeaderError::malformed);
    const auto payload = bytes.substr(peer::header_size);
    for (std::size_t size = 0; size < payload.size(); ++size)
        EXPECT_FALSE(peer::parse_request(2, payload.substr(0, size)));
    EXPECT_FALSE(peer::parse_request(2, payload + "y"));
    EXPECT_FALSE(peer::parse_request(9, payload));
}

TEST(Peer, CancellationSnapshotRoundTrip) {
    const peer::CancellationSnapshot snapshot{std::chrono::milliseconds(1500),
                                              std::chrono::milliseconds(70'000),
                                              true,
                                              {"job-1", "job-22"}};
    const auto parsed = peer::parse_cancellation_snapshot(peer::pack(snapshot));
    ASSERT_TRUE(parsed);
    EXPECT_EQ(parsed->age, snapshot.age);
    EXPECT_EQ(parsed->history, snapshot.history);
    EXPECT_TRUE(parsed->complete);
    EXPECT_EQ(parsed->cancelled, snapshot.cancelled);
}

// A snapshot that omits jobs must not be marked as complete: the receiver would keep the tasks of
// the omitted jobs alive, although they were cancelled.
TEST(Peer, OversizedSnapshotIsNotComplete) {
    peer::CancellationSnapshot snapshot;
    snapshot.complete = true;
    for (int i = 0; i < 3000; ++i) snapshot.cancelled.emplace_back(94, 'x');
    const auto body = peer::pack(snapshot);
    EXPECT_LE(peer::pack(peer::Answer{200, 0, 1, body}).size(),
              peer::max_payload_bytes + peer::header_size);
    const auto parsed = peer::parse_cancellation_snapshot(body);
    ASSERT_TRUE(parsed);
    EXPECT_FALSE(parsed->complete);
    EXPECT_GT(parsed->cancelled.size(), 1000U);
}

TEST(Peer, MalformedSnapshotsAreRejected) {
    const auto valid = peer::pack(peer::CancellationSnapshot{
        std::chrono::milliseconds(1), std::chrono::milliseconds(2), true, {"job-1"}});
    ASSERT_TRUE(peer::parse_cancellation_snapshot(valid));
    for (std::size_t n = 0; n < valid.size(); ++n)
        EXPECT_FALSE(peer::parse_cancellation_snapshot(valid.substr(0, n))) << n << " bytes";
    EXPECT_FALSE(peer::parse_cancellation_snapshot(valid + "x"));
    auto invalid_count = valid;
    invalid_count[9] = '\xff';  // more than 4 billion jobs
    EXPECT_FALSE(peer::parse_cancellation_snapshot(invalid_count));
    auto invalid_flag = valid;
    invalid_flag[8] = 2;
    EXPECT_FALSE(peer::parse_cancellation_snapshot(invalid_flag));
}

}  // namespace
}  // namespace bendspindle::wire
