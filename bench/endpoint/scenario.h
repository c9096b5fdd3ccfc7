#pragma once

#include "control/endpointrecord.h"
#include "control/snapshotlayout.h"
#include "endpoint/faults.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace flamingo::bench {

/** One logical endpoint and its behaviour. */
struct StubEndpoint {
    EndpointRecord m_record;
    std::vector<SnapshotLayout> m_layouts; // of its holdings
    std::uint32_t m_queue = 4; // requests that wait for a slot
    std::uint32_t m_hits = 5; // for each shard and query
    Faults m_faults;
};

/** What one stub process does, as read from its scenario file. */
struct Scenario {
    std::string m_adminAddress = "127.0.0.1";
    std::uint16_t m_adminPort = 0; // 0 for any free port
    std::vector<std::string> m_daemons; // "address:port" to announce to; none for a stub on its own
    std::uint32_t m_announceConnections = 4;
    std::uint64_t m_seed = 1;
    std::string m_executionLog; // file; empty for none
    bool m_exitOnCrash = false; // the whole process, rather than the logical endpoint
    std::vector<StubEndpoint> m_endpoints;
};

/** Reads a scenario from YAML text; returns nothing and an error where it is wrong. */
std::optional<Scenario> readScenario(const std::string& yaml, std::string& error);

/** Drops the endpoints that are not named, so that one file serves one process for each endpoint. */
void keepOnly(Scenario& scenario, const std::vector<std::string>& ids);

} // namespace flamingo::bench
