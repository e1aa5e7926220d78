#include "wire/codec.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace bendspindle::wire {

namespace {

using core::Seconds;
using core::TaskState;

constexpr int deepest = 12;
constexpr std::uint32_t most_tasks = 100'000;
constexpr double most_amount = 1e9;
constexpr std::size_t longest_name = 200;
constexpr std::size_t most_types_text = 4096;
constexpr std::size_t most_ranges = 1500;

// Builds the document, but gives up on nesting that no message of ours has: the parser recurses,
// and 64 KiB of opening brackets would run a small thread stack over. A claimed length beyond any
// body is refused here too: the base class throws on one, through every `parse`.
class BoundedBuilder : public nlohmann::detail::json_sax_dom_parser<Value> {
  public:
    using Base = nlohmann::detail::json_sax_dom_parser<Value>;
    explicit BoundedBuilder(Value& root) : Base(root, false) {}
    bool start_object(std::size_t n) {
        return plausible(n) && ++depth_ <= deepest && Base::start_object(n);
    }
    bool end_object() { return --depth_, Base::end_object(); }
    bool start_array(std::size_t n) {
        return plausible(n) && ++depth_ <= deepest && Base::start_array(n);
    }
    bool end_array() { return --depth_, Base::end_array(); }
    bool binary(Value::binary_t&) { return false; }

