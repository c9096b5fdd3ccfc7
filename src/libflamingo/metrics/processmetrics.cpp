#include "metrics/processmetrics.h"

#include "metrics/metricsregistry.h"

#include <sys/resource.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <string>

namespace flamingo {

namespace {
constexpr double microsecondsPerSecond = 1e6;

double seconds(const timeval& time)
{
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / microsecondsPerSecond;
}

double cpuSeconds()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double residentBytes()
{
    std::ifstream statm("/proc/self/statm");
    double total = 0;
    double resident = 0;
    statm >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

double countEntries(const char* directory)
{
    std::error_code error;
    double count = 0;
    for (std::filesystem::directory_iterator it(directory, error), end; !error && it != end; it.increment(error))
        ++count;
    return count;
}
} // namespace

void registerProcessMetrics(MetricsRegistry& registry)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    registry.gauge("process_start_time_seconds", "Unix time at which the process started.")
        .set(std::chrono::duration<double>(now).count());
    registry.observedCounter(
        "process_cpu_seconds_total", "Processor time used, user and system.", [] { return cpuSeconds(); });
    registry.observedGauge("process_resident_memory_bytes", "Resident memory.", [] { return residentBytes(); });
    registry.observedGauge("process_open_fds", "Open file descriptors.", [] { return countEntries("/proc/self/fd"); });
    registry.observedGauge("process_threads", "Threads.", [] { return countEntries("/proc/self/task"); });
}

} // namespace flamingo
