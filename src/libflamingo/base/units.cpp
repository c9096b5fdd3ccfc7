#include "base/units.h"

#include <array>
#include <charconv>
#include <cmath>
#include <utility>

namespace flamingo {

namespace {

struct Unit {
    std::string_view m_name;
    std::uint64_t m_factor;
};

// In descending order, since printWithUnit() takes the first unit that divides the value.
constexpr std::array<Unit, 4> durationUnits { Unit { "h", 3600000 }, { "min", 60000 }, { "s", 1000 }, { "ms", 1 } };
constexpr std::array<Unit, 4> sizeUnits { Unit { "GiB", 1ULL << 30U }, { "MiB", 1ULL << 20U }, { "KiB", 1ULL << 10U },
    { "B", 1 } };

// Milliseconds or bytes. Less than 2^53, so that a double represents each integer up to it exactly.
constexpr double maxValue = 1e15;

std::optional<std::uint64_t> parseQuantity(
    std::string_view number, std::string_view unit, const std::array<Unit, 4>& units)
{
    double value = 0;
    const char* end = number.data() + number.size();
    const auto result = std::from_chars(number.data(), end, value, std::chars_format::fixed);
    if (result.ec != std::errc() || result.ptr != end || !std::isfinite(value) || std::signbit(value))
        return std::nullopt;
    for (const Unit& candidate : units) {
        if (candidate.m_name != unit)
            continue;
        const double product = value * static_cast<double>(candidate.m_factor);
        if (product > maxValue)
            return std::nullopt;
        return static_cast<std::uint64_t>(std::llround(product));
    }
    return std::nullopt;
}

/** Splits a text such as "64 MiB" or "64MiB" into number and unit. */
std::pair<std::string_view, std::string_view> splitUnit(std::string_view text)
{
    const std::size_t end = std::min(text.find_first_not_of("0123456789."), text.size());
    std::string_view unit = text.substr(end);
    while (!unit.empty() && unit.front() == ' ')
        unit.remove_prefix(1);
    return { text.substr(0, end), unit };
}

std::string printWithUnit(std::uint64_t value, const std::array<Unit, 4>& units)
{
    for (const Unit& unit : units) {
        if (value >= unit.m_factor && value % unit.m_factor == 0)
            return std::to_string(value / unit.m_factor) + " " + std::string(unit.m_name);
    }
    return std::to_string(value) + " " + std::string(units.back().m_name);
}

} // namespace

std::optional<Milliseconds> makeDuration(std::string_view number, std::string_view unit)
{
    const auto value = parseQuantity(number, unit, durationUnits);
    if (!value)
        return std::nullopt;
    return Milliseconds(static_cast<Milliseconds::rep>(*value));
}

std::optional<Milliseconds> parseDuration(std::string_view text)
{
    const auto [number, unit] = splitUnit(text);
    return makeDuration(number, unit);
}

std::optional<std::uint64_t> parseSize(std::string_view text)
{
    const auto [number, unit] = splitUnit(text);
    return parseQuantity(number, unit, sizeUnits);
}

std::string printDuration(Milliseconds duration)
{
    return printWithUnit(static_cast<std::uint64_t>(duration.count()), durationUnits);
}

std::string printSize(std::uint64_t bytes) { return printWithUnit(bytes, sizeUnits); }

} // namespace flamingo
