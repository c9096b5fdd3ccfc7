#pragma once

#include "base/idempotence.h"
#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace flamingo {

/** Selects the snapshot of a query when several are available. */
enum class SnapshotPolicy {
    Newest, // the newest snapshot whose available coverage reaches the floor
    Fullest, // the snapshot with the highest available coverage, and among equals the newest
};

/** Selects whether a late query is answered early or in full. */
enum class AnswerPreference {
    Early, // answers once the coverage floor is reached and the patience has elapsed
    Full, // waits for all shards until the deadline
};

/** Configuration of a service, set by operators. */
struct ServiceDefinition {
    ServiceName m_name;
    SnapshotPolicy m_snapshotPolicy = SnapshotPolicy::Newest;
    AnswerPreference m_preference = AnswerPreference::Early;
    double m_coverageFloor = 0.0; // fraction, 0 to 1
    Milliseconds m_deadline { 1000 };
    Milliseconds m_patience { 20 }; // wait after the floor is reached, if early answers are preferred
    double m_extraLoadBudget = 0.05; // fraction of the minimum number of endpoint requests
    std::uint32_t m_connectionsPerEndpoint = 60;
    std::uint32_t m_slotsPerEndpoint = 2;
    bool m_canary = true;
    std::map<std::string, Idempotence> m_kinds; // "query" is always idempotent and is not listed
    ConfigurationVersion m_changedIn; // version of the last change to this service
};

} // namespace flamingo