  private:
    static bool plausible(std::size_t n) {
        constexpr auto indefinite = static_cast<std::size_t>(-1);
        constexpr std::size_t longest_answer = 4 * 1024 * 1024;
        return n == indefinite || n <= longest_answer;
    }
    int depth_ = 0;
};

struct Malformed {
    std::string what;
};

const Value& need(const Value& map, const char* name) {
    const auto it = map.find(name);
    if (it == map.end()) throw Malformed{std::string(name) + " is missing"};
    return *it;
}

bool absent(const Value& map, const char* name) {
    const auto it = map.find(name);
    return it == map.end() || it->is_null();
}

std::string text(const Value& map, const char* name) {
    const auto& v = need(map, name);
    if (!v.is_string()) throw Malformed{std::string(name) + " is not text"};
    const auto& s = v.get_ref<const std::string&>();
    if (s.size() > longest_name) throw Malformed{std::string(name) + " is too long"};
    return s;
}

double amount(const Value& map, const char* name) {
    const auto& v = need(map, name);
    if (!v.is_number()) throw Malformed{std::string(name) + " is not a number"};
    const double d = v.get<double>();
    if (!std::isfinite(d) || d < 0 || d > most_amount)
        throw Malformed{std::string(name) + " is out of range"};
    return d;
}

std::uint64_t count(const Value& map, const char* name) {
    const auto& v = need(map, name);
    if (v.is_number_unsigned()) return v.get<std::uint64_t>();
    if (v.is_number_integer() && v.get<std::int64_t>() >= 0)
        return static_cast<std::uint64_t>(v.get<std::int64_t>());
    throw Malformed{std::string(name) + " is not a whole number"};
}

bool flag(const Value& map, const char* name) {
    const auto& v = need(map, name);
    if (!v.is_boolean()) throw Malformed{std::string(name) + " is not true or false"};
    return v.get<bool>();
}

const Value& list(const Value& map, const char* name) {
    const auto& v = need(map, name);
    if (!v.is_array()) throw Malformed{std::string(name) + " is not a list"};
    return v;
}

template <typename Enum, std::size_t N>
using Names = std::array<std::pair<const char*, Enum>, N>;

constexpr Names<core::Kind, 3> kind_names{{{"batch", core::Kind::array},
                                           {"ensemble", core::Kind::gang},
                                           {"daemon", core::Kind::service}}};
constexpr Names<core::Priority, 4> priority_names{{{"critical", core::Priority::production},
                                                   {"urgent", core::Priority::high},
                                                   {"standard", core::Priority::normal},
                                                   {"low", core::Priority::low}}};
constexpr Names<TaskState, 5> state_names{{{"pulling", TaskState::fetching},
                                           {"waiting", TaskState::waiting},
                                           {"running", TaskState::running},
                                           {"flushing", TaskState::saving},
                                           {"exited", TaskState::exited}}};
constexpr Names<core::ExitCause, 8> cause_names{{{"done", core::ExitCause::done},
                                                 {"halted", core::ExitCause::stopped},
                                                 {"peers", core::ExitCause::peers},
                                                 {"alone", core::ExitCause::alone},
                                                 {"error", core::ExitCause::error},
                                                 {"full", core::ExitCause::no_room},
                                                 {"busy", core::ExitCause::busy},
                                                 {"no_such", core::ExitCause::unknown}}};
constexpr Names<core::MachineStage, 3> stage_names{{{"starting", core::MachineStage::booting},
                                                    {"running", core::MachineStage::running},
                                                    {"failed", core::MachineStage::failed}}};
constexpr Names<core::Order::Verb, 3> verb_names{{{"start", core::Order::Verb::start},
                                                  {"stop", core::Order::Verb::stop},
                                                  {"reap", core::Order::Verb::forget}}};

template <typename Enum, std::size_t N>
Enum named(const Names<Enum, N>& names, const Value& map, const char* field) {
    const auto word = text(map, field);
    for (const auto& [name, value] : names)
        if (word == name) return value;
    throw Malformed{std::string(field) + " has an unknown value"};
}

template <typename Enum, std::size_t N>
const char* name_of(const Names<Enum, N>& names, Enum value) {
    for (const auto& [name, v] : names)
        if (v == value) return name;
    return names[0].first;
}

std::pair<std::string, std::uint32_t> task_of(const std::string& name) {
    const auto slash = name.rfind('/');
    if (slash == std::string::npos || slash + 1 == name.size() || name.size() - slash > 8)
        throw Malformed{"piece has no number"};
    std::uint32_t index = 0;
    for (std::size_t i = slash + 1; i < name.size(); ++i) {
        if (name[i] < '0' || name[i] > '9') throw Malformed{"piece has no number"};
        index = index * 10 + static_cast<std::uint32_t>(name[i] - '0');
    }
    return {name.substr(0, slash), index};
}

std::string task_name(const std::string& job, std::uint32_t index) {
    return job + "/" + std::to_string(index);
}

Value map_of(std::string_view body) {
    auto parsed = parse_cbor(body);
    if (!parsed) throw Malformed{"the body is not CBOR"};
    if (!parsed->is_object()) throw Malformed{"the body is not a map"};
    return std::move(*parsed);
}

template <typename F>
auto guarded(F&& f) -> std::optional<decltype(f())> {
    try {
        return f();
    } catch (const Malformed&) {
        return std::nullopt;
    }
}

core::JobSpec spec_from(const Value& m) {
    core::JobSpec spec;
    spec.id = text(m, "uid");
    if (!valid_job_id(spec.id)) throw Malformed{"uid has not the form of a job id"};
    spec.job_class = text(m, "lane");
    spec.team = text(m, "crew");
    spec.kind = named(kind_names, m, "shape");
    spec.priority = named(priority_names, m, "urgency");
    const auto tasks = count(m, "pieces");
    if (tasks < 1 || tasks > most_tasks) throw Malformed{"pieces is out of range"};
    spec.tasks = static_cast<std::uint32_t>(tasks);
    spec.need = {amount(m, "cores"), amount(m, "cards"), amount(m, "ram_gb")};
    spec.image = text(m, "blueprint");
    spec.image_gb = amount(m, "pull_gb");
    if (!absent(m, "builds")) {
        std::vector<std::string> types;
        std::size_t length = 0;
        for (const auto& type : list(m, "builds")) {
            if (!type.is_string()) throw Malformed{"builds holds what is not text"};
            types.push_back(type.get<std::string>());
            length += types.back().size() + 3;
            // Guard against a record too large for the state service: it could never be written.
            if (length > most_types_text) throw Malformed{"builds is too long"};
        }
        spec.types = std::move(types);
    }
    if (!absent(m, "hall")) spec.zone = text(m, "hall");
    spec.one_zone = flag(m, "together");
    spec.spread = flag(m, "apart");
    spec.spot = flag(m, "loaners");
    spec.estimate = Seconds(amount(m, "expect_s"));
    spec.checkpoint = Seconds(amount(m, "notch_s"));
    spec.save_time = Seconds(amount(m, "stow_s"));
    if (!absent(m, "due_s")) spec.deadline = Seconds(amount(m, "due_s"));
    return spec;
}

Value spec_to(const core::JobSpec& s) {
    Value m{{"uid", s.id},
            {"lane", s.job_class},
            {"crew", s.team},
            {"shape", name_of(kind_names, s.kind)},
            {"urgency", name_of(priority_names, s.priority)},
            {"pieces", s.tasks},
            {"cores", s.need.cpus},
            {"cards", s.need.gpus},
            {"ram_gb", s.need.memory_gb},
            {"blueprint", s.image},
            {"pull_gb", s.image_gb},
            {"together", s.one_zone},
            {"apart", s.spread},
            {"loaners", s.spot},
            {"expect_s", s.estimate.count()},
            {"notch_s", s.checkpoint.count()},
            {"stow_s", s.save_time.count()}};
    if (s.types) m["builds"] = *s.types;
    if (s.zone) m["hall"] = *s.zone;
    if (s.deadline) m["due_s"] = s.deadline->count();
    return m;
}

// A done-set is ranges while they are few, else a hexadecimal bitmap: 100,000 tasks done in any
// pattern still fit the state service's values.
Value done_to(const std::vector<core::Range>& ranges, std::uint32_t tasks) {
    if (ranges.size() <= most_ranges) {
        Value out = Value::array();
        for (const auto& [first, last] : ranges) {
            out.push_back(first);
            out.push_back(last);
        }
        return out;
    }
    std::string bits((tasks + 3) / 4, '0');
    std::vector<unsigned> nibbles(bits.size(), 0);
    for (const auto& [first, last] : ranges)
        for (auto i = first; i <= last; ++i) nibbles[i / 4] |= 1U << (i % 4);
    for (std::size_t i = 0; i < bits.size(); ++i) bits[i] = "0123456789abcdef"[nibbles[i]];
    return bits;
}

std::vector<core::Range> done_from(const Value& v) {
    std::vector<core::Range> out;
    if (v.is_array()) {
        for (std::size_t i = 0; i + 1 < v.size(); i += 2)
            if (v[i].is_number_unsigned() && v[i + 1].is_number_unsigned())
                out.push_back({v[i].get<std::uint32_t>(), v[i + 1].get<std::uint32_t>()});
        return out;
    }
    if (!v.is_string()) return out;
    const auto& bits = v.get_ref<const std::string&>();
    for (std::uint32_t n = 0; n < bits.size(); ++n) {
        const unsigned value = bits[n] <= '9' ? static_cast<unsigned>(bits[n] - '0')
                                              : static_cast<unsigned>(bits[n] - 'a' + 10);
        for (std::uint32_t b = 0; b < 4; ++b) {
            if (!(value >> b & 1U)) continue;
            const auto i = n * 4 + b;
            if (!out.empty() && out.back().second + 1 == i)
                out.back().second = i;
            else
                out.push_back({i, i});
        }
    }
    return out;
}

}  // namespace

