#pragma once

#include "base/ids.h"
#include "metrics/callermetrics.h"

#include <cstddef>
#include <memory>

namespace flamingo {

class MetricsRegistry;

// Limits on the number of label values. Callers choose the names of their classes, and services are created at run
// time; without limits a faulty caller could exhaust the memory with time series. Further values are recorded under
// otherLabel.
constexpr std::size_t maxCallerClassLabels = 64;
constexpr std::size_t maxServiceLabels = 128;

/** Label value shared by the caller classes and services beyond the limits. */
constexpr char otherLabel[] = "other";

/** Owns the metrics of each caller class and service. Thread-safe. The registry must outlive the table. */
class CallerMetricsTable {
public:
    explicit CallerMetricsTable(MetricsRegistry& registry);
    ~CallerMetricsTable();
    CallerMetricsTable(const CallerMetricsTable&) = delete;
    CallerMetricsTable& operator=(const CallerMetricsTable&) = delete;

    /**
     * Returns the metrics of a caller class and service; the first call creates them. Takes a lock; code that
     * records often should keep the reference, which stays valid as long as the table.
     */
    CallerMetrics& find(const ServiceName& service, const CallerClass& callerClass);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace flamingo
