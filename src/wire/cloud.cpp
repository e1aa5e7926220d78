// Field names on the wire and the corresponding terms in the code:
//   sku, build       machine type                 uid, spindles   machine name, machines
//   cores, cards     cpus, gpus                   hall, halls     zone, zones
//   ram_gb           memory_gb                    loaners         spot
//   rate             price per hour               startup_s       boot time
//   hire             id of the scale-out request  truncated       more pages follow
#include "wire/cloud.hpp"

#include <algorithm>

#include "wire/fields.hpp"

namespace bendspindle::wire {

namespace {

constexpr NameTable<core::MachineStage, 3> stage_names{{{"starting", core::MachineStage::booting},
                                                        {"running", core::MachineStage::running},
                                                        {"failed", core::MachineStage::failed}}};

core::MachineType read_type(const Fields& fields) {
    core::MachineType type;
    type.name = fields.text("sku");
    type.size = {fields.amount("cores"), fields.has("cards") ? fields.amount("cards") : 0,
                 fields.amount("ram_gb")};
    type.cache_gb = fields.amount("cache_gb");
    type.fetch_gb_per_s = fields.amount("fetch_gb_per_s");
    type.price = fields.amount("rate");
    type.spot_price = fields.has("spot_price") ? fields.amount("spot_price") : type.price;
    type.boot = fields.seconds("startup_s");
    type.zones = fields.texts("halls");
    return type;
}

core::ListedMachine read_machine(const Fields& fields) {
    core::ListedMachine machine;
    machine.name = fields.text("uid");
    if (!valid_machine_name(machine.name)) throw Malformed("uid", "is not a name");
    if (fields.has("addr")) machine.address = fields.text("addr");
    machine.type = fields.text("build");
    machine.zone = fields.text("hall");
    machine.spot = fields.flag("loaners");
    machine.stage = fields.enum_value(stage_names, "stage");
    if (fields.has("age_s")) machine.age = fields.seconds("age_s");
    return machine;
}

}  // namespace

namespace path {

std::string machine_list(const std::string& after, unsigned limit) {
    auto out = std::string("/machines?page=") + std::to_string(limit);
    if (!after.empty()) out += "&since=" + after;
    return out;
}

}  // namespace path

std::optional<std::vector<core::MachineType>> parse_catalog(std::string_view body) {
    return parse_fields(body, [](const Fields& fields) {
        std::vector<core::MachineType> types;
        for (const auto& type : fields.maps("builds")) types.push_back(read_type(type));
        return types;
    });
}

std::string scale_out_body(const core::ScaleOutRequest& request) {
    return to_cbor(Value{{"hire", request.request},
                         {"build", request.type},
                         {"hall", request.zone},
                         {"loaners", request.spot},
                         {"number", request.count}});
}

std::optional<std::vector<std::string>> parse_scale_out_response(std::string_view body) {
    return parse_fields(body, [](const Fields& fields) {
        auto names = fields.texts("spindles");
        if (!std::all_of(names.begin(), names.end(), valid_machine_name))
            throw Malformed("spindles", "holds what is not a name");
        return names;
    });
}

std::string release_body(const std::vector<std::string>& names) {
    return to_cbor(Value{{"spindles", names}});
}

std::optional<MachineList> parse_machine_list(std::string_view body) {
    return parse_fields(body, [](const Fields& fields) {
        MachineList list;
        for (const auto& machine : fields.maps("spindles"))
            list.machines.push_back(read_machine(machine));
        list.more = fields.has("truncated") && fields.flag("truncated");
        return list;
    });
}

}  // namespace bendspindle::wire
