#include "load/report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <map>

namespace flamingo::bench {

namespace {

constexpr double completeCoverage = 0.9999; // lowest coverage that counts as complete
constexpr double microsecondsPerMs = 1000.0;

std::vector<double> sortedMs(const Measurements& run, Microseconds warmUp)
{
    std::vector<double> values;
    for (const Measurement& measurement : run) {
        if (measurement.m_at >= warmUp && measurement.m_code == "Ok")
            values.push_back(double(measurement.m_latency.count()) / microsecondsPerMs);
    }
    std::sort(values.begin(), values.end());
    return values;
}

double quantile(const std::vector<double>& sorted, double fraction)
{
    if (sorted.empty())
        return 0.0;
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * double(sorted.size())));
    return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

} // namespace

void printReport(const NamedRun& run, Microseconds warmUp, Microseconds duration)
{
    const auto latencies = sortedMs(run.second, warmUp);
    std::map<std::string, std::size_t> codes;
    double coverage = 0;
    double lowestCoverage = 1;
    std::size_t complete = 0;
    std::uint64_t requests = 0;
    std::uint64_t minimumRequests = 0;
    std::size_t count = 0;
    for (const Measurement& measurement : run.second) {
        if (measurement.m_at < warmUp)
            continue;
        ++count;
        ++codes[measurement.m_code];
        if (measurement.m_code != "Ok")
            continue;
        coverage += measurement.m_coverage;
        lowestCoverage = std::min(lowestCoverage, measurement.m_coverage);
        complete += measurement.m_coverage >= completeCoverage ? 1 : 0;
        requests += measurement.m_endpointRequests;
        minimumRequests += measurement.m_shards;
    }
    const double answered = std::max<double>(1, double(latencies.size()));
    std::printf("%-9s n=%zu ok/s=%.0f p50=%.2f p95=%.2f p99=%.2f p99.9=%.2f ms coverage mean=%.5f min=%.3f "
                "complete=%.4f extra=%.4f codes:",
        run.first.c_str(), count, double(latencies.size()) / (double(duration.count() - warmUp.count()) / 1e6),
        quantile(latencies, 0.5), quantile(latencies, 0.95), quantile(latencies, 0.99), quantile(latencies, 0.999),
        coverage / answered, lowestCoverage, double(complete) / answered,
        minimumRequests == 0 ? 0.0 : double(requests) / double(minimumRequests) - 1);
    for (const auto& [code, times] : codes)
        std::printf(" %s=%zu", code.c_str(), times);
    std::printf("\n");
}

bool writeCsv(const std::string& file, const std::vector<NamedRun>& runs)
{
    std::ofstream out(file);
    out << "run,at_us,latency_us,code,coverage,endpoint_requests,shards\n";
    for (const auto& [name, measurements] : runs) {
        for (const Measurement& measurement : measurements)
            out << name << ',' << measurement.m_at.count() << ',' << measurement.m_latency.count() << ','
                << measurement.m_code << ',' << measurement.m_coverage << ',' << measurement.m_endpointRequests << ','
                << measurement.m_shards << '\n';
    }
    return bool(out.flush());
}

bool writeSvg(const std::string& file, const std::vector<NamedRun>& runs, Microseconds warmUp)
{
    constexpr double width = 720;
    constexpr double height = 400;
    constexpr double margin = 50;
    constexpr double nines = 4; // the axis of quantiles ends at 0.9999
    constexpr const char* colours[] = { "#1f77b4", "#d62728" };
    double largest = 1;
    for (const auto& run : runs)
        largest = std::max(largest, quantile(sortedMs(run.second, warmUp), 1 - std::pow(10, -nines)));
    const auto x = [&](double n) { return margin + n / nines * (width - 2 * margin); };
    const auto y = [&](double ms) { return height - margin - ms / largest * (height - 2 * margin); };
    std::ofstream out(file);
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width << "\" height=\"" << height
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n";
    for (int n = 0; n <= int(nines); ++n)
        out << "<text x=\"" << x(n) << "\" y=\"" << height - margin / 2 << "\">" << 1 - std::pow(10, -n) << "</text>\n";
    for (const double fraction : { 0.0, 0.5, 1.0 })
        out << "<text x=\"2\" y=\"" << y(fraction * largest) << "\">" << std::round(fraction * largest)
            << " ms</text>\n";
    std::size_t number = 0;
    for (const auto& [name, measurements] : runs) {
        const auto sorted = sortedMs(measurements, warmUp);
        const char* colour = colours[number % 2];
        out << "<text x=\"" << margin + 20 << "\" y=\"" << margin + 16 * double(number) << "\" fill=\"" << colour
            << "\">" << name << "</text>\n<polyline fill=\"none\" stroke=\"" << colour << "\" points=\"";
        for (double n = 0; n <= nines; n += 0.02)
            out << x(n) << ',' << y(quantile(sorted, 1 - std::pow(10, -n))) << ' ';
        out << "\"/>\n";
        ++number;
    }
    out << "</svg>\n";
    return bool(out.flush());
}

} // namespace flamingo::bench
