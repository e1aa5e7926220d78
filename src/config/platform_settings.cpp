#include "config/platform_settings.hpp"

#include <utility>

#include "config/field_reader.hpp"
#include "config/settings_error.hpp"
#include "config/text_file.hpp"

namespace bendspindle::config {

namespace {

core::Team read_team(const FieldReader& fields) {
    core::Team team;
    team.name = fields.text("name");
    team.guaranteed.cpus = fields.number_or("cpus", 0);
    team.guaranteed.gpus = fields.number_or("gpus", 0);
    team.limit.cpus = fields.number_or("cpus_max", 0);
    team.limit.gpus = fields.number_or("gpus_max", 0);
    return team;
}

core::ServiceLevelObjectives read_objectives(const FieldReader& deployment) {
    core::ServiceLevelObjectives objectives;
    for (const auto& objective : deployment.maps("objectives")) {
        // Unknown kinds are ignored: later platform versions may add some.
        const auto kind = objective.text("kind");
        if (kind == "wait")
            objectives.start_within[objective.text("class")] = objective.seconds("within_s");
        else if (kind == "guarantee")
            objectives.guaranteed_start = objective.seconds("within_s");
    }
    return objectives;
}

core::AgentTimings read_agent_timings(const FieldReader& workers) {
    return {workers.seconds("report_s"), workers.seconds("lease_s"), workers.seconds("gang_wait_s"),
            workers.seconds("gang_peer_s"), workers.seconds("cancel_s")};
}

StateLimits read_state_limits(const FieldReader& state) {
    return {state.positive("rps"), state.positive("write_rps"),
            static_cast<std::size_t>(state.positive("value_kb")),
            static_cast<std::size_t>(state.positive("txn_ops"))};
}

void read_deployment(const FieldReader& deployment, Settings& settings) {
    settings.zones = deployment.texts("zones");
    if (settings.zones.empty()) deployment.reject("zones", "is empty");
    for (const auto& team : deployment.maps("teams")) settings.teams.push_back(read_team(team));
    settings.objectives = read_objectives(deployment);
    settings.agent_timings = read_agent_timings(deployment.map("workers"));
    settings.state_limits = read_state_limits(deployment.map("state"));
    const auto cloud = deployment.map("cloud");
    settings.cloud_requests_per_s = cloud.positive("rps");
    settings.list_lag = core::Seconds(cloud.number("list_lag_s"));
    const auto resources = deployment.map("resources");
    settings.max_sockets = static_cast<std::size_t>(resources.positive("max_sockets"));
    settings.memory_mb = resources.positive("mem_mb");
}

}  // namespace

Settings load_settings(const std::string& file) {
    const auto document = nlohmann::json::parse(read_text_file(file), nullptr, false);
    if (document.is_discarded()) throw SettingsError(file, "is not JSON");
    const FieldReader top(file, "", document);
    Settings settings;
    settings.name = top.text("node_name");
    settings.zone = top.text("domain");
    settings.listen = top.endpoint("listen");
    settings.internal = top.endpoint("internal_addr");
    for (const auto& peer : top.maps("siblings"))
        settings.peers.push_back(
            {peer.text("node_name"), peer.text("domain"), peer.endpoint("endpoint")});
    const auto external = top.map("external");
    settings.cloud = external.endpoint("cloud");
    settings.state = external.endpoint("state");
    read_deployment(top.map("deployment"), settings);
    return settings;
}

}  // namespace bendspindle::config
