#pragma once

#include "load/measurement.h"

namespace flamingo::bench {

struct Scenario;

/**
 * Sends the plan straight to the endpoints of a service: a random replica for each shard, no hedge and no
 * retry; a query ends with the last answer or at the deadline.
 */
Measurements runBaseline(
    const Scenario& scenario, const std::string& service, Milliseconds deadline, const std::vector<PlannedQuery>& plan);

} // namespace flamingo::bench
