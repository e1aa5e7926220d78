#include "settings.hpp"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "http.hpp"

namespace bendspindle::scale {

namespace {

using nlohmann::json;

// Well beyond what they were seen to hold (62 MB with 10,000 workers): what queues comes on top.
constexpr double mb_a_worker = 0.1;
constexpr double mb_beside = 200;
constexpr int most_controllers = 14;
constexpr int most_workers = 20'000;
constexpr int most_port = 65'000;

// Reads the fields of one map, and refuses those that nobody has asked for.
class Fields {
  public:
    Fields(std::string file, std::string where, const json& map)
        : file_(std::move(file)), where_(std::move(where)), map_(map) {
        if (!map_.is_object()) throw SettingsError(file_ + ": " + where_ + " is not a map");
    }
    // To be called when all fields have been asked for.
    void done() const {
        for (const auto& [name, value] : map_.items())
            if (!asked_.contains(name)) wrong(name, "is not a known field");
    }
    Fields sub(const std::string& name) { return Fields(file_, path(name), at(name)); }
    std::vector<Fields> list(const std::string& name) {
        const auto& value = at(name);
        if (!value.is_array()) wrong(name, "is not a list");
        std::vector<Fields> out;
        for (std::size_t i = 0; i < value.size(); ++i)
            out.emplace_back(file_, path(name) + "[" + std::to_string(i) + "]", value[i]);
        return out;
    }
    std::string text(const std::string& name) {
        const auto& value = at(name);
        if (!value.is_string() || value.get_ref<const std::string&>().empty())
            wrong(name, "is not text");
        return value.get<std::string>();
    }
    double number(const std::string& name, double least, double most) {
        const auto& value = at(name);
        if (!value.is_number()) wrong(name, "is not a number");
        const auto out = value.get<double>();
        if (!(out >= least && out <= most)) out_of_range(name, least, most);
        return out;
    }
    int count(const std::string& name, int least, int most) {
        const auto& value = at(name);
        if (!value.is_number_integer()) wrong(name, "is not a whole number");
        const auto out = value.get<std::int64_t>();
        if (out < least || out > most) out_of_range(name, least, most);
        return static_cast<int>(out);
    }
    Seconds seconds(const std::string& name, double least = 0, double most = 86'400) {
        return Seconds(number(name, least, most));
    }
    [[noreturn]] void wrong(const std::string& name, const std::string& what) const {
        throw SettingsError(file_ + ": " + path(name) + " " + what);
    }

  private:
    [[noreturn]] void out_of_range(const std::string& name, double least, double most) const {
        std::ostringstream what;
        what << "must be from " << least << " to " << most;
        wrong(name, what.str());
    }
    std::string path(const std::string& name) const {
        return where_.empty() ? name : where_ + "." + name;
    }
    const json& at(const std::string& name) {
        asked_.insert(name);
        const auto it = map_.find(name);
        if (it == map_.end()) wrong(name, "is missing");
        return *it;
    }

