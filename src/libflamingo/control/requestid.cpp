#include "control/requestid.h"

#include <algorithm>

namespace flamingo {

std::optional<std::int64_t> requestIdSeconds(const RequestId& id, Reason& reason)
{
    // 12 digits reach the year 33658 and cannot overflow when converted to milliseconds.
    constexpr std::size_t maximumDigits = 12;
    constexpr std::size_t maximumTokenLength = 128;
    const std::string& text = id.value();
    const std::size_t dash = text.find('-');
    const bool hasDigits = dash != std::string::npos && dash > 0 && dash <= maximumDigits
        && std::all_of(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(dash),
            [](char c) { return c >= '0' && c <= '9'; });
    const std::size_t tokenLength = hasDigits ? text.size() - dash - 1 : 0;
    const bool hasToken = tokenLength > 0 && tokenLength <= maximumTokenLength
        && std::all_of(text.begin() + static_cast<std::ptrdiff_t>(dash) + 1, text.end(),
            [](char c) { return c > ' ' && c < '\x7f'; });
    if (!hasToken) {
        reason = Reason { ResultCode::InvalidField,
            "the request id must have the form <unix seconds>-<token> with a token of 1 to 128 printable characters" };
        return std::nullopt;
    }
    return std::stoll(text.substr(0, dash));
}

} // namespace flamingo