namespace path {

std::string key(const std::string& key) {
    return "/kv/" + key;
}
std::string range(const std::string& prefix, const std::string& after, unsigned limit) {
    auto out = "/kv?starts=" + prefix;
    if (!after.empty()) out += "&since=" + after;
    return out + "&page=" + std::to_string(limit);
}
std::string watch(const std::string& prefix, std::uint64_t since, std::chrono::milliseconds wait) {
    return "/watch?starts=" + prefix + "&since=" + std::to_string(since) +
           "&wait_ms=" + std::to_string(wait.count());
}
std::string lease(std::uint64_t lease) {
    return "/leases/" + std::to_string(lease);
}
std::string touch(std::uint64_t id) {
    return lease(id) + "/touch";
}
std::string list(const std::string& after, unsigned limit) {
    auto out = std::string("/machines?page=") + std::to_string(limit);
    if (!after.empty()) out += "&since=" + after;
    return out;
}

}  // namespace path

std::optional<Value> parse_cbor(std::string_view body) {
    if (body.empty()) return std::nullopt;
    Value out;
    BoundedBuilder builder(out);
    if (!Value::sax_parse(body.begin(), body.end(), &builder, Value::input_format_t::cbor))
        return std::nullopt;
    return out;
}

std::string to_cbor(const Value& value) {
    std::string out;
    Value::to_cbor(value, out);
    return out;
}

