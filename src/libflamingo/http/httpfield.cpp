#include "http/httpfield.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>

namespace flamingo {

namespace {

bool equalNames(std::string_view a, std::string_view b)
{
    return boost::beast::iequals({ a.data(), a.size() }, { b.data(), b.size() });
}

} // namespace

std::string_view findField(const HttpFields& fields, std::string_view name)
{
    const auto found = std::find_if(
        fields.begin(), fields.end(), [name](const HttpField& field) { return equalNames(field.m_name, name); });
    return found == fields.end() ? std::string_view() : std::string_view(found->m_value);
}

bool isHeaderText(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c >= 0x20 && c != 0x7f; });
}

bool isConnectionField(std::string_view name)
{
    constexpr std::array<std::string_view, 9> names { "Connection", "Keep-Alive", "Proxy-Connection",
        "Transfer-Encoding", "TE", "Trailer", "Upgrade", "Content-Length", "Expect" };
    return std::any_of(names.begin(), names.end(), [name](std::string_view other) { return equalNames(name, other); });
}

} // namespace flamingo
