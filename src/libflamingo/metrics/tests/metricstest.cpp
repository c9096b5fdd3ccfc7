#include "metrics/callermetricstable.h"
#include "metrics/metricsregistry.h"
#include "metrics/processmetrics.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <cmath>
#include <fstream>
#include <limits>
#include <sstream>
#include <thread>

using namespace flamingo;

namespace {

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

/** Returns the value of a series in the exposition, or -1 if it is absent. */
double sample(const std::string& exposition, const std::string& series)
{
    std::istringstream lines(exposition);
    for (std::string line; std::getline(lines, line);)
        if (line.rfind(series + " ", 0) == 0)
            return std::stod(line.substr(series.size() + 1));
    return -1;
}

} // namespace

TEST_CASE("metrics are written in the Prometheus text format")
{
    MetricsRegistry registry;

    SECTION("counters and gauges have help, type and labels")
    {
        registry.counter("jobs_total", "Jobs.", { { "kind", "a" } }).add(3);
        registry.counter("jobs_total", "Jobs.", { { "kind", "b" } }).add();
        registry.gauge("depth", "Depth now.").set(-1.5);
        CHECK(registry.exposition()
            == "# HELP depth Depth now.\n# TYPE depth gauge\ndepth -1.5\n"
               "# HELP jobs_total Jobs.\n# TYPE jobs_total counter\n"
               "jobs_total{kind=\"a\"} 3\njobs_total{kind=\"b\"} 1\n");
    }
    SECTION("characters that would break a line are escaped")
    {
        registry.gauge("g", "a\\b\n\"c\"", { { "l", "x\"y\\z\nw" } });
        CHECK(contains(registry.exposition(), "# HELP g a\\\\b\\n\"c\"\n"));
        CHECK(contains(registry.exposition(), "g{l=\"x\\\"y\\\\z\\nw\"} 0\n"));
    }
    SECTION("infinities, NaN and large numbers are written in the notation of Prometheus")
    {
        registry.gauge("a", "").set(std::numeric_limits<double>::infinity());
        registry.gauge("b", "").set(-std::numeric_limits<double>::infinity());
        registry.gauge("c", "").set(std::nan(""));
        registry.gauge("d", "").set(1e300);
        for (const char* line : { "\na +Inf\n", "\nb -Inf\n", "\nc NaN\n", "\nd 1e+300\n" })
            CHECK(contains(registry.exposition(), line));
    }
    SECTION("histogram buckets are cumulative, and their bounds are inclusive")
    {
        Histogram& histogram = registry.histogram("h_ratio", "H.", { 0, 0.5, 1 }, { { "s", "v" } });
        for (const double value : { -1.0, 0.0, 0.5, 0.6, 1.0, 1.0, 7.0, std::nan("") })
            histogram.record(value);
        const std::string text = registry.exposition();
        CHECK(contains(text, "# TYPE h_ratio histogram\n"));
        CHECK(sample(text, "h_ratio_bucket{s=\"v\",le=\"0\"}") == 2);
        CHECK(sample(text, "h_ratio_bucket{s=\"v\",le=\"0.5\"}") == 3);
        CHECK(sample(text, "h_ratio_bucket{s=\"v\",le=\"1\"}") == 6);
        CHECK(sample(text, "h_ratio_bucket{s=\"v\",le=\"+Inf\"}") == 7);
        CHECK(sample(text, "h_ratio_count{s=\"v\"}") == 7);
        CHECK(sample(text, "h_ratio_sum{s=\"v\"}") == Approx(9.1));
    }
    SECTION("observed values are read when the metrics are written")
    {
        double value = 1;
        registry.observedGauge("now", "", [&] { return value; });
        value = 2;
        CHECK(sample(registry.exposition(), "now") == 2);
    }
    SECTION("the same name and labels give the same metric, and invalid registrations are refused")
    {
        CHECK(&registry.counter("x_total", "") == &registry.counter("x_total", ""));
        CHECK_THROWS_AS(registry.gauge("x_total", ""), std::invalid_argument);
        CHECK_THROWS_AS(registry.counter("x", ""), std::invalid_argument);
        CHECK_THROWS_AS(registry.gauge("1x", ""), std::invalid_argument);
        CHECK_THROWS_AS(registry.gauge("x y", ""), std::invalid_argument);
        CHECK_THROWS_AS(registry.gauge("y", "", { { "le", "1" } }), std::invalid_argument);
        CHECK_THROWS_AS(registry.gauge("y", "", { { "__a", "1" } }), std::invalid_argument);
        CHECK_THROWS_AS(registry.histogram("h", "", { 1, 1 }), std::invalid_argument);
        // A refused registration leaves no incomplete metric behind.
        CHECK_NOTHROW(registry.exposition());
    }
}

TEST_CASE("histogram buckets agree with a linear search over the bounds")
{
    rc::prop("buckets hold exactly the values up to their bounds", [](const std::vector<double>& values) {
        const std::vector<double> bounds { -2, -0.5, 0, 0.1, 3, 1e6 };
        Histogram histogram(bounds);
        std::vector<std::uint64_t> expected(bounds.size() + 1, 0);
        for (const double value : values) {
            histogram.record(value);
            std::size_t bucket = 0;
            while (bucket < bounds.size() && value > bounds[bucket])
                ++bucket;
            ++expected[bucket];
        }
        RC_ASSERT(histogram.bucketCounts() == expected);
    });
}

