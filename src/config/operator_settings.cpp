#include "config/operator_settings.hpp"

#include <functional>
#include <map>

#include "config/s_expression.hpp"
#include "config/settings_error.hpp"

namespace bendspindle::config {

OperatorSettings load_operator_settings(const std::string& file) {
    OperatorSettings operator_settings;
    if (file.empty()) return operator_settings;
    const auto number_into = [&file](double& field) {
        return [&file, &field](const std::string& name, const std::string& value) {
            field = positive(file, name, value);
        };
    };
    const auto seconds_into = [&file](core::Seconds& field) {
        return [&file, &field](const std::string& name, const std::string& value) {
            field = core::Seconds(positive(file, name, value));
        };
    };
    const auto size_into = [&file](std::size_t& field) {
        return [&file, &field](const std::string& name, const std::string& value) {
            field = static_cast<std::size_t>(positive(file, name, value));
        };
    };
    const auto read_log_level = [&](const std::string& name, const std::string& value) {
        if (value != "error" && value != "info" && value != "debug")
            throw SettingsError(file, name, "must be error, info or debug");
        operator_settings.log_level = value;
    };
    const std::map<std::string, std::function<void(const std::string&, const std::string&)>> known{
        {"log-level", read_log_level},
        {"cycle-s", seconds_into(operator_settings.cycle)},
        {"lease-s", seconds_into(operator_settings.leader_lease)},
        {"idle-return-s", seconds_into(operator_settings.idle_return)},
        {"least-paid-s", seconds_into(operator_settings.least_paid)},
        {"demand-memory-s", seconds_into(operator_settings.demand_memory)},
        {"headroom", number_into(operator_settings.headroom)},
        {"threads", size_into(operator_settings.max_connection_threads)},
        {"stack-kb", size_into(operator_settings.stack_kb)},
        {"finals-cached", size_into(operator_settings.max_cached_terminal_states)}};

    for_each_entry(file, "(NAME VALUE)", [&](const Entry& entry) {
        if (entry.size() != 2) return false;
        const auto& name = entry[0];
        const auto it = known.find(name);
        if (it == known.end()) throw SettingsError(file, name, "is not a known setting");
        it->second(name, entry[1]);
        return true;
    });
    return operator_settings;
}

}  // namespace bendspindle::config
