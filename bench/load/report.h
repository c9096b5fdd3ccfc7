#pragma once

#include "load/measurement.h"

#include <utility>

namespace flamingo::bench {

/** Measurements of one run under the name that stands in front of its figures. */
using NamedRun = std::pair<std::string, Measurements>;

/** Prints latency, coverage, result codes and extra load. Latency and coverage are those of Ok answers. */
void printReport(const NamedRun& run, Microseconds warmUp, Microseconds duration);

/** Writes one line for each query; false if the file cannot be written. */
bool writeCsv(const std::string& file, const std::vector<NamedRun>& runs);

/** Plots latency over quantile, the axis stretched towards 1; false if the file cannot be written. */
bool writeSvg(const std::string& file, const std::vector<NamedRun>& runs, Microseconds warmUp);

} // namespace flamingo::bench
