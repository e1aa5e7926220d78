// The encoding of every message and stored record, compared with golden files that must not change:
// other versions of the program, users and agents read and write the same bytes.
#include <gtest/gtest.h>

#include <fstream>
#include <tuple>

#include "state/state_writer.hpp"
#include "wire/agent_messages.hpp"
#include "wire/cloud.hpp"
#include "wire/key_value_store.hpp"
#include "wire/peer.hpp"
#include "wire/records.hpp"
#include "wire/user_messages.hpp"

namespace bendspindle::wire {
namespace {

using std::chrono::milliseconds;

std::string hex_of(const std::string& bytes) {
    std::string out;
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        out += "0123456789abcdef"[byte >> 4];
        out += "0123456789abcdef"[byte & 15];
    }
    return out;
}

std::string golden_hex(const std::string& name) {
    std::ifstream in(std::string(SOURCE_DIR) + "/tests/data/golden/" + name + ".hex");
    EXPECT_TRUE(in) << name;
    std::string hex;
    in >> hex;
    return hex;
}

std::string golden(const std::string& name) {
    const auto hex = golden_hex(name);
    std::string out;
    for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
        out += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
    return out;
}

void expect_golden(const std::string& name, const std::string& bytes) {
    EXPECT_EQ(hex_of(bytes), golden_hex(name)) << name;
}

core::JobSpec full_spec() {
    core::JobSpec s;
    s.id = "job-000412";
    s.job_class = "train";
    s.team = "vision";
    s.kind = core::Kind::gang;
    s.priority = core::Priority::high;
    s.tasks = 16;
    s.need = {8, 1, 64.5};
    s.image = "img-07";
    s.image_gb = 6.25;
    s.types = std::vector<std::string>{"g8", "m4"};
    s.zone = "a";
    s.one_zone = true;
    s.spread = true;
    s.spot = true;
    s.estimate = core::Seconds(240);
    s.checkpoint_interval = core::Seconds(30);
    s.save_time = core::Seconds(4);
    s.deadline = core::Seconds(900);
    return s;
}

core::Heartbeat full_heartbeat() {
    using core::ExitCause;
    using core::TaskState;
    core::Heartbeat r{"n-000231", "10.1.0.232:9000", "g8", "a", true, 7, 88,
                      41,         core::Seconds(30), {}};
    std::uint32_t index = 0;
    for (const auto state :
         {TaskState::fetching, TaskState::waiting, TaskState::running, TaskState::saving})
        r.tasks.push_back({"job-1", index++, (1ULL << 40) + 5, state, ExitCause::none, false});
    for (const auto cause :
         {ExitCause::done, ExitCause::stopped, ExitCause::peers, ExitCause::alone, ExitCause::error,
          ExitCause::no_room, ExitCause::busy, ExitCause::unknown})
        r.tasks.push_back({"job-1", index++, 2, TaskState::exited, cause, true});
    return r;
}

std::vector<core::TaskCommand> all_commands() {
    return {{core::TaskCommand::Verb::start, "job-1", 0, 4, core::Seconds(0)},
            {core::TaskCommand::Verb::stop, "job-1", 1, 5, core::Seconds(2.5)},
            {core::TaskCommand::Verb::acknowledge, "job-1", 2, 6, core::Seconds(0)}};
}

core::JobRecord full_record() {
    core::JobRecord record;
    record.spec = full_spec();
    record.home = "c0";
    record.submitted = core::WallTime(milliseconds(1'700'000'000'123));
    record.last_attempt = (1ULL << 40) + 77;
    record.done = {{0, 4}, {9, 9}};
    return record;
}

// A record with 1501 ranges, one more than are stored as ranges, so that it is stored as a bitmap.
core::JobRecord bitmap_record() {
    auto record = full_record();
    record.spec.tasks = 3003;
    record.done.clear();
    for (std::uint32_t i = 0; i < 3002; i += 2) record.done.push_back({i, i});
    return record;
}

TEST(Golden, JobSubmission) {
    expect_golden("job", job_body(full_spec()));
    const auto parsed = parse_job(golden("job"));
    ASSERT_TRUE(parsed.job) << parsed.error;
    const auto& s = *parsed.job;
    const auto e = full_spec();
    EXPECT_EQ(
        std::tie(s.id, s.job_class, s.team, s.kind, s.priority, s.tasks, s.image, s.image_gb),
        std::tie(e.id, e.job_class, e.team, e.kind, e.priority, e.tasks, e.image, e.image_gb));
    EXPECT_EQ(std::tie(s.need.cpus, s.need.gpus, s.need.memory_gb),
              std::tie(e.need.cpus, e.need.gpus, e.need.memory_gb));
    EXPECT_EQ(std::tie(s.types, s.zone, s.one_zone, s.spread, s.spot),
              std::tie(e.types, e.zone, e.one_zone, e.spread, e.spot));
    EXPECT_EQ(std::tie(s.estimate, s.checkpoint_interval, s.save_time, s.deadline),
              std::tie(e.estimate, e.checkpoint_interval, e.save_time, e.deadline));
}

TEST(Golden, EachKindAndPriority) {
    using core::Kind;
    using core::Priority;
    for (const auto& [name, kind, priority] :
         {std::tuple("job_batch_low", Kind::array, Priority::low),
          std::tuple("job_daemon_standard", Kind::service, Priority::normal),
          std::tuple("job_ensemble_critical", Kind::gang, Priority::production)}) {
        auto spec = full_spec();
        spec.kind = kind;
        spec.priority = priority;
        expect_golden(name, job_body(spec));
        const auto parsed = parse_job(golden(name)).job;
        ASSERT_TRUE(parsed) << name;
        EXPECT_EQ(parsed->kind, kind);
        EXPECT_EQ(parsed->priority, priority);
    }
}

TEST(Golden, StatusErrorAndRedirect) {
    using core::TerminalState;
    expect_golden("status_running", status_body("job-1", {TerminalState::none, 3, 2}, true));
    expect_golden("status_queued", status_body("job-1", {TerminalState::none, 3, 0}, true));
    expect_golden("status_done", status_body("job-1", {TerminalState::done, 5, 0}, false));
    expect_golden("status_aborted", status_body("job-1", {TerminalState::cancelled, 5, 0}, false));
    EXPECT_EQ(terminal_state_in_status(golden("status_running")), std::nullopt);
    EXPECT_EQ(terminal_state_in_status(golden("status_done")), TerminalState::done);
    EXPECT_EQ(terminal_state_in_status(golden("status_aborted")), TerminalState::cancelled);
    expect_golden("error", error_body("pieces is out of range"));
    expect_golden("redirect", redirect_body("c1"));
    expect_golden("redirect_unknown", redirect_body(""));
}

TEST(Golden, HeartbeatAndCommands) {
    expect_golden("report", heartbeat_body(full_heartbeat()));
    const auto r = parse_heartbeat(golden("report"));
    ASSERT_TRUE(r);
    const auto e = full_heartbeat();
    EXPECT_EQ(std::tie(r->machine, r->address, r->type, r->zone, r->spot, r->agent_epoch,
                       r->sequence, r->fencing_token, r->reclaim_notice, r->tasks),
              std::tie(e.machine, e.address, e.type, e.zone, e.spot, e.agent_epoch, e.sequence,
                       e.fencing_token, e.reclaim_notice, e.tasks));
    expect_golden("orders", commands_body(41, all_commands()));
    expect_golden("direct", direct_commands_body({"n-1", "10.1.0.1:9000", 41, 7, all_commands()}));
}

TEST(Golden, CloudCalls) {
    expect_golden("rent", scale_out_body({"r-1", "g8", "a", true, 3}));
    expect_golden("release", release_body({"n-1", "n-2"}));
    EXPECT_EQ(parse_scale_out_response(golden("release")),
              (std::vector<std::string>{"n-1", "n-2"}));
}

TEST(Golden, CloudCatalog) {
    const auto types = parse_catalog(golden("catalog"));
    ASSERT_TRUE(types);
    ASSERT_EQ(types->size(), 1U);
    const auto& t = types->front();
    EXPECT_EQ(t.name, "g8");
    EXPECT_EQ(std::tuple(t.size.cpus, t.size.gpus, t.size.memory_gb), std::tuple(64, 8, 512.5));
    EXPECT_EQ(std::tuple(t.cache_gb, t.fetch_gb_per_s, t.price, t.spot_price, t.boot.count()),
              std::tuple(100, 1.5, 12.25, 4.5, 90));
    EXPECT_EQ(t.zones, (std::vector<std::string>{"a", "b"}));
}

TEST(Golden, CloudMachineList) {
    using core::MachineStage;
    const auto list = parse_machine_list(golden("machine_list"));
    ASSERT_TRUE(list);
    EXPECT_TRUE(list->more);
    ASSERT_EQ(list->machines.size(), 3U);
    const auto& m = list->machines.front();
    EXPECT_EQ(m.name + " " + m.address + " " + m.type + " " + m.zone, "n-1 10.1.0.1:9000 g8 a");
    EXPECT_TRUE(m.spot);
    EXPECT_EQ(m.age.count(), 12.5);
    EXPECT_EQ(m.stage, MachineStage::booting);
    EXPECT_EQ(list->machines[1].stage, MachineStage::running);
    EXPECT_EQ(list->machines[2].stage, MachineStage::failed);
}

TEST(Golden, KeyValueStoreResponses) {
    const auto entry = parse_entry(golden("entry"));
    ASSERT_TRUE(entry);
    EXPECT_EQ(std::tuple(entry->key, entry->value.dump(), entry->mod_revision, entry->lease),
              std::tuple("view", "{\"x\":1}", 11U, 7U));
    const auto entries = parse_entries(golden("entries"));
    ASSERT_TRUE(entries);
    ASSERT_EQ(entries->entries.size(), 1U);
    EXPECT_EQ(entries->entries[0].key, "job/job-1");
    EXPECT_EQ(entries->entries[0].mod_revision, 11U);
    EXPECT_TRUE(entries->more);
    EXPECT_EQ(entries->revision, 12U);
    const auto events = parse_events(golden("events"));
    ASSERT_TRUE(events);
    ASSERT_EQ(events->entries.size(), 1U);
    EXPECT_EQ(events->entries[0].key, "job/job-1");
    EXPECT_EQ(events->entries[0].mod_revision, 11U);
    EXPECT_EQ(events->revision, 12U);
    const auto cas_result = parse_compare_and_swap(golden("txn_answer"));
    ASSERT_TRUE(cas_result);
    EXPECT_EQ(cas_result->revision, 12U);
    EXPECT_EQ(cas_result->failed, (std::vector<std::string>{"view"}));
    EXPECT_EQ(parse_lease(golden("lease_answer")), 7U);
}

TEST(Golden, KeyValueStoreRequests) {
    expect_golden("txn", compare_and_swap_body({{"view", 3}, {"job/job-1", 0}},
                                               {{"job/job-1", Value{{"x", 1}}, 7},
                                                {"over/job-2", Value{{"x", 1}}, std::nullopt},
                                                {"machine/n-1", std::nullopt, std::nullopt}}));
    expect_golden("lease", lease_body(milliseconds(4000)));
}

TEST(Golden, JobRecord) {
    auto without_home = full_record();
    without_home.home.clear();
    for (const auto& [name, e] : {std::pair("record_job_ranges", full_record()),
                                  std::pair("record_job_bitmap", bitmap_record()),
                                  std::pair("record_job_no_home", without_home)}) {
        expect_golden(name, to_cbor(job_record(e)));
        const auto r = parse_job_record(*parse_cbor(golden(name)));
        ASSERT_TRUE(r) << name;
        EXPECT_EQ(job_body(r->spec), job_body(e.spec));
        EXPECT_EQ(std::tie(r->home, r->submitted, r->last_attempt, r->done),
                  std::tie(e.home, e.submitted, e.last_attempt, e.done));
    }
}

TEST(Golden, TerminalMachineAndLeadershipRecords) {
    auto record = full_record();
    record.terminal_state = core::TerminalState::done;
    expect_golden("record_final_done", to_cbor(terminal_record(record)));
    record.terminal_state = core::TerminalState::cancelled;
    expect_golden("record_final_cancelled", to_cbor(terminal_record(record)));
    EXPECT_EQ(parse_terminal_record(*parse_cbor(golden("record_final_done"))),
              core::TerminalState::done);
    EXPECT_EQ(parse_terminal_record(*parse_cbor(golden("record_final_cancelled"))),
              core::TerminalState::cancelled);

    expect_golden("record_machine",
                  to_cbor(machine_record(
                      {"n-1", "10.1.0.1:9000", "g8", "a", true, core::MachineStage::running, {}})));
    const auto m = parse_machine_record("n-1", *parse_cbor(golden("record_machine")));
    ASSERT_TRUE(m);
    EXPECT_EQ(m->name + " " + m->address + " " + m->type + " " + m->zone, "n-1 10.1.0.1:9000 g8 a");
    EXPECT_TRUE(m->spot);
    EXPECT_EQ(m->stage, core::MachineStage::running);

    expect_golden("record_view", to_cbor(leadership_record({5, "c1", 2})));
    for (const auto& [name, consecutive_restarts] :
         {std::pair("record_view", 2U), std::pair("record_view_without_returns", 0U)}) {
        const auto v = parse_leadership_record(*parse_cbor(golden(name)));
        ASSERT_TRUE(v) << name;
        EXPECT_EQ(v->term, 5U);
        EXPECT_EQ(v->leader, "c1");
        EXPECT_EQ(v->consecutive_restarts, consecutive_restarts);
    }
}

TEST(Golden, PeerRequests) {
    using peer::Op;
    for (const auto& [name, op] :
         {std::pair("peer_status", Op::status), std::pair("peer_cancel", Op::cancel),
          std::pair("peer_report", Op::heartbeat), std::pair("peer_view", Op::leader_announcement),
          std::pair("peer_word", Op::cancellation_snapshot),
          std::pair("peer_cancelled", Op::cancelled)}) {
        expect_golden(name, peer::pack(peer::Request{op, (1ULL << 40) + 1, "job-1", "body"}));
        const auto bytes = golden(name);
        const auto header = peer::parse_header(bytes.substr(0, peer::header_size));
        EXPECT_EQ(header.error, peer::HeaderError::none);
        EXPECT_EQ(header.header.length, bytes.size() - peer::header_size);
        const auto r = peer::parse_request(header.header.kind, bytes.substr(peer::header_size));
        ASSERT_TRUE(r) << name;
        EXPECT_EQ(r->op, op);
        EXPECT_EQ(r->term, (1ULL << 40) + 1);
        EXPECT_EQ(r->id, "job-1");
        EXPECT_EQ(r->body, "body");
    }
}

TEST(Golden, PeerAnswerAndCancellationSnapshot) {
    expect_golden("peer_answer", peer::pack(peer::Answer{421, 3, 9, "body"}));
    const auto a = peer::parse_answer(0x80, golden("peer_answer").substr(peer::header_size));
    ASSERT_TRUE(a);
    EXPECT_EQ(std::tuple(a->status, a->retry_after, a->term, a->body),
              std::tuple(421, 3, 9U, "body"));
    const peer::CancellationSnapshot e{
        milliseconds(1500), milliseconds(70'000), true, {"job-1", "job-22"}};
    expect_golden("peer_known_cancelled", peer::pack(e));
    const auto w = peer::parse_cancellation_snapshot(golden("peer_known_cancelled"));
    ASSERT_TRUE(w);
    EXPECT_EQ(std::tie(w->age, w->history, w->complete, w->cancelled),
              std::tie(e.age, e.history, e.complete, e.cancelled));
}

TEST(Golden, PathsAndKeys) {
    EXPECT_STREQ(path::jobs, "/work");
    EXPECT_STREQ(path::health, "/healthz");
    EXPECT_STREQ(path::heartbeat, "/checkin");
    EXPECT_STREQ(path::direct_commands, "/orders");
    EXPECT_STREQ(path::inspect, "/inspect");
    EXPECT_STREQ(path::catalog, "/catalog");
    EXPECT_STREQ(path::machines, "/machines");
    EXPECT_STREQ(path::release, "/machines/release");
    EXPECT_EQ(path::machine_list("", 50), "/machines?page=50");
    EXPECT_EQ(path::machine_list("n-1", 50), "/machines?page=50&since=n-1");
    EXPECT_STREQ(path::compare_and_swap, "/txn");
    EXPECT_STREQ(path::leases, "/leases");
    EXPECT_EQ(path::key("view"), "/kv/view");
    EXPECT_EQ(path::range("job/", "", 9), "/kv?starts=job/&page=9");
    EXPECT_EQ(path::range("job/", "job/1", 9), "/kv?starts=job/&since=job/1&page=9");
    EXPECT_EQ(path::watch("view", 7, milliseconds(900)), "/watch?starts=view&since=7&wait_ms=900");
    EXPECT_EQ(path::lease(7), "/leases/7");
    EXPECT_EQ(path::keep_alive(7), "/leases/7/touch");
    EXPECT_STREQ(state::keys::jobs, "job/");
    EXPECT_EQ(state::keys::job("job-1"), "job/job-1");
    EXPECT_EQ(state::keys::ended_job("job-1"), "over/job-1");
    EXPECT_EQ(state::keys::machine("n-1"), "machine/n-1");
    EXPECT_STREQ(state::keys::leader, "steward");
}

}  // namespace
}  // namespace bendspindle::wire