TEST_CASE("no counts are lost when several threads record at the same time")
{
    MetricsRegistry registry;
    Counter& counter = registry.counter("c_total", "");
    Gauge& gauge = registry.gauge("g", "");
    Histogram& histogram = registry.histogram("h", "", { 1, 2 });
    std::vector<std::thread> threads;
    for (int thread = 0; thread < 4; ++thread) {
        threads.emplace_back([&] {
            for (int i = 0; i < 20000; ++i) {
                counter.add();
                gauge.add(1);
                histogram.record(i % 3);
                if (i % 5000 == 0)
                    registry.exposition();
            }
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    CHECK(counter.value() == 80000);
    CHECK(gauge.value() == 80000);
    CHECK(sample(registry.exposition(), "h_count") == 80000);
}

TEST_CASE("queries are measured by caller class and service")
{
    MetricsRegistry registry;
    CallerMetricsTable table(registry);
    CallerMetrics& metrics = table.find(ServiceName("verse"), CallerClass("shop"));
    const std::string labels = "service=\"verse\",caller_class=\"shop\"";

    SECTION("latency, coverage and extra load are recorded for queries that ran")
    {
        metrics.recordQuery({ ResultCode::Ok, 0.077, 1.0, 21, 20 });
        metrics.recordQuery({ ResultCode::CoverageBelowFloor, 0.2, 0.5, 20, 20 });
        metrics.recordRequest(ResultCode::OutcomeUnknown, 0.3);
        const std::string text = registry.exposition();
        CHECK(sample(text, "flamingo_query_latency_seconds_bucket{" + labels + ",le=\"0.077\"}") == 1);
        CHECK(sample(text, "flamingo_query_coverage_ratio_bucket{" + labels + ",le=\"0.9999\"}") == 1);
        CHECK(sample(text, "flamingo_query_coverage_ratio_count{" + labels + "}") == 2);
        CHECK(sample(text, "flamingo_query_extra_load_ratio_sum{" + labels + "}") == Approx(0.05));
        CHECK(sample(text, "flamingo_query_endpoint_requests_total{" + labels + "}") == 41);
        CHECK(sample(text, "flamingo_query_least_endpoint_requests_total{" + labels + "}") == 40);
        CHECK(sample(text, "flamingo_queries_total{" + labels + ",result=\"success\"}") == 1);
        CHECK(sample(text, "flamingo_queries_total{" + labels + ",result=\"failed\"}") == 1);
        CHECK(sample(text, "flamingo_requests_total{" + labels + ",result=\"unknown_outcome\"}") == 1);
        CHECK(sample(text, "flamingo_request_latency_seconds_count{" + labels + "}") == 1);
    }
    SECTION("refusals are counted, but not recorded as fast answers without coverage")
    {
        metrics.recordQuery({ ResultCode::Overloaded, 0.0001, 0, 0, 0 });
        metrics.recordRequest(ResultCode::InvalidField, 0.0001);
        const std::string text = registry.exposition();
        CHECK(sample(text, "flamingo_queries_total{" + labels + ",result=\"not_run\"}") == 1);
        CHECK(sample(text, "flamingo_query_latency_seconds_count{" + labels + "}") == 0);
        CHECK(sample(text, "flamingo_query_coverage_ratio_count{" + labels + "}") == 0);
        CHECK(sample(text, "flamingo_request_latency_seconds_count{" + labels + "}") == 0);
    }
    SECTION("a caller that invents classes cannot exhaust the memory")
    {
        for (int i = 0; i < 10000; ++i)
            table.find(ServiceName("verse"), CallerClass("c" + std::to_string(i)))
                .recordQuery({ ResultCode::Ok, 0.01, 1, 20, 20 });
        CHECK(&table.find(ServiceName("verse"), CallerClass("shop")) == &metrics);
        const std::string text = registry.exposition();
        CHECK(sample(text, "flamingo_queries_total{service=\"verse\",caller_class=\"other\",result=\"success\"}")
            == 10000 - (maxCallerClassLabels - 1));
        CHECK(text.size() < (2u << 20));
    }
}

TEST_CASE("docs/metrics.md lists each metric with its type")
{
    MetricsRegistry registry;
    registerProcessMetrics(registry);
    CallerMetricsTable table(registry);
    table.find(ServiceName("s"), CallerClass("c"));
    std::ifstream file(FLAMINGO_SOURCE_DIR "/docs/metrics.md");
    std::stringstream page;
    page << file.rdbuf();
    std::istringstream lines(registry.exposition());
    int families = 0;
    for (std::string line; std::getline(lines, line);) {
        std::istringstream words(line);
        std::string hash;
        std::string keyword;
        std::string name;
        std::string type;
        words >> hash >> keyword >> name >> type;
        if (keyword != "TYPE")
            continue;
        ++families;
        INFO(name);
        CHECK(contains(page.str(), "| `" + name + "` | " + type + " |"));
    }
    CHECK(families == 13);
    CHECK(sample(registry.exposition(), "process_resident_memory_bytes") > 1e6);
    CHECK(sample(registry.exposition(), "process_threads") >= 1);
}
