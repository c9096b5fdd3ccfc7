#pragma once

#include "load/measurement.h"

namespace flamingo::bench {

struct Scenario;

/**
 * Sends the planned queries directly to the endpoints of a service, each to one random replica of each shard.
 *
 * There are no hedges and no retries. A query ends with its last answer or at its deadline. Throws if the scenario has
 * no endpoints of the service.
 */
Measurements runBaseline(
    const Scenario& scenario, const std::string& service, Milliseconds deadline, const std::vector<PlannedQuery>& plan);

} // namespace flamingo::bench
