#pragma once

#include <optional>
#include <string_view>

namespace flamingo {

enum class LogLevel {
    Debug, // single requests and messages
    Info, // changes of state
    Warning, // handled faults
    Error, // faults that need a person
};

/** Returns the level for "debug", "info", "warning" or "error". Thread-safe. */
std::optional<LogLevel> parseLogLevel(std::string_view name);

/** Returns the name of the level in lower case. Thread-safe. */
std::string_view logLevelName(LogLevel level);

} // namespace flamingo
