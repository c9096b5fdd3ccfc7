#pragma once

#include "base/logfield.h"
#include "base/loglevel.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace flamingo {

struct LogSettings;

/**
 * Starts to write log lines; until then they are dropped. Called again, it replaces the settings.
 *
 * Lines are written by a thread of their own, so that a slow disk does not delay queries. Beyond
 * 65,536 waiting lines new ones are dropped and counted. Returns false and fills the reason if the
 * file cannot be opened. Not thread-safe against itself and stopLogging().
 */
bool startLogging(const LogSettings& settings, Reason& reason);

/** Writes the lines that are waiting and ends the thread. Without effect if logging has not started. */
void stopLogging();

/** Returns whether lines of the level are written. Thread-safe. */
bool isLogged(LogLevel level);

/**
 * Writes one line: time, level, event and further fields as key=value. Thread-safe.
 *
 * The first field is the event. Prefer the macro FLAMINGO_LOG, which does not build the fields of lines that are not
 * written.
 */
void writeLog(LogLevel level, std::initializer_list<LogField> fields);

/** Returns the number of lines dropped since the start of the process. Thread-safe. */
unsigned long long droppedLogLines();

namespace detail {
/** Returns one line without its end. */
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