bool valid_job_id(std::string_view id) {
    constexpr std::string_view prefix = "job-";
    constexpr std::size_t longest = 64;
    if (id.size() <= prefix.size() || id.size() > longest || !id.starts_with(prefix)) return false;
    return std::all_of(id.begin(), id.end(), [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               c == '-' || c == '_';
    });
}

ParsedJob parse_job(std::string_view body) {
    try {
        return {spec_from(map_of(body)), {}};
    } catch (const Malformed& e) {
        return {std::nullopt, e.what};
    }
}

std::string job_body(const core::JobSpec& spec) {
    return to_cbor(spec_to(spec));
}

namespace {
constexpr const char* stage_done = "done";
constexpr const char* stage_cancelled = "aborted";
}  // namespace

std::optional<core::Final> final_in_status(std::string_view body) {
    const auto parsed = parse_cbor(body);
    if (!parsed || !parsed->is_object()) return std::nullopt;
    const auto stage = parsed->find("stage");
    if (stage == parsed->end() || !stage->is_string()) return std::nullopt;
    if (*stage == stage_done) return core::Final::done;
    if (*stage == stage_cancelled) return core::Final::cancelled;
    return std::nullopt;
}

std::string status_body(const std::string& id, const core::JobStatus& status, bool with_counts) {
    const char* stage = "queued";
    if (status.final == core::Final::done)
        stage = stage_done;
    else if (status.final == core::Final::cancelled)
        stage = stage_cancelled;
    else if (status.running > 0)
        stage = "running";
    Value m{{"uid", id}, {"stage", stage}};
    if (with_counts) {
        m["done"] = status.done;
        m["running"] = status.running;
    }
    return to_cbor(m);
}

std::string error_body(const std::string& why) {
    return to_cbor(Value{{"error", why}});
}

std::optional<core::Report> parse_report(std::string_view body) {
    return guarded([&] {
        const auto m = map_of(body);
        core::Report r;
        r.machine = text(m, "spindle");
        if (r.machine.empty() || r.machine.find_first_of(" /") != std::string::npos)
            throw Malformed{"spindle is not a name"};
        r.address = text(m, "addr");
        r.type = text(m, "build");
        r.zone = text(m, "hall");
        r.spot = flag(m, "loaners");
        r.session = count(m, "shift");
        r.seq = count(m, "tick");
        r.token = count(m, "baton");
        if (!absent(m, "warning_s")) r.notice = Seconds(amount(m, "warning_s"));
        for (const auto& piece : list(m, "pieces")) {
            if (!piece.is_object()) throw Malformed{"pieces holds what is not a map"};
            core::ReportedTask t;
            std::tie(t.job, t.index) = task_of(text(piece, "piece"));
            t.attempt = count(piece, "try");
            t.state = named(state_names, piece, "stage");
            if (t.state == TaskState::exited) t.cause = named(cause_names, piece, "cause");
            if (!absent(piece, "stored")) t.saved = flag(piece, "stored");
            r.tasks.push_back(std::move(t));
        }
        return r;
    });
}

std::string report_body(const core::Report& r) {
    Value pieces = Value::array();
    for (const auto& t : r.tasks) {
        Value piece{{"piece", task_name(t.job, t.index)},
                    {"try", t.attempt},
                    {"stage", name_of(state_names, t.state)}};
        if (t.state == TaskState::exited) piece["cause"] = name_of(cause_names, t.cause);
        if (t.saved) piece["stored"] = true;
        pieces.push_back(std::move(piece));
    }
    Value m{{"spindle", r.machine}, {"addr", r.address}, {"build", r.type},
            {"hall", r.zone},       {"loaners", r.spot}, {"shift", r.session},
            {"tick", r.seq},        {"baton", r.token},  {"pieces", std::move(pieces)}};
    if (r.notice) m["warning_s"] = r.notice->count();
    return to_cbor(m);
}

