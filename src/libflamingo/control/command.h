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

// Changes by operators.
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
 * Replaces all routes, unless the configuration in force has the same or a higher version.
 *
 * It succeeds either way: a resend must get the same result, also after a later configuration.
 */
struct ReplaceRoutes {
    RouteConfiguration m_configuration;
    std::string m_document; // as the operator sent it
};
struct LiftQuarantine {
    Fingerprint m_fingerprint;
};

// Announcements of endpoints, and their loss.
struct RegisterEndpoint {
    EndpointRecord m_endpoint;
    std::vector<SnapshotLayout> m_layouts; // one for each layout that its holdings name
};
struct DrainOwnEndpoint {
    EndpointId m_endpoint;
    Incarnation m_incarnation;
};
/** Removes endpoints that left or whose renewals stopped; a lost data centre is one such command. */
struct RemoveEndpoints {
    struct Target {
        EndpointId m_endpoint;
        Incarnation m_incarnation;
        // Set when the renewals stopped. Without it the endpoint left by itself, and this
        // incarnation cannot register again, since a delayed registration would bring it back.
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
/** Removes the record of a departed VM once its sockets are taken for closed. */
struct RemoveVm {
    VmId m_vm;
    Incarnation m_incarnation;
};

// Non-idempotent requests.
struct OpenClaim {
    ServiceName m_service;
    RequestId m_request;
    std::uint64_t m_bodyHash = 0;
    VmId m_vm;
    Incarnation m_vmIncarnation;
    // Number of this attempt to run the request, never used twice by the same VM incarnation and
    // never 0. It ties a delayed SettleClaim to the run that it belongs to. ControlClient sets it.
    std::uint64_t m_run = 0;
};
enum class ClaimOutcome {
    Done, // the endpoint answered
    NotRun, // the send provably did not start, or the endpoint refused
    Unknown, // sent, and no whole answer came
};
struct SettleClaim {
    ServiceName m_service;
    RequestId m_request;
    VmId m_vm;
    Incarnation m_vmIncarnation;
    ClaimOutcome m_outcome = ClaimOutcome::Unknown;
    std::string m_answer; // body of the endpoint's answer when done
    std::uint64_t m_run = 0; // of the OpenClaim
    // Hash of the body when the result of the OpenClaim is not known and the run is given up: an
    // OpenClaim that arrives later must not open the claim. Otherwise 0.
    std::uint64_t m_bodyHash = 0;
};

// Crash evidence.
struct ReportDeath {
    EndpointId m_endpoint;
    Incarnation m_incarnation;
    ServiceName m_service;
    std::vector<Fingerprint> m_suspects;
};
struct ClearSuspect {
    Fingerprint m_fingerprint;
};

/** Carries log time forward, so that claims and quarantines expire on an idle system. */
struct AdvanceTime { };

using CommandBody = std::variant<AdvanceTime, CreateService, AlterService, DropService, DrainEndpoint, RestoreEndpoint,
    LiftQuarantine, RegisterEndpoint, DrainOwnEndpoint, RemoveEndpoints, AdmitVm, DepartVm, RemoveVm, OpenClaim,
    SettleClaim, ReportDeath, ClearSuspect, ReplaceRoutes>;

/** One entry of the replicated log as the state machine sees it. */
struct Command {
    CommandId m_id; // empty for commands that are idempotent by themselves
    std::optional<ConfigurationVersion> m_expectedVersion;
    LogTime m_proposedAt; // wall clock of the leader that proposed it
    CommandBody m_body;
};

} // namespace flamingo
