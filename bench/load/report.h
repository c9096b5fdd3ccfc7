#pragma once

#include "load/measurement.h"

#include <utility>

namespace flamingo::bench {

/** Measurements of one run with the name under which they are reported. */
using NamedRun = std::pair<std::string, Measurements>;

/** Prints latency, coverage, result codes and extra load. Only answers with code Ok count for latency and coverage. */
void printReport(const NamedRun& run, Microseconds warmUp, Microseconds duration);

/** Writes one CSV line for each query; returns false if the file cannot be written. */
bool writeCsv(const std::string& file, const std::vector<NamedRun>& runs);

/**
 * Plots latency over quantile on an axis that is logarithmic towards quantile 1.
 *
 * Returns false if the file cannot be written.
 */
bool writeSvg(const std::string& file, const std::vector<NamedRun>& runs, Microseconds warmUp);

} // namespace flamingo::bench
