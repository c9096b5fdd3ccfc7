#pragma once

namespace flamingo {

class MetricsRegistry;

/** Registers metrics of this process: CPU time, memory, threads, open files and start time. Thread-safe. */
void registerProcessMetrics(MetricsRegistry& registry);

} // namespace flamingo
