#include "base/nearestname.h"

#include <algorithm>
#include <cctype>
#include <numeric>

namespace flamingo {

namespace {

// A longer text is unlikely to be a mistyped name, and the time to compare grows with the product of both lengths.
constexpr std::size_t maxComparedBytes = 128;

char lower(char c) { return static_cast<char>(std::tolower(static_cast<unsigned char>(c))); }

} // namespace

std::size_t editDistance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t(0));
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t substitution = diagonal + (lower(a[i - 1]) == lower(b[j - 1]) ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({ row[j] + 1, row[j - 1] + 1, substitution });
        }
    }
    return row[b.size()];
}

std::string nearestName(std::string_view name, const std::vector<std::string>& candidates)
{
    if (name.empty() || name.size() > maxComparedBytes)
        return {};
    std::string nearest;
    std::size_t bestDistance = std::max<std::size_t>(1, name.size() / 3) + 1;
    for (const std::string& candidate : candidates) {
        if (candidate.size() > maxComparedBytes)
            continue;
        const std::size_t distance = editDistance(name, candidate);
        if (distance < bestDistance) {
            bestDistance = distance;
            nearest = candidate;
        }
    }
    return nearest;
}

std::string suggestion(std::string_view name, const std::vector<std::string>& candidates)
{
    const std::string nearest = nearestName(name, candidates);
    return nearest.empty() ? nearest : "; did you mean '" + nearest + "'?";
}

} // namespace flamingo
