#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "control/endpointrecord.h"
#include "control/servicepatch.h"
#include "control/snapshotlayout.h"
#include "control/vmrecord.h"
#include "routes/routeconfiguration.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace flamingo {

// Operator commands.
struct CreateService {
    ServiceName m_service;
    ServicePatch m_patch;
};
struct AlterService {
    ServiceName m_service;
    ServicePatch m_patch;
};
struct DropService {
    ServiceName m_service;
};
struct DrainEndpoint {
    EndpointId m_endpoint;
};
struct RestoreEndpoint {
    EndpointId m_endpoint;
};
/**
 * Replaces all routes unless the current configuration has the same or a higher version.
 *
 * Succeeds in both cases, so that a resent command gets the same result even after a later configuration.
 */
struct ReplaceRoutes {
    RouteConfiguration m_configuration;
    std::string m_document; // text of the configuration as the operator sent it
};
/** Starts or ends the evacuation of a data centre, whose endpoints get no calls meanwhile. Idempotent. */
struct SetEvacuation {
    DataCentreName m_dataCentre;
    bool m_evacuated = false;
};
struct LiftQuarantine {
    Fingerprint m_fingerprint;
};

// Registration, drain and removal of endpoints.
struct RegisterEndpoint {
    EndpointRecord m_endpoint;
    std::vector<SnapshotLayout> m_layouts; // one for each layout that its holdings name
};
struct DrainOwnEndpoint {
    EndpointId m_endpoint;
    Incarnation m_incarnation;
};
/** Removes endpoints that left or stopped renewing. The endpoints of a lost data centre are removed by one command. */
struct RemoveEndpoints {
    struct Target {
        EndpointId m_endpoint;
        Incarnation m_incarnation;
        // True if the endpoint stopped renewing, false if it left by itself. An incarnation that left cannot register
        // again, because a delayed registration would bring it back.
        bool m_expired = false;
    };
    std::vector<Target> m_targets;
};

// Entry VMs.
struct AdmitVm {
    VmRecord m_vm;
};
struct DepartVm {
    VmId m_vm;
    Incarnation m_incarnation;
};
/** Removes the record of a departed VM, whose sockets are assumed closed by then. */
struct RemoveVm {
    VmId m_vm;
    Incarnation m_incarnation;
};

// Non-idempotent requests.
/** Asks for the right to send a non-idempotent request once. */
struct OpenClaim {
    ServiceName m_service;
    RequestId m_request;
    std::uint64_t m_bodyHash = 0;
    VmId m_vm;
    Incarnation m_vmIncarnation;
    // Number of this attempt to run the request: not 0 and unique within the VM incarnation, so that a delayed
    // SettleClaim is matched with its run. Set by ControlClient.
    std::uint64_t m_run = 0;
};
enum class ClaimOutcome {
    Done, // the endpoint answered
    NotRun, // the send certainly did not start, or the endpoint refused the request
    Unknown, // the request was sent and no complete answer was received
};
/** Records the outcome of a run. */
struct SettleClaim {
    ServiceName m_service;
    RequestId m_request;
    VmId m_vm;
    Incarnation m_vmIncarnation;
    ClaimOutcome m_outcome = ClaimOutcome::Unknown;
    std::string m_answer; // body of the endpoint's answer if the outcome is Done
    std::uint64_t m_run = 0; // run number of the OpenClaim
    // Hash of the request body if the run is abandoned without a known result of the OpenClaim, so that a delayed
    // OpenClaim does not open the claim; otherwise 0.
    std::uint64_t m_bodyHash = 0;
};

// Requests suspected of crashing endpoints.
/** Reports that an endpoint crashed while the suspect requests were in flight. */
struct ReportDeath {
    EndpointId m_endpoint;
    Incarnation m_incarnation;
    ServiceName m_service;
    std::vector<Fingerprint> m_suspects;
};
/** Reports that a suspect request succeeded. */
struct ClearSuspect {
    Fingerprint m_fingerprint;
};

/** Advances log time, so that claims and quarantines expire on an idle system. */
struct AdvanceTime { };

using CommandBody = std::variant<AdvanceTime, CreateService, AlterService, DropService, DrainEndpoint, RestoreEndpoint,
    LiftQuarantine, RegisterEndpoint, DrainOwnEndpoint, RemoveEndpoints, AdmitVm, DepartVm, RemoveVm, OpenClaim,
    SettleClaim, ReportDeath, ClearSuspect, ReplaceRoutes, SetEvacuation>;

/** One command of the replicated log, the input of the state machine. */
struct Command {
    CommandId m_id; // set for operator commands; the other commands are idempotent without it
    std::optional<ConfigurationVersion> m_expectedVersion; // refused if the current version is another one
    LogTime m_proposedAt; // wall clock time of the leader that proposed the command
    CommandBody m_body;
};

} // namespace flamingo
