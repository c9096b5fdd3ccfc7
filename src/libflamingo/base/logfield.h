#pragma once

#include "base/ids.h"
#include "base/reason.h"
#include "base/strongvalue.h"

#include <chrono>
#include <string>
#include <string_view>
#include <type_traits>

namespace flamingo {

/** Key and value of one field of a log line. Keys are lower-case words joined by underscores. */
struct LogField {
    /** Creates the first field of a line, the event. Its text is fixed, so that log lines can be searched by it. */
    LogField(const char* event)
        : LogField("event", std::string_view(event))
    {
    }
    LogField(std::string_view key, std::string_view value)
        : m_key(key)
        , m_value(value)
    {
    }
    LogField(std::string_view key, const std::string& value)
        : LogField(key, std::string_view(value))
    {
    }
    LogField(std::string_view key, const char* value)
        : LogField(key, std::string_view(value))
    {
    }
    LogField(std::string_view key, bool value)
        : LogField(key, value ? "true" : "false")
    {
    }
    template <typename Number, std::enable_if_t<std::is_arithmetic_v<Number> && !std::is_same_v<Number, bool>, int> = 0>
    LogField(std::string_view key, Number value)
        : LogField(key, std::to_string(value))
    {
    }
    /** Creates a field that holds the duration in milliseconds; the key must end in "_ms". */
    template <typename Rep, typename Period>
    LogField(std::string_view key, std::chrono::duration<Rep, Period> value)
        : LogField(key, std::chrono::duration_cast<std::chrono::milliseconds>(value).count())
    {
    }
    template <typename Tag, typename T>
    LogField(std::string_view key, const StrongValue<Tag, T>& value)
        : LogField(key, value.value())
    {
    }
    /** Creates the field for the request that the line is about, with the same key in all lines. */
    explicit LogField(const RequestId& request)
        : LogField("request_id", request.value())
    {
    }
    explicit LogField(const Reason& reason)
        : LogField("reason", std::to_string(static_cast<int>(reason.m_code)) + " " + reason.m_text)
    {
    }

    std::string_view m_key;
    std::string m_value;
};

} // namespace flamingo
