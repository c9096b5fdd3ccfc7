#pragma once

#include "load/measurement.h"

#include <cstddef>

namespace flamingo::bench {

struct DaemonRunSettings {
    std::vector<std::string> m_daemons; // "address:port"; they receive the queries in turn
    std::string m_service;
    Milliseconds m_deadline { 500 };
    std::size_t m_maxConnections = 1000; // over all daemons; a query that needs one more is not sent
};

/** Sends the planned queries to daemons. Returns after the last answer, or 1 s after the last deadline. */
Measurements runAgainstDaemons(const DaemonRunSettings& settings, const std::vector<PlannedQuery>& plan);

} // namespace flamingo::bench
