#include "config/settings.hpp"

#include <sfsexp/sexp.h>

#include <algorithm>
#include <cmath>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>

namespace bendspindle::config {

namespace {

using nlohmann::json;

std::string read_file(const std::string& file) {
    std::ifstream in(file, std::ios::binary);
    if (!in) throw SettingsError(file + ": cannot be read");
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

// Reads fields of one map and says where it stands when one is wrong.
class Fields {
  public:
    Fields(std::string file, std::string where, const json& map)
        : file_(std::move(file)), where_(std::move(where)), map_(map) {
        if (!map_.is_object()) throw SettingsError(file_ + ": " + where_ + " is not a map");
    }

    Fields sub(const char* name) const { return Fields(file_, path(name), at(name)); }
    std::vector<Fields> list(const char* name) const {
        const auto& v = at(name);
        if (!v.is_array()) wrong(name, "is not a list");
        std::vector<Fields> out;
        for (std::size_t i = 0; i < v.size(); ++i)
            out.emplace_back(file_, path(name) + "[" + std::to_string(i) + "]", v[i]);
        return out;
    }
    std::string text(const char* name) const {
        const auto& v = at(name);
        if (!v.is_string() || v.get_ref<const std::string&>().empty()) wrong(name, "is not text");
        return v.get<std::string>();
    }
    std::vector<std::string> texts(const char* name) const {
        const auto& v = at(name);
        if (!v.is_array()) wrong(name, "is not a list");
        std::vector<std::string> out;
        for (const auto& e : v) {
            if (!e.is_string()) wrong(name, "holds what is not text");
            out.push_back(e.get<std::string>());
        }
        return out;
    }
    double number(const char* name) const {
        const auto& v = at(name);
        if (!v.is_number()) wrong(name, "is not a number");
        const double d = v.get<double>();
        if (!std::isfinite(d) || d < 0) wrong(name, "is out of range");
        return d;
    }
    double positive(const char* name) const {
        const double d = number(name);
        if (d <= 0) wrong(name, "must be more than 0");
        return d;
    }
    double number_or(const char* name, double other) const {
        return map_.contains(name) ? number(name) : other;
    }
    core::Seconds seconds(const char* name) const { return core::Seconds(positive(name)); }
    io::Endpoint endpoint(const char* name) const {
        const auto parsed = io::parse_endpoint(text(name));
        if (!parsed) wrong(name, "is not HOST:PORT");
        return *parsed;
    }

  private:
    std::string path(const char* name) const {
        return where_.empty() ? std::string(name) : where_ + "." + name;
    }
    [[noreturn]] void wrong(const char* name, const char* what) const {
        throw SettingsError(file_ + ": " + path(name) + " " + what);
    }
    const json& at(const char* name) const {
        const auto it = map_.find(name);
        if (it == map_.end()) wrong(name, "is missing");
        return *it;
    }

    std::string file_;
    std::string where_;
    const json& map_;
};

}  // namespace

Settings load_settings(const std::string& file) {
    const auto text = read_file(file);
    const auto document = json::parse(text, nullptr, false);
    if (document.is_discarded()) throw SettingsError(file + ": is not JSON");
    const Fields top(file, "", document);
    Settings s;
    s.name = top.text("node_name");
    s.zone = top.text("domain");
    s.listen = top.endpoint("listen");
    s.internal = top.endpoint("internal_addr");
    for (const auto& peer : top.list("siblings"))
        s.peers.push_back({peer.text("node_name"), peer.text("domain"), peer.endpoint("endpoint")});
    const auto external = top.sub("external");
    s.cloud = external.endpoint("cloud");
    s.state = external.endpoint("state");
    const auto deployment = top.sub("deployment");
    s.zones = deployment.texts("zones");
    if (s.zones.empty()) throw SettingsError(file + ": deployment.zones is empty");
    for (const auto& team : deployment.list("teams")) {
        core::Team t;
        t.name = team.text("name");
        t.guaranteed.cpus = team.number_or("cpus", 0);
        t.guaranteed.gpus = team.number_or("gpus", 0);
        t.limit.cpus = team.number_or("cpus_max", 0);
        t.limit.gpus = team.number_or("gpus_max", 0);
        s.teams.push_back(std::move(t));
    }
    for (const auto& aim : deployment.list("objectives")) {
        const auto kind = aim.text("kind");
        if (kind == "wait")
            s.objectives.start_within[aim.text("class")] = aim.seconds("within_s");
        else if (kind == "guarantee")
            s.objectives.guaranteed_start = aim.seconds("within_s");
    }
    const auto workers = deployment.sub("workers");
    s.workers = {workers.seconds("report_s"), workers.seconds("lease_s"),
                 workers.seconds("gang_wait_s"), workers.seconds("gang_peer_s"),
                 workers.seconds("cancel_s")};
    const auto state = deployment.sub("state");
    s.state_limits = {state.positive("rps"), state.positive("write_rps"),
                      static_cast<std::size_t>(state.positive("value_kb")),
                      static_cast<std::size_t>(state.positive("txn_ops"))};
    const auto cloud = deployment.sub("cloud");
    s.cloud_requests_per_s = cloud.positive("rps");
    s.list_lag = core::Seconds(cloud.number("list_lag_s"));
    const auto resources = deployment.sub("resources");
    s.most_sockets = static_cast<std::size_t>(resources.positive("max_sockets"));
    s.memory_mb = resources.positive("mem_mb");
    return s;
}

namespace {

// Calls `take` with the words of each entry of a file of the operators: a list of lists of words.
void each_entry(const std::string& file, const std::string& shape,
                const std::function<bool(const std::vector<std::string>&)>& take) {
    auto text = read_file(file);
    // The library takes the first expression of a text; comments are not its business.
    std::istringstream lines(text);
    std::string stripped;
    for (std::string line; std::getline(lines, line);)
        stripped += line.substr(0, line.find(';')) + "\n";
    const std::unique_ptr<sexp_t, void (*)(sexp_t*)> root(
        parse_sexp(stripped.data(), stripped.size()), destroy_sexp);
    if (!root || root->ty != SEXP_LIST) throw SettingsError(file + ": is not an S-expression list");
    for (const sexp_t* entry = root->list; entry; entry = entry->next) {
        std::vector<std::string> words;
        bool good = entry->ty == SEXP_LIST;
        for (const sexp_t* word = good ? entry->list : nullptr; word; word = word->next) {
            good = good && word->ty == SEXP_VALUE;
            if (good) words.emplace_back(word->val);
        }
        if (!good || !take(words))
            throw SettingsError(std::string(file).append(": an entry is not ").append(shape));
    }
}

double number_in(const std::string& file, const std::string& name, const std::string& value) {
    std::size_t used = 0;
    double d = -1;
    try {
        d = std::stod(value, &used);
    } catch (const std::exception&) {
        used = 0;
    }
    if (used != value.size() || !std::isfinite(d) || d < 0)
        throw SettingsError(file + ": " + name + " must be a number from 0");
    return d;
}

}  // namespace

OperatorSettings load_operator_settings(const std::string& file) {
    OperatorSettings own;
    if (file.empty()) return own;
    const auto number = [&](const std::string& name, const std::string& value) {
        const auto d = number_in(file, name, value);
        if (d <= 0) throw SettingsError(file + ": " + name + " must be a number above 0");
        return d;
    };
    const std::map<std::string, std::function<void(const std::string&, const std::string&)>> known{
        {"log-level",
         [&](const auto& name, const auto& v) {
             if (v != "error" && v != "info" && v != "debug")
                 throw SettingsError(file + ": " + name + " must be error, info or debug");
             own.log_level = v;
         }},
        {"cycle-s", [&](const auto& n, const auto& v) { own.cycle = core::Seconds(number(n, v)); }},
        {"lease-s", [&](const auto& n, const auto& v) { own.lease = core::Seconds(number(n, v)); }},
        {"idle-return-s",
         [&](const auto& n, const auto& v) { own.idle_return = core::Seconds(number(n, v)); }},
        {"least-paid-s",
         [&](const auto& n, const auto& v) { own.least_paid = core::Seconds(number(n, v)); }},
        {"demand-memory-s",
         [&](const auto& n, const auto& v) { own.demand_memory = core::Seconds(number(n, v)); }},
        {"headroom", [&](const auto& n, const auto& v) { own.headroom = number(n, v); }},
        {"threads", [&](const auto& n,
                        const auto& v) { own.threads = static_cast<std::size_t>(number(n, v)); }},
        {"stack-kb", [&](const auto& n,
                         const auto& v) { own.stack_kb = static_cast<std::size_t>(number(n, v)); }},
        {"finals-cached", [&](const auto& n, const auto& v) {
             own.terminal_states_cached = static_cast<std::size_t>(number(n, v));
         }}};

    each_entry(file, "(NAME VALUE)", [&](const std::vector<std::string>& words) {
        if (words.size() != 2) return false;
        const auto it = known.find(words[0]);
        if (it == known.end())
            throw SettingsError(file + ": " + words[0] + " is not a known setting");
        it->second(words[0], words[1]);
        return true;
    });
    return own;
}

fair_share::FloorSettings load_admission(const std::string& file, const Settings& settings) {
    fair_share::FloorSettings floors;
    if (file.empty()) {
        // Guard: on a site of few machines a floor is less than one gang's size, and claims it
        // whole: urgent gangs lost their machines to work that was served anyway
        // (docs/admission.md).
        floors.whole = 0;
        return floors;
    }
    const auto weight = [&](const std::vector<std::string>& words, auto& weights) {
        const auto what = words[0] + " " + words[1];
        const auto value = number_in(file, what, words[2]);
        if (value <= 0) throw SettingsError(file + ": " + what + " must be a number above 0");
        if (!weights.emplace(words[1], value).second)
            throw SettingsError(file + ": " + what + " is given twice");
    };
    each_entry(file, "(NAME VALUE), (class NAME WEIGHT) or (team NAME WEIGHT)",
               [&](const std::vector<std::string>& words) {
                   if (words.size() == 2 && words[0] == "floors") {
                       floors.whole = number_in(file, words[0], words[1]);
                       if (floors.whole > 1)
                           throw SettingsError(file + ": floors must be at most 1");
                   } else if (words.size() == 2 && words[0] == "patience-s") {
                       floors.patience = core::Seconds(number_in(file, words[0], words[1]));
                   } else if (words.size() == 3 && words[0] == "class") {
                       weight(words, floors.class_weights);
                   } else if (words.size() == 3 && words[0] == "team") {
                       const auto& teams = settings.teams;
                       if (std::none_of(teams.begin(), teams.end(),
                                        [&](const auto& team) { return team.name == words[1]; }))
                           throw SettingsError(file + ": there is no team " + words[1]);
                       weight(words, floors.team_weights);
                   } else {
                       return false;
                   }
                   return true;
               });
    return floors;
}

std::size_t most_connections(const Settings& settings, const OperatorSettings& own) {
    // A third of the sockets is left for calls out, and for connections on their way in or out.
    const auto by_sockets = settings.most_sockets * 2 / 3;
    // What a connection's thread was seen to touch of its stack and heap, in a quarter of the
    // memory.
    constexpr double kb_a_connection = 40;
    const auto by_memory =
        static_cast<std::size_t>(settings.memory_mb * 1024 / 4 / kb_a_connection);
    return std::max<std::size_t>(std::min({own.threads, by_sockets, by_memory}), 1);
}

std::size_t most_waiting(const Settings& settings, std::size_t served) {
    // Together half of the sockets; the rest is for calls out and for peers.
    const auto half = settings.most_sockets / 2;
    return std::max<std::size_t>(half > served ? half - served : 0, 16);
}

core::Config core_config(const Settings& settings, const OperatorSettings& own) {
    core::Config config;
    config.name = settings.name;
    config.zones = settings.zones;
    config.teams = settings.teams;
    config.workers = settings.workers;
    config.objectives = settings.objectives;
    config.cycle = own.cycle;
    config.list_lag = settings.list_lag;
    config.idle_return = own.idle_return;
    config.least_paid = own.least_paid;
    config.headroom = own.headroom;
    config.demand_memory = own.demand_memory;
    config.floors = own.floors;
    return config;
}

}  // namespace bendspindle::config
