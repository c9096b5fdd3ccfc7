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

/** Interface to callers, operators and endpoints. */
struct EntrySettings {
    std::string m_listen = "0.0.0.0";
    std::uint16_t m_port = 8400;
    std::uint32_t m_maxConnections = 512; // callers; each takes one thread
    std::uint64_t m_maxBody = 1048576; // bytes of one request
    // Shares of the work under overload. A caller without a known class counts as "default".
    std::map<CallerClass, std::uint32_t> m_callerClasses { { CallerClass("default"), 1 } };
};

/** One voter of the replicated log. */
struct ControlMember {
    VmId m_vm;
    SocketAddress m_address; // of its links
};

/** Replicated log and state. */
struct ControlSettings {
    SocketAddress m_listen { "0.0.0.0", 8401 }; // links from members and entry VMs
    std::string m_dataFolder;
    std::vector<ControlMember> m_members;
    bool m_bootstrap = false; // forms a new cluster if all members are fresh
    SocketAddress m_api; // HTTP interface of the control role; none without a port
    Milliseconds m_endpointHeartbeat { 2500 }; // endpoints announce themselves this often
};

/** Interface to callers whose requests are forwarded by routes. */
struct RoutesSettings {
    SocketAddress m_listen;
    SocketAddress m_health;
    // How long the VM goes on serving the last state that a leader confirmed when it reaches none.
    Milliseconds m_staleLimit { 60000 };
    Milliseconds m_drainWait { 3000 }; // time in which the load balancer notices that the VM shuts down
    std::uint16_t m_mergePort = 0; // for calls of other VMs for shards, the same on all VMs; 0 for none
    // Limits of extra calls to a service: a share of its requests, and a number beside it for all VMs together.
    double m_extraLoadShare = 0.2;
    std::uint32_t m_extraLoadCalls = 100;
};

/** Control VMs that are known by address alone; they make up the first cluster. */
struct SeedSettings {
    std::vector<SocketAddress> m_addresses; // of the control VMs' HTTP interface
    std::uint16_t m_linkPort = 8401; // of the control VMs' links
};

struct LoggingSettings {
    LogLevel m_level = LogLevel::Info;
    std::string m_file; // empty for standard output
};

/** What one VM takes on at the same time, whatever the number of callers. */
struct LimitSettings {
    std::uint32_t m_queries = 2000; // executing
    std::uint32_t m_requests = 256; // executing, not idempotent
};

/** Settings of one daemon, checked as a whole. */
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
    SocketAddress m_metrics; // of roles without the entry interface; none without a port
    // Links of the control members: those listed for the control role unless given for entry alone.
    std::vector<SocketAddress> m_controlAddresses;
    LoggingSettings m_logging;
    LimitSettings m_limits;
    Milliseconds m_shutdownGrace { 30000 }; // for requests in flight
};

} // namespace flamingo
