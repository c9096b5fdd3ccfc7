#pragma once

#include "base/idempotence.h"
#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace flamingo {

/** Which snapshot a query uses when several are available. */
enum class SnapshotPolicy {
    Newest, // the newest one whose available coverage reaches the floor
    Fullest, // the one with the highest available coverage, the newest of equals
};

/** What the service gives up first when a query runs late. */
enum class AnswerPreference {
    Early, // answers once the floor is reached and the patience is used up
    Full, // waits for all shards until the deadline
};

/** Configuration of a service as operators write it. */
struct ServiceDefinition {
    ServiceName m_name;
    SnapshotPolicy m_snapshotPolicy = SnapshotPolicy::Newest;
    AnswerPreference m_preference = AnswerPreference::Early;
    double m_coverageFloor = 0.0; // fraction, 0 to 1
    Milliseconds m_deadline { 1000 };
    Milliseconds m_patience { 20 }; // wait beyond the floor when answers are preferred early
    double m_extraLoadBudget = 0.05; // fraction of the least possible endpoint requests
    std::uint32_t m_connectionsPerEndpoint = 60;
    std::uint32_t m_slotsPerEndpoint = 2;
    bool m_canary = true;
    std::map<std::string, Idempotence> m_kinds; // "query" is always idempotent and is not listed
    ConfigurationVersion m_changedIn; // version of the last change to this service
};

} // namespace flamingo
