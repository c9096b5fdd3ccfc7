#pragma once

#include "base/ids.h"
#include "base/loglevel.h"
#include "base/time.h"
#include "settings/socketaddress.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace flamingo {

/** Settings of the HTTP interface to callers, operators and endpoints. */
struct EntrySettings {
    std::string m_listen = "0.0.0.0"; // IP address
    std::uint16_t m_port = 8400;
    std::uint32_t m_maxConnections = 512; // connections of callers; each takes one thread
    std::uint64_t m_maxBody = 1048576; // bytes in the body of one request
    // Weights by which the classes share the capacity under overload. A class that is not listed has weight 1, and a
    // caller that names no class belongs to "default".
    std::map<CallerClass, std::uint32_t> m_callerClasses { { CallerClass("default"), 1 } };
};

/** One voting member of the replicated log. */
struct ControlMember {
    VmId m_vm;
    SocketAddress m_address; // address at which it accepts links
};

/** Settings of the control role, which keeps the replicated log and state. */
struct ControlSettings {
    SocketAddress m_listen { "0.0.0.0", 8401 }; // address for links from members and entry VMs
    std::string m_dataFolder; // absolute path
    std::vector<ControlMember> m_members;
    bool m_bootstrap = false; // allows a new cluster if no listed member has a log, a snapshot or a vote
    // Number of control VMs whose loss at the same time has to be survived, data folders included; 0 if not known.
    std::uint32_t m_toleratedLosses = 0;
    SocketAddress m_api; // HTTP interface of the control role; disabled if the port is 0
    Milliseconds m_endpointHeartbeat { 2500 }; // interval at which endpoints announce themselves
};

/** Settings of the interface to callers whose requests are forwarded by routes. */
struct RoutesSettings {
    SocketAddress m_listen; // address for callers
    SocketAddress m_health; // address for the health probes of the load balancer
    // Time for which the VM continues to serve the last state confirmed by a leader while it reaches no leader.
    Milliseconds m_staleLimit { 60000 };
    Milliseconds m_drainWait { 3000 }; // wait at shutdown, in which the load balancer notices it
    std::uint16_t m_mergePort = 0; // port for shard calls from other VMs, the same on all VMs; 0 disables it
    // Limits on extra calls to a service: a fraction of its requests, and in addition a number for all VMs together.
    double m_extraLoadShare = 0.2;
    double m_extraLoadCalls = 100.0;
    // Requests of a customer that may run beyond its quota in a short time, since VMs learn of the requests at other
    // VMs with a delay. More requests need fewer messages between the VMs.
    double m_quotaSlack = 8.0;
};

/** Control VMs that are known by their address only. They form the first cluster. */
struct SeedSettings {
    std::vector<SocketAddress> m_addresses; // HTTP interfaces of the control VMs
    std::uint16_t m_linkPort = 8401; // port at which the control VMs accept links
};

struct LoggingSettings {
    LogLevel m_level = LogLevel::Info;
    std::string m_file; // empty for standard output
};

/** Limits on the work that one VM executes at the same time, independent of the number of callers. */
struct LimitSettings {
    std::uint32_t m_queries = 2000; // concurrent queries
    std::uint32_t m_requests = 256; // concurrent requests that are not idempotent
    // What the routes role may use of its VM. A part of it is for connections of callers and what is held for them.
    double m_memoryMb = 1024.0;
    double m_descriptors = 16384.0;
};

/** Settings of one daemon, validated as a whole. */
struct Settings {
    VmId m_vm;
    DataCentreName m_dataCentre;
    bool m_entryRole = false;
    bool m_controlRole = false;
    bool m_routesRole = false;
    EntrySettings m_entry;
    ControlSettings m_control;
    RoutesSettings m_routes;
    SeedSettings m_seeds;
    SocketAddress m_metrics; // address for reading metrics if the entry role is absent; disabled if the port is 0
    // Addresses at which the control members accept links. Defaults to those of the seeds, then to those of the members
    // listed for the control role.
    std::vector<SocketAddress> m_controlAddresses;
    LoggingSettings m_logging;
    LimitSettings m_limits;
    Milliseconds m_shutdownGrace { 30000 }; // time for requests in flight to finish
};

} // namespace flamingo