namespace {

Value orders_value(const std::vector<core::Order>& orders) {
    Value out = Value::array();
    for (const auto& o : orders) {
        Value m{{"verb", name_of(verb_names, o.verb)},
                {"piece", task_name(o.job, o.index)},
                {"try", o.attempt}};
        if (o.verb == core::Order::Verb::stop) m["wind_down_s"] = o.grace.count();
        out.push_back(std::move(m));
    }
    return out;
}

}  // namespace

std::string orders_body(std::uint64_t token, const std::vector<core::Order>& orders) {
    return to_cbor(Value{{"baton", token}, {"orders", orders_value(orders)}});
}

std::string direct_body(const core::DirectCall& call) {
    return to_cbor(Value{
        {"baton", call.token}, {"shift", call.session}, {"orders", orders_value(call.orders)}});
}

std::string redirect_body(const std::string& node) {
    if (node.empty()) return to_cbor(Value::object());
    return to_cbor(Value{{"foreman", node}});
}

std::optional<std::vector<core::MachineType>> parse_catalog(std::string_view body) {
    return guarded([&] {
        const auto m = map_of(body);
        std::vector<core::MachineType> out;
        for (const auto& t : list(m, "builds")) {
            if (!t.is_object()) throw Malformed{"builds holds what is not a map"};
            core::MachineType type;
            type.name = text(t, "sku");
            type.size = {amount(t, "cores"), absent(t, "cards") ? 0 : amount(t, "cards"),
                         amount(t, "ram_gb")};
            type.cache_gb = amount(t, "cache_gb");
            type.fetch_gb_per_s = amount(t, "fetch_gb_per_s");
            type.price = amount(t, "rate");
            type.spot_price = absent(t, "spot_price") ? type.price : amount(t, "spot_price");
            type.boot = Seconds(amount(t, "startup_s"));
            for (const auto& z : list(t, "halls"))
                if (z.is_string()) type.zones.push_back(z.get<std::string>());
            out.push_back(std::move(type));
        }
        return out;
    });
}

std::string rent_body(const core::RentRequest& r) {
    return to_cbor(Value{{"hire", r.request},
                         {"build", r.type},
                         {"hall", r.zone},
                         {"loaners", r.spot},
                         {"number", r.count}});
}

std::optional<std::vector<std::string>> parse_rented(std::string_view body) {
    return guarded([&] {
        const auto m = map_of(body);
        std::vector<std::string> out;
        for (const auto& name : list(m, "spindles"))
            if (name.is_string()) out.push_back(name.get<std::string>());
        return out;
    });
}

std::string release_body(const std::vector<std::string>& names) {
    return to_cbor(Value{{"spindles", names}});
}

std::optional<MachineList> parse_list(std::string_view body) {
    return guarded([&] {
        const auto m = map_of(body);
        MachineList out;
        for (const auto& e : list(m, "spindles")) {
            if (!e.is_object()) throw Malformed{"spindles holds what is not a map"};
            core::ListedMachine machine;
            machine.name = text(e, "uid");
            machine.address = absent(e, "addr") ? "" : text(e, "addr");
            machine.type = text(e, "build");
            machine.zone = text(e, "hall");
            machine.spot = flag(e, "loaners");
            machine.stage = named(stage_names, e, "stage");
            machine.age = Seconds(absent(e, "age_s") ? 0 : amount(e, "age_s"));
            out.machines.push_back(std::move(machine));
        }
        out.more = !absent(m, "truncated") && flag(m, "truncated");
        return out;
    });
}

std::optional<Entry> parse_entry(std::string_view body) {
    return guarded([&] {
        auto m = map_of(body);
        return Entry{text(m, "path"), need(m, "v"), count(m, "stamp"),
                     absent(m, "loan") ? 0 : count(m, "loan")};
    });
}

std::optional<Entries> parse_entries(std::string_view body) {
    return guarded([&] {
        auto m = map_of(body);
        Entries out;
        for (const auto& e : list(m, "pairs")) {
            if (!e.is_object()) throw Malformed{"pairs holds what is not a map"};
            out.entries.push_back({text(e, "path"), need(e, "v"), count(e, "stamp")});
        }
        out.more = flag(m, "truncated");
        out.revision = count(m, "ledger_tick");
        return out;
    });
}

