#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace flamingo {

/** One header field of an HTTP request or response. */
struct HttpField {
    std::string m_name;
    std::string m_value;
};

using HttpFields = std::vector<HttpField>;

/** Returns the value of the first field of that name, ignoring case, or an empty string. Thread-safe. */
std::string_view findField(const HttpFields& fields, std::string_view name);

/** Returns whether the text may stand in a header line. Thread-safe. */
bool isHeaderText(std::string_view text);

/** Returns whether the field applies to a single connection and must not be forwarded. Thread-safe. */
bool isConnectionField(std::string_view name);

} // namespace flamingo
