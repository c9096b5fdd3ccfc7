#pragma once

#include "base/ids.h"
#include "metrics/callermetrics.h"

#include <cstddef>
#include <memory>

namespace flamingo {

class MetricsRegistry;

// Callers choose the names of their classes and services are created at run time. Without a bound a
// faulty caller could fill the memory with series; what exceeds it is recorded as "other".
constexpr std::size_t maxCallerClassLabels = 64;
constexpr std::size_t maxServiceLabels = 128;

/** Label value for caller classes and services beyond the bounds. */
constexpr char otherLabel[] = "other";

/** Hands out the metrics by caller class and service. Thread-safe. The registry outlives it. */
class CallerMetricsTable {
public:
    explicit CallerMetricsTable(MetricsRegistry& registry);
    ~CallerMetricsTable();
    CallerMetricsTable(const CallerMetricsTable&) = delete;
    CallerMetricsTable& operator=(const CallerMetricsTable&) = delete;

    /**
     * Returns the metrics of a caller class and service. Takes a lock; the reference stays valid as
     * long as the table, so callers keep it.
     */
    CallerMetrics& find(const ServiceName& service, const CallerClass& callerClass);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace flamingo
