#pragma once

#include "base/logfield.h"
#include "base/loglevel.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace flamingo {

struct LogSettings;

/**
 * Starts logging; before the first call, log lines are dropped. A further call replaces the settings.
 *
 * A dedicated thread writes the lines, so that a slow disk does not delay queries. While 65,536 lines are
 * queued, new lines are dropped and counted. Returns false and sets the reason if the file cannot be opened.
 * Must not be called concurrently with itself or stopLogging().
 */
bool startLogging(const LogSettings& settings, Reason& reason);

/** Writes the queued lines and stops the thread. Has no effect if logging has not started. */
void stopLogging();

/** Returns whether lines of the level are written. Thread-safe. */
bool isLogged(LogLevel level);

/**
 * Writes one line: time, level, event and further fields as key=value. Thread-safe.
 *
 * The first field is the event. Prefer the macro FLAMINGO_LOG, which builds the fields only if the line is written.
 */
void writeLog(LogLevel level, std::initializer_list<LogField> fields);

/** Returns the number of lines dropped since the start of the process. Thread-safe. */
unsigned long long droppedLogLines();

namespace detail {
/** Returns the text of one line, without the line break. */
std::string formatLogLine(std::string_view time, LogLevel level, std::initializer_list<LogField> fields);
} // namespace detail

} // namespace flamingo

/**
 * Logs an event with fields: FLAMINGO_LOG(Info, "lease granted", { "revision", revision }, LogField(id)).
 */
#define FLAMINGO_LOG(level, ...)                                                                                       \
    do {                                                                                                               \
        if (::flamingo::isLogged(::flamingo::LogLevel::level))                                                         \
            ::flamingo::writeLog(::flamingo::LogLevel::level, { __VA_ARGS__ });                                        \
    } while (false)
