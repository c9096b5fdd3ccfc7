#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace flamingo {

enum class LogLevel {
    Trace,
    Debug,
    Info,
    Warning,
    Error,
};

/** One key and value of a log line. */
struct LogField {
    std::string_view m_key;
    std::string m_value;
};

/**
 * Sets the least level that is written, and the file; an empty name means standard error.
 *
 * Returns false and the reason's text if the file cannot be opened. Precondition: called before other
 * threads log.
 */
bool setUpLog(LogLevel level, const std::string& file, std::string& error);

/** Returns whether lines of the level are written. Thread-safe. */
bool logEnabled(LogLevel level);

/**
 * Writes one line: time, level, event and the fields as key=value, with values quoted where needed.
 *
 * Thread-safe.
 */
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace flamingo
