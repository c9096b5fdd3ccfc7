#include "base/log.h"

#include "base/logsettings.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/exception_handler.hpp>
#include <boost/make_shared.hpp>

#include <atomic>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <ctime>
#include <fstream>
#include <iostream>

namespace flamingo {

namespace {
namespace logging = boost::log;

constexpr std::size_t maxQueuedLines = 65536;
constexpr int levelOff = static_cast<int>(LogLevel::Error) + 1;

std::atomic<int> minLevel { levelOff };
std::atomic<unsigned long long> droppedLines { 0 };

/** Overflow strategy of the queue that drops the line and counts it. */
class CountingDropOnOverflow {
protected:
    template <typename Lock> static bool on_overflow(const logging::record_view&, Lock&) // NOLINT: Boost's name
    {
        droppedLines.fetch_add(1, std::memory_order_relaxed);
        return false;
    }
    static void on_queue_space_available() { } // NOLINT: Boost's name
    static void interrupt() { }
};

using Sink = logging::sinks::asynchronous_sink<logging::sinks::text_ostream_backend,
    logging::sinks::bounded_fifo_queue<maxQueuedLines, CountingDropOnOverflow>>;

boost::shared_ptr<Sink>& currentSink()
{
    static boost::shared_ptr<Sink> sink;
    return sink;
}

std::string currentTime()
{
    timespec now {};
    clock_gettime(CLOCK_REALTIME, &now);
    tm utc {};
    gmtime_r(&now.tv_sec, &utc);
    char text[40];
    const std::size_t length = std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &utc);
    std::snprintf(text + length, sizeof(text) - length, ".%03ldZ", now.tv_nsec / 1000000);
    return text;
}

bool needsQuotes(std::string_view value)
{
    for (const unsigned char c : value)
        if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == '\x7f')
            return true;
    return value.empty();
}

void appendValue(std::string& line, std::string_view value)
{
    if (!needsQuotes(value)) {
        line.append(value);
        return;
    }
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            line += '\\';
            line += c;
        } else if (c == '\n') {
            line += "\\n";
        } else if (static_cast<unsigned char>(c) < ' ' || c == '\x7f') {
            char escape[8];
            std::snprintf(escape, sizeof(escape), "\\x%02x", static_cast<unsigned char>(c));
            line += escape;
        } else {
            line += c;
        }
    }
    line += '"';
}
} // namespace

namespace detail {
std::string formatLogLine(std::string_view time, LogLevel level, std::initializer_list<LogField> fields)
{
    std::string line = "time=";
    line.append(time).append(" level=").append(logLevelName(level));
    for (const LogField& field : fields) {
        line.append(" ").append(field.m_key).append("=");
        appendValue(line, field.m_value);
    }
    return line;
}
} // namespace detail

std::optional<LogLevel> parseLogLevel(std::string_view name)
{
    for (const LogLevel level : { LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error })
        if (logLevelName(level) == name)
            return level;
    return std::nullopt;
}

std::string_view logLevelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "unknown";
}

bool startLogging(const LogSettings& settings, Reason& reason)
{
    boost::shared_ptr<std::ostream> stream;
    if (settings.m_file.empty()) {
        stream.reset(&std::cout, boost::null_deleter());
    } else {
        // In append mode, writing continues correctly after a log rotation tool has truncated the file.
        stream = boost::make_shared<std::ofstream>(settings.m_file, std::ios::app);
        if (!stream->good()) {
            reason = Reason { ResultCode::InvalidSettings,
                "cannot open log file " + settings.m_file + ": " + std::strerror(errno) };
            return false;
        }
    }
    stopLogging();
    const auto backend = boost::make_shared<logging::sinks::text_ostream_backend>();
    backend->add_stream(stream);
    backend->auto_flush(true);
    const auto sink = boost::make_shared<Sink>(backend);
    sink->set_formatter(logging::expressions::stream << logging::expressions::smessage);
    // A failed write, such as on a full disk, must not terminate the daemon.
    sink->set_exception_handler(logging::make_exception_suppressor());
    logging::core::get()->add_sink(sink);
    currentSink() = sink;
    minLevel = static_cast<int>(settings.m_level);
    return true;
}

void stopLogging()
{
    minLevel = levelOff;
    boost::shared_ptr<Sink> sink;
    sink.swap(currentSink());
    if (!sink)
        return;
    logging::core::get()->remove_sink(sink);
    sink->stop();
    sink->flush();
}

bool isLogged(LogLevel level) { return static_cast<int>(level) >= minLevel.load(std::memory_order_relaxed); }

void writeLog(LogLevel level, std::initializer_list<LogField> fields)
{
    if (!isLogged(level))
        return;
    try {
        thread_local logging::sources::logger logger;
        const std::string line = detail::formatLogLine(currentTime(), level, fields);
        if (logging::record record = logger.open_record()) {
            logging::record_ostream out(record);
            out << line;
            out.flush();
            logger.push_record(std::move(record));
        }
    } catch (const std::exception&) {
        droppedLines.fetch_add(1, std::memory_order_relaxed);
    }
}

unsigned long long droppedLogLines() { return droppedLines.load(std::memory_order_relaxed); }

} // namespace flamingo
