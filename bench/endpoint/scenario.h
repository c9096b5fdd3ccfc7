#pragma once

#include "control/endpointrecord.h"
#include "control/snapshotlayout.h"
#include "endpoint/faults.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace flamingo::bench {

/** Record, limits and faults of one logical endpoint. */
struct StubEndpoint {
    EndpointRecord m_record;
    std::vector<SnapshotLayout> m_layouts; // layouts of the held snapshots
    std::uint32_t m_queue = 4; // most requests that wait for a slot; further ones are shed
    std::uint32_t m_hits = 5; // hits in each answer to a query
    Faults m_faults;
};

/** Configuration of one stub process, as read from its scenario file. */
struct Scenario {
    std::string m_adminAddress = "127.0.0.1";
    std::uint16_t m_adminPort = 0; // 0 for any free port
    std::vector<std::string> m_daemons; // "address:port" of the daemons to announce to; empty for no announcements
    std::uint32_t m_announceConnections = 4;
    std::uint64_t m_seed = 1;
    std::string m_executionLog; // name of the file; empty for none
    bool m_exitOnCrash = false; // a crash ends the whole process instead of one logical endpoint
    std::vector<StubEndpoint> m_endpoints;
};

/** Reads a scenario from YAML text; returns nothing and sets the error if the text is invalid. */
std::optional<Scenario> readScenario(const std::string& yaml, std::string& error);

/** Removes the endpoints that are not listed, so that several processes can share one scenario file. */
void keepOnly(Scenario& scenario, const std::vector<std::string>& ids);

} // namespace flamingo::bench
