// Field names on the wire and the corresponding terms in the code:
//   checkin (path)   heartbeat                    orders          task commands
//   spindle          machine                      addr            address of its agent
//   build, hall      machine type, zone           loaners         spot
//   shift            agent epoch                  tick            sequence of the heartbeat
//   baton            fencing token                foreman         leader
//   warning_s        time until the cloud preempts the machine
//   piece            task: the job id, a slash and the task index
//   try              attempt                      stored          a checkpoint was saved
//   stage            task state: pulling = fetching, flushing = saving
//   cause            exit cause: halted = stopped, full = no_room, no_such = unknown
//   verb             start, stop, reap = acknowledge
//   wind_down_s      grace period of a stop
#include "wire/agent_messages.hpp"

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
constexpr NameTable<core::TaskCommand::Verb, 3> verb_names{
    {{"start", core::TaskCommand::Verb::start},
     {"stop", core::TaskCommand::Verb::stop},
     {"reap", core::TaskCommand::Verb::acknowledge}}};

// Returns the name of a task on the wire: the job id, a slash and the task index.
std::string task_name(const std::string& job, std::uint32_t index) {
    return job + "/" + std::to_string(index);
}

std::pair<std::string, std::uint32_t> parse_task_name(const std::string& name) {
    const auto slash = name.rfind('/');
    if (slash == std::string::npos || slash + 1 == name.size() || name.size() - slash > 8)
        throw Malformed("piece", "has no number");
    std::uint32_t index = 0;
    for (std::size_t i = slash + 1; i < name.size(); ++i) {
        if (name[i] < '0' || name[i] > '9') throw Malformed("piece", "has no number");
        index = index * 10 + static_cast<std::uint32_t>(name[i] - '0');
    }
    return {name.substr(0, slash), index};
}

core::ReportedTask read_task(const Fields& fields) {
    core::ReportedTask task;
    std::tie(task.job, task.index) = parse_task_name(fields.text("piece"));
    task.attempt = fields.count("try");
    task.state = fields.enum_value(state_names, "stage");
    if (task.state == TaskState::exited) task.cause = fields.enum_value(cause_names, "cause");
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

core::Heartbeat read_heartbeat(const Fields& fields) {
    core::Heartbeat heartbeat;
    heartbeat.machine = fields.text("spindle");
    if (!valid_machine_name(heartbeat.machine)) throw Malformed("spindle", "is not a name");
    heartbeat.address = fields.text("addr");
    heartbeat.type = fields.text("build");
    heartbeat.zone = fields.text("hall");
    heartbeat.spot = fields.flag("loaners");
    heartbeat.agent_epoch = fields.count("shift");
    heartbeat.sequence = fields.count("tick");
    heartbeat.fencing_token = fields.count("baton");
    if (fields.has("warning_s")) heartbeat.reclaim_notice = fields.seconds("warning_s");
    for (const auto& task : fields.maps("pieces")) heartbeat.tasks.push_back(read_task(task));
    return heartbeat;
}

Value commands_value(const std::vector<core::TaskCommand>& commands) {
    Value out = Value::array();
    for (const auto& command : commands) {
        Value map{{"verb", name_of(verb_names, command.verb)},
                  {"piece", task_name(command.job, command.index)},
                  {"try", command.attempt}};
        if (command.verb == core::TaskCommand::Verb::stop)
            map["wind_down_s"] = command.grace.count();
        out.push_back(std::move(map));
    }
    return out;
}

}  // namespace

std::optional<core::Heartbeat> parse_heartbeat(std::string_view body) {
    return parse_fields(body, read_heartbeat);
}

std::string heartbeat_body(const core::Heartbeat& heartbeat) {
    Value pieces = Value::array();
    for (const auto& task : heartbeat.tasks) pieces.push_back(task_value(task));
    Value map{{"spindle", heartbeat.machine}, {"addr", heartbeat.address},
              {"build", heartbeat.type},      {"hall", heartbeat.zone},
              {"loaners", heartbeat.spot},    {"shift", heartbeat.agent_epoch},
              {"tick", heartbeat.sequence},   {"baton", heartbeat.fencing_token},
              {"pieces", std::move(pieces)}};
    if (heartbeat.reclaim_notice) map["warning_s"] = heartbeat.reclaim_notice->count();
    return to_cbor(map);
}

std::string commands_body(std::uint64_t fencing_token,
                          const std::vector<core::TaskCommand>& commands) {
    return to_cbor(Value{{"baton", fencing_token}, {"orders", commands_value(commands)}});
}

std::string direct_commands_body(const core::DirectCommand& call) {
    return to_cbor(Value{{"baton", call.fencing_token},
                         {"shift", call.agent_epoch},
                         {"orders", commands_value(call.commands)}});
}

std::string redirect_body(const std::string& leader) {
    if (leader.empty()) return to_cbor(Value::object());
    return to_cbor(Value{{"foreman", leader}});
}

}  // namespace bendspindle::wire
