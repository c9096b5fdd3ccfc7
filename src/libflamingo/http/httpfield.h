#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace flamingo {

/** One header line of a request or an answer. */
struct HttpField {
    std::string m_name;
    std::string m_value;
};

using HttpFields = std::vector<HttpField>;

/** Returns the value of the first field of that name, whatever its case, or an empty text. Thread-safe. */
std::string_view findField(const HttpFields& fields, std::string_view name);

/** Returns whether the field concerns one connection alone and is not passed on. Thread-safe. */
bool isConnectionField(std::string_view name);

} // namespace flamingo
