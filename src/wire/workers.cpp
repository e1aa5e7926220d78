#include "wire/workers.hpp"

#include <tuple>
#include <utility>

#include "wire/fields.hpp"

namespace bendspindle::wire {

namespace {

using core::TaskState;

constexpr NameTable<TaskState, 5> state_names{{{"pulling", TaskState::fetching},
                                               {"waiting", TaskState::waiting},
                                               {"running", TaskState::running},
                                               {"flushing", TaskState::saving},
                                               {"exited", TaskState::exited}}};
constexpr NameTable<core::ExitCause, 8> cause_names{{{"done", core::ExitCause::done},
                                                     {"halted", core::ExitCause::stopped},
                                                     {"peers", core::ExitCause::peers},
                                                     {"alone", core::ExitCause::alone},
                                                     {"error", core::ExitCause::error},
                                                     {"full", core::ExitCause::no_room},
                                                     {"busy", core::ExitCause::busy},
                                                     {"no_such", core::ExitCause::unknown}}};
constexpr NameTable<core::Order::Verb, 3> verb_names{{{"start", core::Order::Verb::start},
                                                      {"stop", core::Order::Verb::stop},
                                                      {"reap", core::Order::Verb::forget}}};

// A task's name is that of its job, a slash and its number.
std::string task_name(const std::string& job, std::uint32_t index) {
    return job + "/" + std::to_string(index);
}

std::pair<std::string, std::uint32_t> parse_task_name(const std::string& name) {
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

core::ReportedTask read_task(const Fields& fields) {
    core::ReportedTask task;
    std::tie(task.job, task.index) = parse_task_name(fields.text("piece"));
    task.attempt = fields.count("try");
    task.state = fields.named(state_names, "stage");
    if (task.state == TaskState::exited) task.cause = fields.named(cause_names, "cause");
    if (fields.has("stored")) task.saved = fields.flag("stored");
    return task;
}

Value task_value(const core::ReportedTask& task) {
    Value map{{"piece", task_name(task.job, task.index)},
              {"try", task.attempt},
              {"stage", name_of(state_names, task.state)}};
    if (task.state == TaskState::exited) map["cause"] = name_of(cause_names, task.cause);
    if (task.saved) map["stored"] = true;
    return map;
}

core::Report read_report(const Fields& fields) {
    core::Report report;
    report.machine = fields.text("spindle");
    if (report.machine.empty() || report.machine.find_first_of(" /") != std::string::npos)
        throw Malformed{"spindle is not a name"};
    report.address = fields.text("addr");
    report.type = fields.text("build");
    report.zone = fields.text("hall");
    report.spot = fields.flag("loaners");
    report.session = fields.count("shift");
    report.seq = fields.count("tick");
    report.token = fields.count("baton");
    if (fields.has("warning_s")) report.notice = fields.seconds("warning_s");
    for (const auto& task : fields.maps("pieces")) report.tasks.push_back(read_task(task));
    return report;
}

Value orders_value(const std::vector<core::Order>& orders) {
    Value out = Value::array();
    for (const auto& order : orders) {
        Value map{{"verb", name_of(verb_names, order.verb)},
                  {"piece", task_name(order.job, order.index)},
                  {"try", order.attempt}};
        if (order.verb == core::Order::Verb::stop) map["wind_down_s"] = order.grace.count();
        out.push_back(std::move(map));
    }
    return out;
}

}  // namespace

std::optional<core::Report> parse_report(std::string_view body) {
    return parse_fields(body, read_report);
}

std::string report_body(const core::Report& report) {
    Value pieces = Value::array();
    for (const auto& task : report.tasks) pieces.push_back(task_value(task));
    Value map{{"spindle", report.machine}, {"addr", report.address}, {"build", report.type},
              {"hall", report.zone},       {"loaners", report.spot}, {"shift", report.session},
              {"tick", report.seq},        {"baton", report.token},  {"pieces", std::move(pieces)}};
    if (report.notice) map["warning_s"] = report.notice->count();
    return to_cbor(map);
}

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

}  // namespace bendspindle::wire