std::optional<Entries> parse_events(std::string_view body) {
    return guarded([&] {
        auto m = map_of(body);
        Entries out;
        for (const auto& e : list(m, "events")) {
            if (!e.is_object()) throw Malformed{"events holds what is not a map"};
            if (e.contains("put"))
                out.entries.push_back({text(e, "put"), need(e, "v"), count(e, "stamp")});
        }
        out.revision = count(m, "ledger_tick");
        return out;
    });
}

std::string txn_body(const std::vector<Condition>& conditions,
                     const std::vector<Operation>& operations) {
    Value when = Value::array();
    for (const auto& c : conditions) when.push_back({{"path", c.key}, {"stamp", c.stamp}});
    Value apply = Value::array();
    for (const auto& o : operations) {
        if (!o.put) {
            apply.push_back({{"delete", o.key}});
            continue;
        }
        Value put{{"put", o.key}, {"v", *o.put}};
        if (o.lease) put["loan"] = *o.lease;
        apply.push_back(std::move(put));
    }
    return to_cbor(Value{{"if", std::move(when)}, {"apply", std::move(apply)}});
}

std::optional<TxnAnswer> parse_txn(std::string_view body) {
    return guarded([&] {
        const auto m = map_of(body);
        TxnAnswer out;
        out.revision = count(m, "ledger_tick");
        if (!absent(m, "failed"))
            for (const auto& key : list(m, "failed"))
                if (key.is_string()) out.failed.push_back(key.get<std::string>());
        return out;
    });
}

std::string lease_body(std::chrono::milliseconds life) {
    return to_cbor(Value{{"life_ms", life.count()}});
}

std::optional<std::uint64_t> parse_lease(std::string_view body) {
    return guarded([&] { return count(map_of(body), "loan"); });
}

Value job_record(const core::JobRecord& r) {
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    return Value{
        {"spec", spec_to(r.spec)},
        {"home", r.home},
        {"submitted_ms", duration_cast<milliseconds>(r.submitted.time_since_epoch()).count()},
        {"attempt", r.last_attempt},
        {"done", done_to(r.done, r.spec.tasks)}};
}

std::optional<core::JobRecord> parse_job_record(const Value& v) {
    return guarded([&] {
        if (!v.is_object()) throw Malformed{"not a map"};
        core::JobRecord r;
        r.spec = spec_from(need(v, "spec"));
        r.home = text(v, "home");
        r.submitted = core::WallTime(std::chrono::milliseconds(count(v, "submitted_ms")));
        r.last_attempt = count(v, "attempt");
        r.done = done_from(need(v, "done"));
        return r;
    });
}

Value final_record(const core::JobRecord& r) {
    return Value{{"final", r.final == core::Final::done ? "done" : "cancelled"}};
}

std::optional<core::Final> parse_final(const Value& v) {
    return guarded([&] {
        if (!v.is_object()) throw Malformed{"not a map"};
        const auto word = text(v, "final");
        if (word == "done") return core::Final::done;
        if (word == "cancelled") return core::Final::cancelled;
        throw Malformed{"final has an unknown value"};
    });
}

Value machine_record(const core::ListedMachine& m) {
    return Value{{"addr", m.address}, {"type", m.type}, {"zone", m.zone}, {"spot", m.spot}};
}

std::optional<core::ListedMachine> parse_machine_record(const std::string& name, const Value& v) {
    return guarded([&] {
        if (!v.is_object()) throw Malformed{"not a map"};
        core::ListedMachine m;
        m.name = name;
        m.address = text(v, "addr");
        m.type = text(v, "type");
        m.zone = text(v, "zone");
        m.spot = flag(v, "spot");
        m.stage = core::MachineStage::running;
        return m;
    });
}

Value view_record(const ViewRecord& view) {
    return Value{{"epoch", view.epoch}, {"steward", view.steward}, {"returns", view.returns}};
}

std::optional<ViewRecord> parse_view(const Value& v) {
    return guarded([&] {
        if (!v.is_object()) throw Malformed{"not a map"};
        // Views of older programs do not count returns.
        const auto returns = absent(v, "returns") ? 0 : count(v, "returns");
        return ViewRecord{count(v, "epoch"), text(v, "steward"),
                          static_cast<std::uint32_t>(std::min<std::uint64_t>(returns, 1000))};
    });
}

}  // namespace bendspindle::wire
