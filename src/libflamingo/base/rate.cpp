#include "base/rate.h"

#include <charconv>
#include <cmath>

namespace flamingo {

std::optional<RequestsPerSecond> parseRate(std::string_view text)
{
    double value = 0.0;
    const char* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc() || result.ptr != end || !std::isfinite(value) || value < 0.0)
        return std::nullopt;
    return RequestsPerSecond(value);
}

} // namespace flamingo
