#include "base/log.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/make_shared.hpp>

#include <atomic>
#include <fstream>
#include <iostream>

namespace flamingo {

namespace {

namespace sinks = boost::log::sinks;
namespace expressions = boost::log::expressions;
using Backend = sinks::text_ostream_backend;

std::atomic<LogLevel> leastLevel { LogLevel::Info };

const char* levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Trace:
        return "trace";
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "";
}

bool needsQuotes(std::string_view value)
{
    if (value.empty())
        return true;
    for (const char c : value) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte <= 0x20 || byte == 0x7f || c == '"' || c == '=' || c == '\\')
            return true;
    }
    return false;
}

// Keeps one event on one line whatever a caller put into a value.
void appendValue(std::string& line, std::string_view value)
{
    if (!needsQuotes(value)) {
        line += value;
        return;
    }
    constexpr char digits[] = "0123456789abcdef";
    line += '"';
    for (const char c : value) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            line += '\\';
            line += c;
        } else if (c == '\n') {
            line += "\\n";
        } else if (byte < 0x20 || byte == 0x7f) {
            line += "\\x";
            line += digits[byte >> 4U];
            line += digits[byte & 15U];
        } else {
            line += c;
        }
    }
    line += '"';
}

} // namespace

bool setUpLog(LogLevel level, const std::string& file, std::string& error)
{
    auto backend = boost::make_shared<Backend>();
    if (file.empty()) {
        backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
    } else {
        auto stream = boost::make_shared<std::ofstream>(file, std::ios::app);
        if (!*stream) {
            error = "cannot open log file " + file;
            return false;
        }
        backend->add_stream(stream);
    }
    backend->auto_flush(true);
    auto sink = boost::make_shared<sinks::synchronous_sink<Backend>>(backend);
    sink->set_formatter(expressions::stream
        << "time=" << expressions::format_date_time<boost::posix_time::ptime>("TimeStamp", "%Y-%m-%dT%H:%M:%S.%fZ")
        << ' ' << expressions::smessage);
    auto core = boost::log::core::get();
    core->remove_all_sinks();
    core->add_global_attribute("TimeStamp", boost::log::attributes::utc_clock());
    core->add_sink(sink);
    leastLevel = level;
    return true;
}

bool logEnabled(LogLevel level) { return level >= leastLevel.load(std::memory_order_relaxed); }

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (!logEnabled(level))
        return;
    std::string line = "level=";
    line += levelName(level);
    line += " event=";
    appendValue(line, event);
    for (const LogField& field : fields) {
        line += ' ';
        line += field.m_key;
        line += '=';
        appendValue(line, field.m_value);
    }
    thread_local boost::log::sources::logger logger;
    BOOST_LOG(logger) << line;
}

} // namespace flamingo
