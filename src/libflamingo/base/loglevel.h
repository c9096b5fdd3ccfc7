#pragma once

#include <optional>
#include <string_view>

namespace flamingo {

enum class LogLevel {
    Debug, // individual requests and messages
    Info, // state changes
    Warning, // faults that were handled
    Error, // faults that need an operator
};

/** Returns the level for "debug", "info", "warning" or "error". Thread-safe. */
std::optional<LogLevel> parseLogLevel(std::string_view name);

/** Returns the name of the level in lower case. Thread-safe. */
std::string_view logLevelName(LogLevel level);

} // namespace flamingo
