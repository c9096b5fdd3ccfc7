#pragma once

#include "control/servicedefinition.h"

#include <optional>

namespace flamingo {

/** Fields of a service that a CREATE or ALTER statement sets; unset fields keep their values. */
struct ServicePatch {
    std::optional<SnapshotPolicy> m_snapshotPolicy;
    std::optional<AnswerPreference> m_preference;
    std::optional<double> m_coverageFloor;
    std::optional<Milliseconds> m_deadline;
    std::optional<Milliseconds> m_patience;
    std::optional<double> m_extraLoadBudget;
    std::optional<std::uint32_t> m_connectionsPerEndpoint;
    std::optional<std::uint32_t> m_slotsPerEndpoint;
    std::optional<bool> m_canary;
    std::map<std::string, Idempotence> m_declaredKinds;
};

} // namespace flamingo
