// Stored field names and the corresponding terms in the code:
//   epoch, steward   term, leader (in the record `view`)
//   returns          consecutive restarts of the leader
//   final            terminal state               home            controller that admitted the job
//   attempt          last attempt number assigned to a task
//   done             completed tasks, as ranges or as a bitmap
#include "wire/records.hpp"

#include <algorithm>
#include <chrono>
#include <vector>

#include "wire/fields.hpp"
#include "wire/job_spec.hpp"

namespace bendspindle::wire {

namespace {

constexpr std::size_t max_ranges = 1500;
constexpr std::uint64_t max_consecutive_restarts = 1000;

constexpr NameTable<core::TerminalState, 2> terminal_state_names{
    {{"cancelled", core::TerminalState::cancelled}, {"done", core::TerminalState::done}}};

// Encodes the ranges as a bitmap: one hexadecimal digit for four tasks, with the first task in the
// lowest bit.
std::string to_bitmap(const std::vector<core::TaskRange>& ranges, std::uint32_t tasks) {
    std::vector<unsigned> nibbles((tasks + 3) / 4, 0);
    for (const auto& [first, last] : ranges)
        for (auto i = first; i <= last; ++i) nibbles[i / 4] |= 1U << (i % 4);
    std::string digits(nibbles.size(), '0');
    for (std::size_t i = 0; i < digits.size(); ++i) digits[i] = "0123456789abcdef"[nibbles[i]];
    return digits;
}

[[noreturn]] void reject_completed_tasks() {
    throw Malformed("done", "does not list tasks of the job");
}

unsigned hexadecimal_value(char digit) {
    if (digit >= '0' && digit <= '9') return static_cast<unsigned>(digit - '0');
    if (digit >= 'a' && digit <= 'f') return static_cast<unsigned>(digit - 'a' + 10);
    reject_completed_tasks();
}

std::vector<core::TaskRange> from_bitmap(const std::string& bitmap, std::uint32_t tasks) {
    std::vector<core::TaskRange> out;
    for (std::uint32_t n = 0; n < bitmap.size(); ++n) {
        const unsigned nibble = hexadecimal_value(bitmap[n]);
        for (std::uint32_t bit = 0; bit < 4; ++bit) {
            if (!(nibble >> bit & 1U)) continue;
            const auto task = n * 4 + bit;
            if (task >= tasks) reject_completed_tasks();
            if (!out.empty() && out.back().last + 1 == task)
                out.back().last = task;
            else
                out.push_back({task, task});
        }
    }
    return out;
}

// Encodes completed tasks as ranges if there are few, and as a hexadecimal bitmap otherwise, so
// that any subset of 100,000 tasks fits into a value of the key-value store.
Value completed_tasks_value(const std::vector<core::TaskRange>& ranges, std::uint32_t tasks) {
    if (ranges.size() > max_ranges) return to_bitmap(ranges, tasks);
    Value out = Value::array();
    for (const auto& [first, last] : ranges) {
        out.push_back(first);
        out.push_back(last);
    }
    return out;
}

std::vector<core::TaskRange> read_completed_tasks(const Value& value, std::uint32_t tasks) {
    if (value.is_string()) return from_bitmap(value.get_ref<const std::string&>(), tasks);
    std::vector<core::TaskRange> out;
    if (!value.is_array() || value.size() % 2 != 0) reject_completed_tasks();
    for (std::size_t i = 0; i < value.size(); i += 2) {
        if (!value[i].is_number_unsigned() || !value[i + 1].is_number_unsigned())
            reject_completed_tasks();
        const auto first = value[i].get<std::uint64_t>();
        const auto last = value[i + 1].get<std::uint64_t>();
        if (first > last || last >= tasks) reject_completed_tasks();
        out.push_back({static_cast<std::uint32_t>(first), static_cast<std::uint32_t>(last)});
    }
    return out;
}

// Returns the time in milliseconds since 1970; up to the year 2200, beyond which the clock's own
// representation would overflow.
core::WallTime read_wall_time(const Fields& fields, const char* name) {
    constexpr std::uint64_t max_ms = 7'258'118'400'000;
    const auto milliseconds = fields.count(name);
    if (milliseconds > max_ms) throw Malformed(name, "is out of range");
    return core::WallTime(std::chrono::milliseconds(milliseconds));
}

}  // namespace

Value job_record(const core::JobRecord& record) {
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    return Value{
        {"spec", job_spec_value(record.spec)},
        {"home", record.home},
        {"submitted_ms", duration_cast<milliseconds>(record.submitted.time_since_epoch()).count()},
        {"attempt", record.last_attempt},
        {"done", completed_tasks_value(record.done, record.spec.tasks)}};
}

std::optional<core::JobRecord> parse_job_record(const Value& value) {
    return if_well_formed([&] {
        const Fields fields(value);
        core::JobRecord record;
        record.spec = read_job_spec(fields.value("spec"));
        record.home = fields.text("home");
        record.submitted = read_wall_time(fields, "submitted_ms");
        record.last_attempt = fields.count("attempt");
        record.done = read_completed_tasks(fields.value("done"), record.spec.tasks);
        return record;
    });
}

Value terminal_record(const core::JobRecord& record) {
    return Value{{"final", name_of(terminal_state_names, record.terminal_state)}};
}

std::optional<core::TerminalState> parse_terminal_record(const Value& value) {
    return if_well_formed([&] { return Fields(value).enum_value(terminal_state_names, "final"); });
}

Value machine_record(const core::ListedMachine& machine) {
    return Value{{"addr", machine.address},
                 {"type", machine.type},
                 {"zone", machine.zone},
                 {"spot", machine.spot}};
}

std::optional<core::ListedMachine> parse_machine_record(const std::string& name,
                                                        const Value& value) {
    return if_well_formed([&] {
        const Fields fields(value);
        core::ListedMachine machine;
        machine.name = name;
        machine.address = fields.text("addr");
        machine.type = fields.text("type");
        machine.zone = fields.text("zone");
        machine.spot = fields.flag("spot");
        machine.stage = core::MachineStage::running;
        return machine;
    });
}

Value leadership_record(const LeadershipRecord& record) {
    return Value{{"epoch", record.term},
                 {"steward", record.leader},
                 {"returns", record.consecutive_restarts}};
}

std::optional<LeadershipRecord> parse_leadership_record(const Value& value) {
    return if_well_formed([&] {
        const Fields fields(value);
        // Records written by older versions do not have this field.
        const auto restarts = fields.has("returns") ? fields.count("returns") : 0;
        return LeadershipRecord{
            fields.count("epoch"), fields.text("steward"),
            static_cast<std::uint32_t>(std::min(restarts, max_consecutive_restarts))};
    });
}

}  // namespace bendspindle::wire
