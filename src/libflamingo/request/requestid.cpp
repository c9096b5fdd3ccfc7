#include "request/requestid.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace flamingo {

namespace {

constexpr std::size_t longestToken = 64;

bool isTokenCharacter(char c)
{
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    return letter || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

} // namespace

std::optional<std::int64_t> requestIdSeconds(const RequestId& id, Reason& reason)
{
    const std::string_view text = id.value();
    const std::size_t hyphen = text.find('-');
    const std::string_view digits = text.substr(0, hyphen);
    const std::string_view token = hyphen == std::string_view::npos ? std::string_view() : text.substr(hyphen + 1);
    std::int64_t seconds = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    const bool isNumber = error == std::errc() && end == digits.data() + digits.size() && !digits.empty();
    const bool isToken
        = !token.empty() && token.size() <= longestToken && std::all_of(token.begin(), token.end(), isTokenCharacter);
    // The bound keeps the conversion to milliseconds in range.
    constexpr std::int64_t greatest = 100'000'000'000;
    if (!isNumber || !isToken || seconds < 0 || seconds > greatest) {
        reason = {
            ResultCode::InvalidField,
            "the request id must be \"<unix seconds>-<token>\" with a token of 1 to 64 letters, digits, '.', '_' or '-'"
        };
        return std::nullopt;
    }
    return seconds;
}

bool isRequestIdCurrent(const RequestId& id, LogTime now, Reason& reason)
{
    const auto seconds = requestIdSeconds(id, reason);
    if (!seconds)
        return false;
    const auto age = Milliseconds(now.value()) - std::chrono::seconds(*seconds);
    if (age > requestIdWindow || age < -requestIdAhead) {
        reason = { ResultCode::RequestIdExpired,
            "not run: the time in the request id is more than 24 h old or more than 5 min ahead" };
        return false;
    }
    return true;
}

} // namespace flamingo
