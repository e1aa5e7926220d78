// Field names on the wire and the corresponding terms in the code:
//   uid              job id                       lane, crew      job class, team
//   shape            kind: batch = job array, ensemble = gang, daemon = service
//   urgency          priority: critical = production, urgent = high, standard = normal
//   pieces           number of tasks              cores, cards    cpus, gpus of a task
//   ram_gb           memory_gb                    blueprint       image
//   pull_gb          image_gb                     builds          machine types it can run on
//   hall             zone                         together        one_zone
//   apart            spread over machines         loaners         may run on spot machines
//   expect_s         estimated run time           notch_s         checkpoint interval
//   stow_s           time to save a checkpoint    due_s           deadline
#include "wire/job_spec.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "wire/fields.hpp"

namespace bendspindle::wire {

namespace {

constexpr std::uint32_t max_tasks = 100'000;
constexpr std::size_t max_types_length = 4096;

constexpr NameTable<core::Kind, 3> kind_names{{{"batch", core::Kind::array},
                                               {"ensemble", core::Kind::gang},
                                               {"daemon", core::Kind::service}}};
constexpr NameTable<core::Priority, 4> priority_names{{{"critical", core::Priority::production},
                                                       {"urgent", core::Priority::high},
                                                       {"standard", core::Priority::normal},
                                                       {"low", core::Priority::low}}};

std::vector<std::string> read_types(const Fields& fields) {
    std::vector<std::string> types;
    std::size_t length = 0;
    for (const auto& type : fields.list("builds")) {
        if (!type.is_string()) throw Malformed("builds", "holds what is not text");
        types.push_back(type.get<std::string>());
        length += types.back().size() + 3;
        // Limits the size of the job record, which must fit into a value of the key-value store.
        if (length > max_types_length) throw Malformed("builds", "is too long");
    }
    return types;
}

}  // namespace

bool valid_job_id(std::string_view id) {
    constexpr std::string_view prefix = "job-";
    constexpr std::size_t max_length = 64;
    if (id.size() <= prefix.size() || id.size() > max_length || !id.starts_with(prefix))
        return false;
    return std::all_of(id.begin(), id.end(), [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               c == '-' || c == '_';
    });
}

core::JobSpec read_job_spec(const Value& map) {
    const Fields fields(map);
    core::JobSpec spec;
    spec.id = fields.text("uid");
    if (!valid_job_id(spec.id)) throw Malformed("uid", "has not the form of a job id");
    spec.job_class = fields.text("lane");
    spec.team = fields.text("crew");
    spec.kind = fields.enum_value(kind_names, "shape");
    spec.priority = fields.enum_value(priority_names, "urgency");
    const auto tasks = fields.count("pieces");
    if (tasks < 1 || tasks > max_tasks) throw Malformed("pieces", "is out of range");
    spec.tasks = static_cast<std::uint32_t>(tasks);
    spec.need = {fields.amount("cores"), fields.amount("cards"), fields.amount("ram_gb")};
    spec.image = fields.text("blueprint");
    spec.image_gb = fields.amount("pull_gb");
    if (fields.has("builds")) spec.types = read_types(fields);
    if (fields.has("hall")) spec.zone = fields.text("hall");
    spec.one_zone = fields.flag("together");
    spec.spread = fields.flag("apart");
    spec.spot = fields.flag("loaners");
    spec.estimate = fields.seconds("expect_s");
    spec.checkpoint_interval = fields.seconds("notch_s");
    spec.save_time = fields.seconds("stow_s");
    if (fields.has("due_s")) spec.deadline = fields.seconds("due_s");
    return spec;
}

Value job_spec_value(const core::JobSpec& spec) {
    Value map{{"uid", spec.id},
              {"lane", spec.job_class},
              {"crew", spec.team},
              {"shape", name_of(kind_names, spec.kind)},
              {"urgency", name_of(priority_names, spec.priority)},
              {"pieces", spec.tasks},
              {"cores", spec.need.cpus},
              {"cards", spec.need.gpus},
              {"ram_gb", spec.need.memory_gb},
              {"blueprint", spec.image},
              {"pull_gb", spec.image_gb},
              {"together", spec.one_zone},
              {"apart", spec.spread},
              {"loaners", spec.spot},
              {"expect_s", spec.estimate.count()},
              {"notch_s", spec.checkpoint_interval.count()},
              {"stow_s", spec.save_time.count()}};
    if (spec.types) map["builds"] = *spec.types;
    if (spec.zone) map["hall"] = *spec.zone;
    if (spec.deadline) map["due_s"] = spec.deadline->count();
    return map;
}

}  // namespace bendspindle::wire
