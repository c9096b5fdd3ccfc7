#include "control/requestid.h"

#include <algorithm>

namespace flamingo {

namespace {

bool isTokenCharacter(char c)
{
    const bool isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    return isLetter || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

} // namespace

std::optional<std::int64_t> requestIdSeconds(const RequestId& id, Reason& reason)
{
    // 11 digits last until the year 5138 and do not overflow when converted to milliseconds.
    constexpr std::size_t maxDigits = 11;
    constexpr std::size_t maxTokenLength = 64;
    const std::string& text = id.value();
    const std::size_t dash = text.find('-');
    const bool hasDigits = dash != std::string::npos && dash > 0 && dash <= maxDigits
        && std::all_of(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(dash),
            [](char c) { return c >= '0' && c <= '9'; });
    const std::size_t tokenLength = hasDigits ? text.size() - dash - 1 : 0;
    const bool hasToken = tokenLength > 0 && tokenLength <= maxTokenLength
        && std::all_of(text.begin() + static_cast<std::ptrdiff_t>(dash) + 1, text.end(), isTokenCharacter);
    if (!hasToken) {
        reason = Reason { ResultCode::InvalidField,
            "the request id must have the form <unix seconds>-<token> with a token of 1 to 64 letters, digits, '.', "
            "'_' or '-'" };
        return std::nullopt;
    }
    return std::stoll(text.substr(0, dash));
}

} // namespace flamingo
