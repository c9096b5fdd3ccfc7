#include "metrics/histogram.h"

#include "metrics/gauge.h"

#include <boost/histogram.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <stdexcept>

namespace flamingo {

namespace {
namespace bh = boost::histogram;

// Returns the edges of Boost's bins for the bounds of Prometheus' buckets. Bins exclude their upper edge, whereas
// buckets include it: a coverage of exactly 1 belongs to the bucket with the bound 1. So each edge is the next larger
// number.
std::vector<double> binEdges(const std::vector<double>& bounds)
{
    const auto finite = [](double bound) { return std::isfinite(bound); };
    if (bounds.size() < 2 || !std::all_of(bounds.begin(), bounds.end(), finite)
        || std::adjacent_find(bounds.begin(), bounds.end(), std::greater_equal<>()) != bounds.end())
        throw std::invalid_argument("histogram bounds must be at least two ascending finite numbers");
    std::vector<double> result;
    result.reserve(bounds.size());
    for (const double bound : bounds)
        result.push_back(std::nextafter(bound, std::numeric_limits<double>::infinity()));
    return result;
}
} // namespace

class Histogram::Impl {
public:
    explicit Impl(std::vector<double> bounds)
        : m_bounds(std::move(bounds))
        , m_histogram(bh::make_histogram_with(bh::dense_storage<bh::accumulators::thread_safe<std::uint64_t>>(),
              bh::axis::variable<>(binEdges(m_bounds))))
    {
    }

    using BinCounts = decltype(bh::make_histogram_with(
        bh::dense_storage<bh::accumulators::thread_safe<std::uint64_t>>(), bh::axis::variable<>({ 0.0, 1.0 })));

    const std::vector<double> m_bounds;
    BinCounts m_histogram;
    Gauge m_sum;
};

Histogram::Histogram(std::vector<double> bounds)
    : m_impl(std::make_unique<Impl>(std::move(bounds)))
{
}

Histogram::~Histogram() = default;

void Histogram::record(double value)
{
    if (std::isnan(value))
        return;
    m_impl->m_histogram(value);
    m_impl->m_sum.add(value);
}

const std::vector<double>& Histogram::bounds() const { return m_impl->m_bounds; }

std::vector<std::uint64_t> Histogram::bucketCounts() const
{
    // Bin -1, the underflow bin, counts the values at or below the first bound.
    std::vector<std::uint64_t> counts;
    for (int bin = -1; bin < static_cast<int>(m_impl->m_bounds.size()); ++bin)
        counts.push_back(m_impl->m_histogram.at(bin));
    return counts;
}

double Histogram::sum() const { return m_impl->m_sum.value(); }

} // namespace flamingo
