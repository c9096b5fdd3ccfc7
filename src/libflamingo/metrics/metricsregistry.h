#pragma once

#include "metrics/counter.h"
#include "metrics/gauge.h"
#include "metrics/histogram.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace flamingo {

/** Names and values in the order in which they are written. */
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/**
 * Owns all metrics of a process and writes them in the Prometheus text format.
 *
 * The returned references stay valid as long as the registry. Asking again for the same name and
 * labels returns the same metric. Wrong names, reserved labels and a name that is already in use for
 * another type are programming errors and throw std::invalid_argument.
 *
 * Thread-safe. Looking a metric up takes a lock; recording through a reference takes none.
 */
class MetricsRegistry {
public:
    MetricsRegistry();
    ~MetricsRegistry();
    MetricsRegistry(const MetricsRegistry&) = delete;
    MetricsRegistry& operator=(const MetricsRegistry&) = delete;

    /** Returns a counter; its name ends in "_total". */
    Counter& counter(const std::string& name, const std::string& help, const MetricLabels& labels = {});

    Gauge& gauge(const std::string& name, const std::string& help, const MetricLabels& labels = {});

    /** Returns a histogram. The bounds of the first call hold for all labels of the name. */
    Histogram& histogram(const std::string& name, const std::string& help, const std::vector<double>& bounds,
        const MetricLabels& labels = {});

    /**
     * Adds a gauge whose value is read when the metrics are written.
     *
     * The function is called under the registry's lock on any thread, and does not use the registry.
     */
    void observedGauge(const std::string& name, const std::string& help, std::function<double()> read,
        const MetricLabels& labels = {});

    /** As observedGauge, for a value that only grows. */
    void observedCounter(const std::string& name, const std::string& help, std::function<double()> read,
        const MetricLabels& labels = {});

    /** Returns all metrics in the Prometheus text format, version 0.0.4. */
    std::string exposition() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace flamingo
