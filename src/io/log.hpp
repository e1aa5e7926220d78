/// Structured log lines of the form `event key=value ...`, with the event and the keys in snake
/// case.
///
/// Levels: `error` for conditions that require an operator; `info` for changes of leadership, of
/// the number of machines and of the process state; `debug` for everything else. Arguments are
/// formatted only if the level is enabled.
#pragma once

#include <spdlog/spdlog.h>

#include <string>
#include <string_view>

namespace bendspindle::io::log {

namespace detail {

/// Returns the value in quotes if it is empty or contains whitespace, quotes or equal signs.
inline std::string quote_if_needed(std::string value) {
    if (!value.empty() && value.find_first_of(" \t\n\"=") == std::string::npos) return value;
    std::string quoted = "\"";
    for (const char character : value) {
        if (character == '"' || character == '\\') quoted += '\\';
        if (character == '\n')
            quoted += "\\n";
        else
            quoted += character;
    }
    return quoted + "\"";
}

inline void append(std::string&) {}

template <typename Value, typename... Rest>
void append(std::string& line, std::string_view key, const Value& value, const Rest&... rest) {
    line += ' ';
    line += key;
    line += '=';
    line += quote_if_needed(fmt::format("{}", value));
    append(line, rest...);
}

template <typename... Fields>
void write(spdlog::level::level_enum level, std::string_view event, const Fields&... fields) {
    static_assert(sizeof...(fields) % 2 == 0, "keys and values come in pairs");
    if (!spdlog::should_log(level)) return;
    std::string line(event);
    append(line, fields...);
    spdlog::log(level, "{}", line);
}

}  // namespace detail

/// Each function takes the event, followed by alternating keys and values:
/// `info("leader_elected", "term", term)`.
template <typename... Fields>
void error(std::string_view event, const Fields&... fields) {
    detail::write(spdlog::level::err, event, fields...);
}
template <typename... Fields>
void info(std::string_view event, const Fields&... fields) {
    detail::write(spdlog::level::info, event, fields...);
}
template <typename... Fields>
void debug(std::string_view event, const Fields&... fields) {
    detail::write(spdlog::level::debug, event, fields...);
}

}  // namespace bendspindle::io::log
