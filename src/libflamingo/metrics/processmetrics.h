#pragma once

namespace flamingo {

class MetricsRegistry;

/** Adds processor time, memory, threads, open files and start time of this process. Thread-safe. */
void registerProcessMetrics(MetricsRegistry& registry);

} // namespace flamingo
