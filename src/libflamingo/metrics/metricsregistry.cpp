#include "metrics/metricsregistry.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>
#include <mutex>
#include <stdexcept>

namespace flamingo {

namespace {
enum class MetricType {
    Counter,
    Gauge,
    Histogram,
};

const char* typeName(MetricType type)
{
    switch (type) {
    case MetricType::Counter:
        return "counter";
    case MetricType::Gauge:
        return "gauge";
    case MetricType::Histogram:
        return "histogram";
    }
    return "untyped";
}

/** Time series of one metric and set of labels; exactly one of the members is set. */
struct Series {
    std::unique_ptr<Counter> m_counter;
    std::unique_ptr<Gauge> m_gauge;
    std::unique_ptr<Histogram> m_histogram;
    std::function<double()> m_read;
};

/** All series of one metric name, by their labels in text form. */
struct Family {
    MetricType m_type = MetricType::Counter;
    std::string m_help;
    std::vector<double> m_bounds;
    std::map<std::string, Series> m_series;
};

bool isIdentifier(const std::string& name, const char* extraLetter)
{
    const auto letter = [&](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_' || (*extraLetter && c == *extraLetter);
    };
    const auto letterOrDigit = [&](char c) { return letter(c) || (c >= '0' && c <= '9'); };
    return !name.empty() && letter(name.front()) && std::all_of(name.begin(), name.end(), letterOrDigit);
}

std::string escape(const std::string& text, bool quotes)
{
    std::string out;
    for (const char c : text) {
        if (c == '\\')
            out += "\\\\";
        else if (c == '\n')
            out += "\\n";
        else if (c == '"' && quotes)
            out += "\\\"";
        else
            out += c;
    }
    return out;
}

std::string formatLabels(const MetricLabels& labels)
{
    std::string out;
    for (const auto& [name, value] : labels) {
        if (!isIdentifier(name, "") || name == "le" || name.rfind("__", 0) == 0)
            throw std::invalid_argument("invalid label name: " + name);
        out.append(out.empty() ? "" : ",").append(name).append("=\"").append(escape(value, true)).append("\"");
    }
    return out;
}

std::string formatNumber(double value)
{
    if (std::isnan(value))
        return "NaN";
    if (std::isinf(value))
        return value > 0 ? "+Inf" : "-Inf";
    char buffer[32];
    const auto end = std::to_chars(buffer, buffer + sizeof(buffer), value).ptr;
    return { buffer, end };
}

void writeSample(std::string& out, const std::string& name, const std::string& labels, const std::string& value)
{
    out += name;
    if (!labels.empty())
        out += "{" + labels + "}";
    out += " " + value + "\n";
}

void writeHistogram(std::string& out, const std::string& name, const std::string& labels, const Histogram& histogram)
{
    const std::string prefix = labels.empty() ? "" : labels + ",";
    const auto counts = histogram.bucketCounts();
    const auto& bounds = histogram.bounds();
    // The count is summed from the buckets, so that it agrees with them while other threads record.
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        total += counts[i];
        const std::string bound = i < bounds.size() ? formatNumber(bounds[i]) : "+Inf";
        writeSample(out, name + "_bucket", prefix + "le=\"" + bound + "\"", std::to_string(total));
    }
    writeSample(out, name + "_sum", labels, formatNumber(histogram.sum()));
    writeSample(out, name + "_count", labels, std::to_string(total));
}

void writeSeries(std::string& out, const std::string& name, const std::string& labels, const Series& series)
{
    if (series.m_histogram)
        writeHistogram(out, name, labels, *series.m_histogram);
    else if (series.m_counter)
        writeSample(out, name, labels, std::to_string(series.m_counter->value()));
    else
        writeSample(out, name, labels, formatNumber(series.m_read ? series.m_read() : series.m_gauge->value()));
}
} // namespace

class MetricsRegistry::Impl {
public:
    Series& series(MetricType type, const std::string& name, const std::string& help, const MetricLabels& labels)
    {
        if (!isIdentifier(name, ":"))
            throw std::invalid_argument("invalid metric name: " + name);
        if (type == MetricType::Counter && (name.size() < 7 || name.compare(name.size() - 6, 6, "_total") != 0))
            throw std::invalid_argument("name of a counter must end in _total: " + name);
        const std::string key = formatLabels(labels);
        const auto [family, added] = m_families.try_emplace(name);
        if (added) {
            family->second.m_type = type;
            family->second.m_help = help;
        } else if (family->second.m_type != type) {
            throw std::invalid_argument("metric is already registered with another type: " + name);
        }
        return family->second.m_series[key];
    }

    mutable std::mutex m_mutex;
    std::map<std::string, Family> m_families;
};

MetricsRegistry::MetricsRegistry()
    : m_impl(std::make_unique<Impl>())
{
}

MetricsRegistry::~MetricsRegistry() = default;

Counter& MetricsRegistry::counter(const std::string& name, const std::string& help, const MetricLabels& labels)
{
    const std::lock_guard lock(m_impl->m_mutex);
    Series& series = m_impl->series(MetricType::Counter, name, help, labels);
    if (!series.m_counter)
        series.m_counter = std::make_unique<Counter>();
    return *series.m_counter;
}

Gauge& MetricsRegistry::gauge(const std::string& name, const std::string& help, const MetricLabels& labels)
{
    const std::lock_guard lock(m_impl->m_mutex);
    Series& series = m_impl->series(MetricType::Gauge, name, help, labels);
    if (!series.m_gauge)
        series.m_gauge = std::make_unique<Gauge>();
    return *series.m_gauge;
}

Histogram& MetricsRegistry::histogram(
    const std::string& name, const std::string& help, const std::vector<double>& bounds, const MetricLabels& labels)
{
    const Histogram checked(bounds); // checks the bounds, so that it throws before anything is registered
    const std::lock_guard lock(m_impl->m_mutex);
    Series& series = m_impl->series(MetricType::Histogram, name, help, labels);
    Family& family = m_impl->m_families.at(name);
    if (family.m_bounds.empty())
        family.m_bounds = bounds;
    if (!series.m_histogram)
        series.m_histogram = std::make_unique<Histogram>(family.m_bounds);
    return *series.m_histogram;
}

void MetricsRegistry::observedGauge(
    const std::string& name, const std::string& help, std::function<double()> read, const MetricLabels& labels)
{
    const std::lock_guard lock(m_impl->m_mutex);
    if (!read)
        throw std::invalid_argument("metric without a function to read it: " + name);
    m_impl->series(MetricType::Gauge, name, help, labels).m_read = std::move(read);
}

void MetricsRegistry::observedCounter(
    const std::string& name, const std::string& help, std::function<double()> read, const MetricLabels& labels)
{
    const std::lock_guard lock(m_impl->m_mutex);
    if (!read)
        throw std::invalid_argument("metric without a function to read it: " + name);
    m_impl->series(MetricType::Counter, name, help, labels).m_read = std::move(read);
}

std::string MetricsRegistry::exposition() const
{
    const std::lock_guard lock(m_impl->m_mutex);
    std::string out;
    for (const auto& [name, family] : m_impl->m_families) {
        out += "# HELP " + name + " " + escape(family.m_help, false) + "\n";
        out += "# TYPE " + name + " " + typeName(family.m_type) + "\n";
        for (const auto& [labels, series] : family.m_series)
            writeSeries(out, name, labels, series);
    }
    return out;
}

} // namespace flamingo
