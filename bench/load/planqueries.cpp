#include "load/measurement.h"

#include <random>

namespace flamingo::bench {

std::vector<PlannedQuery> planQueries(
    double rate, Microseconds duration, std::uint64_t seed, std::uint32_t distinctTexts)
{
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(rate);
    std::uniform_int_distribution<std::uint32_t> text(1, distinctTexts);
    std::vector<PlannedQuery> plan;
    double seconds = gap(random);
    while (seconds * 1e6 < double(duration.count())) {
        PlannedQuery query;
        query.m_at = Microseconds(static_cast<Microseconds::rep>(seconds * 1e6));
        query.m_text = "query " + std::to_string(text(random));
        query.m_replicaSeed = random();
        plan.push_back(std::move(query));
        seconds += gap(random);
    }
    return plan;
}

} // namespace flamingo::bench
