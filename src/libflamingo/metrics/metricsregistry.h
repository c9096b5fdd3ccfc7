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

/** Names and values of labels, in the order of the output. */
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/**
 * Owns all metrics of a process and writes them in the Prometheus text format.
 *
 * The returned references stay valid as long as the registry. A further call with the same name and
 * labels returns the same metric. Invalid names, reserved labels and a name that is already in use for
 * another type are programming errors and throw std::invalid_argument.
 *
 * Thread-safe. Looking up a metric takes a lock; recording through a reference takes none.
 */
class MetricsRegistry {
public:
    MetricsRegistry();
    ~MetricsRegistry();
    MetricsRegistry(const MetricsRegistry&) = delete;
    MetricsRegistry& operator=(const MetricsRegistry&) = delete;

    /** Returns a counter. Its name must end in "_total". */
    Counter& counter(const std::string& name, const std::string& help, const MetricLabels& labels = {});

    /** Returns a gauge. */
    Gauge& gauge(const std::string& name, const std::string& help, const MetricLabels& labels = {});

    /** Returns a histogram. The bounds of the first call apply to all label values of the name. */
    Histogram& histogram(const std::string& name, const std::string& help, const std::vector<double>& bounds,
        const MetricLabels& labels = {});

    /**
     * Registers a gauge whose value exposition() reads from a function.
     *
     * The function is called on any thread while the registry is locked, so it must not use the registry.
     */
    void observedGauge(const std::string& name, const std::string& help, std::function<double()> read,
        const MetricLabels& labels = {});

    /** Registers a counter in the same way as observedGauge(). Its name must end in "_total". */
    void observedCounter(const std::string& name, const std::string& help, std::function<double()> read,
        const MetricLabels& labels = {});

    /** Returns all metrics in the Prometheus text format, version 0.0.4. */
    std::string exposition() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace flamingo