    std::string file_;
    std::string where_;
    const json& map_;
    std::set<std::string> asked_;
};

void read(Fields fields, ControllerSettings& out) {
    out.count = fields.count("count", 1, most_controllers);
    out.memory_mb = fields.number("memory_mb", 16, 65'536);
    out.sockets = fields.count("sockets", 50, 60'000);
    fields.done();
}

void read(Fields fields, TimeSettings& out) {
    out.warm_up = fields.seconds("warm_up_s", 1, 3600);
    out.measure = fields.seconds("measure_s", 1, 7200);
    out.window = fields.seconds("window_s", 1, 600);
    out.seed = static_cast<std::uint64_t>(fields.count("seed", 1, 1'000'000'000));
    fields.done();
}

void read(Fields fields, WorkerSettings& out) {
    out.count = fields.count("count", 1, most_workers);
    out.size.cpus = fields.number("cpus", 1, 4096);
    out.size.memory_gb = fields.number("memory_gb", 1, 65'536);
    out.times.heartbeat = fields.seconds("report_s", 0.5, 600);
    out.times.lease = fields.seconds("lease_s", 1, 3600);
    out.times.gang_wait = fields.seconds("gang_wait_s", 1, 3600);
    out.times.gang_peer = fields.seconds("gang_peer_s", 1, 3600);
    out.times.cancel = fields.seconds("cancel_s", 1, 3600);
    out.boot = fields.seconds("boot_s");
    out.fetch_gb_per_s = fields.number("fetch_gb_per_s", 0.001, 1000);
    fields.done();
}

void read(Fields fields, LoadSettings& out) {
    out.jobs_per_s = fields.number("jobs_per_s", 0, 10'000);
    out.array_tasks = fields.number("array_tasks", 1, 10'000);
    out.gang_share = fields.number("gang_share", 0, 1);
    out.gang_most = fields.count("gang_most", 1, 64);
    out.urgent_share = fields.number("urgent_share", 0, 1);
    out.urgent_tasks = fields.count("urgent_tasks", 1, 1000);
    out.cancel_share = fields.number("cancel_share", 0, 1);
    out.run = fields.seconds("run_s", 0.1);
    out.cpus = fields.number("cpus", 0.01, 4096);
    out.images = fields.count("images", 1, 100'000);
    out.image_gb = fields.number("image_gb", 0, 1000);
    out.teams = fields.count("teams", 1, 10'000);
    out.team_limit = fields.number("team_limit", 0, 10'000);
    fields.done();
}

void read(Fields fields, ServiceSettings& out) {
    out.requests_per_s = fields.number("state_requests_per_s", 1, 1e6);
    out.writes_per_s = fields.number("state_writes_per_s", 1, 1e6);
    out.cloud_requests_per_s = fields.number("cloud_requests_per_s", 0.1, 1e6);
    out.list_lag = fields.seconds("list_lag_s", 0, 600);
    fields.done();
}

void read(Fields fields, RateSettings& out) {
    out.deaths_per_day = fields.number("deaths_per_day", 0, 1e6);
    out.restarts_per_day = fields.number("restarts_per_day", 0, 1e6);
    out.restart = fields.seconds("restart_s");
    out.hangs_per_day = fields.number("hangs_per_day", 0, 1e6);
    out.hang = fields.seconds("hang_s");
    fields.done();
}

ZoneSettings read_zone(Fields fields) {
    ZoneSettings out{fields.text("name"), fields.text("region")};
    if (out.name.find('/') != std::string::npos) fields.wrong("name", "must hold no slash");
    fields.done();
    return out;
}

bool known_place(const ScaleSettings& settings, const std::string& place) {
    const auto zone = place.substr(0, place.find('/'));
    return std::any_of(settings.zones.begin(), settings.zones.end(),
                       [&](const auto& z) { return z.name == zone || (z.region == place); });
}

FaultSettings read_fault(Fields fields, const ScaleSettings& settings) {
    using What = FaultSettings::What;
    FaultSettings out;
    out.name = fields.text("what");
    out.at = fields.seconds("at_s");
    if (out.name == "end_leader")
        out.what = What::end_leader;
    else if (out.name == "lose")
        out.what = What::lose;
    else if (out.name == "cut")
        out.what = What::cut;
    else if (out.name == "hang")
        out.what = What::hang;
    else
        fields.wrong("what", "must be end_leader, lose, cut or hang");
    if (out.what != What::end_leader) {
        out.place = fields.text("place");
        if (!known_place(settings, out.place)) fields.wrong("place", "is no region, zone or rack");
    }
    if (out.what != What::lose) out.lasts = fields.seconds("lasts_s");
    fields.done();
    if (out.at > settings.time.measure) fields.wrong("at_s", "is after the end of the run");
    return out;
}

}  // namespace

ScaleSettings parse_scale_settings(const std::string& file, const std::string& text) {
    const auto document = json::parse(text, nullptr, false);
    if (document.is_discarded()) throw SettingsError(file + ": is not JSON");
    Fields top(file, "", document);
    ScaleSettings out;
    out.text = text;
    read(top.sub("controllers"), out.controllers);
    out.first_port = top.count("first_port", 1024, most_port);
    read(top.sub("time"), out.time);
    read(top.sub("workers"), out.workers);
    for (auto& zone : top.list("zones")) out.zones.push_back(read_zone(zone));
    if (out.zones.empty()) top.wrong("zones", "is empty");
    out.rack_size = top.count("rack_size", 1, most_workers);
    read(top.sub("load"), out.load);
    read(top.sub("services"), out.services);
    read(top.sub("rates"), out.rates);
    for (auto& fault : top.list("faults")) out.faults.push_back(read_fault(fault, out));
    top.done();
    if (out.load.cpus > out.workers.size.cpus) top.wrong("load.cpus", "fits no worker");
    return out;
}

ScaleSettings load_scale_settings(const std::string& file) {
    std::ifstream in(file, std::ios::binary);
    if (!in) throw SettingsError(file + ": cannot be read");
    std::ostringstream text;
    text << in.rdbuf();
    return parse_scale_settings(file, text.str());
}

std::vector<int> ScaleSettings::ports() const {
    std::vector<int> out{cloud_port(), worker_port()};
    for (int i = 0; i < controllers.count; ++i)
        out.insert(out.end(), {user_port(i), peer_port(i), state_port(i)});
    std::sort(out.begin(), out.end());
    return out;
}

std::vector<core::Team> ScaleSettings::teams() const {
    std::vector<core::Team> out;
    const auto even = workers.count * workers.size.cpus / load.teams;
    for (int i = 0; i < load.teams; ++i) {
        core::Team team;
        team.name = "team-" + std::to_string(i);
        // A gang of the largest size must fit, or it would be refused.
        team.limit.cpus = std::max(even * load.team_limit, load.gang_most * load.cpus);
        out.push_back(team);
    }
    return out;
}

void check_memory(const ScaleSettings& settings, double machine_mb) {
    const auto fits = [&](double mb) { return mb <= machine_mb / 2; };
    const auto controllers = settings.controllers.count * settings.controllers.memory_mb;
    if (!fits(controllers + mb_beside))
        throw SettingsError("controllers.count: so many of that memory_mb need more than half of " +
                            std::to_string(static_cast<int>(machine_mb)) + " MB");
    if (!fits(controllers + mb_beside + settings.workers.count * mb_a_worker))
        throw SettingsError("workers.count: so many need more than half of " +
                            std::to_string(static_cast<int>(machine_mb)) + " MB");
}

void check_ports(const ScaleSettings& settings) {
    for (const auto port : settings.ports())
        if (port_in_use(static_cast<std::uint16_t>(port)))
            throw SettingsError("first_port: port " + std::to_string(port) + " is in use");
}

double machine_memory_mb() {
    std::ifstream in("/proc/meminfo");
    std::string name;
    double kb = 0;
    in >> name >> kb;
    return kb / 1024;
}

}  // namespace bendspindle::scale
