#pragma once

#include "load/measurement.h"

#include <cstddef>

namespace flamingo::bench {

struct DaemonRunSettings {
    std::vector<std::string> m_daemons; // "address:port"; queries go to them in turn
    std::string m_service;
    Milliseconds m_deadline { 500 };
    std::size_t m_maximumConnections = 1000; // over all daemons; a query beyond them is not sent
};

/** Sends the plan to daemons and returns after all answers, or a second after the last deadline. */
Measurements runAgainstDaemons(const DaemonRunSettings& settings, const std::vector<PlannedQuery>& plan);

} // namespace flamingo::bench
