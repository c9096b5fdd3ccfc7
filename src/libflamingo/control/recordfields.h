#pragma once

#include "control/claimrecord.h"
#include "control/controlstate.h"
#include "control/messages.h"
#include "control/proposedcommand.h"

#include <cstddef>
#include <tuple>
#include <type_traits>
#include <utility>

// Lists the fields of each replicated or transmitted struct in wire order, for the codec and the digest. A change of
// a list changes the wire format and requires a new protocolVersion in codec.h.
namespace flamingo::detail {

template <typename T> struct Fields;

template <typename T, typename = void> struct IsContainer : std::false_type {
};
template <typename T> struct IsContainer<T, std::void_t<decltype(std::declval<const T&>().empty())>> : std::true_type {
};

template <typename T, typename = void> struct HasFields : std::false_type {
};
template <typename T> struct HasFields<T, std::void_t<decltype(Fields<T>::name)>> : std::true_type {
};

// Number of fields at the end of a struct that are omitted while they, and those after them, have their default values.
// Fields that were added after the first release are of this kind, so that processes of the version before understand
// the messages and log entries of deployments that do not use what was added.
template <typename T, typename = void> struct OptionalFieldCount : std::integral_constant<std::size_t, 0> {
};
template <typename T>
struct OptionalFieldCount<T, std::void_t<decltype(Fields<T>::optionalFields)>>
    : std::integral_constant<std::size_t, Fields<T>::optionalFields> {
};

/** Returns whether the value is empty, zero or false. Thread-safe. */
template <typename T> bool isDefaultValue(const T& value)
{
    if constexpr (std::is_arithmetic_v<T>)
        return value == T {};
    else if constexpr (IsContainer<T>::value)
        return value.empty();
    else
        return false;
}

/** Returns how many fields of the struct are written. Thread-safe. */
template <typename T> std::size_t presentFieldCount(const T& value)
{
    const auto fields = Fields<T>::tie(value);
    constexpr std::size_t required = std::tuple_size_v<decltype(fields)> - OptionalFieldCount<T>::value;
    std::size_t position = 0;
    std::size_t present = required;
    const auto visit = [&](const auto& field) {
        ++position;
        if (position > required && !isDefaultValue(field))
            present = position;
    };
    std::apply([&visit](const auto&... each) { (visit(each), ...); }, fields);
    return present;
}

template <> struct Fields<ShardHolding> {
    static constexpr const char* name = "ShardHolding";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_version, s.m_layout, s.m_shard); }
};
template <> struct Fields<EndpointRecord> {
    static constexpr const char* name = "EndpointRecord";
    template <typename S> static auto tie(S& s)
    {
        return std::tie(s.m_id, s.m_service, s.m_address, s.m_port, s.m_dataCentre, s.m_incarnation, s.m_holdings,
            s.m_slots, s.m_connections, s.m_draining, s.m_routed, s.m_registeredIn);
    }
};
template <> struct Fields<RouteKey> {
    static constexpr const char* name = "RouteKey";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_host, s.m_pathPrefix); }
};
template <> struct Fields<RouteTarget> {
    static constexpr const char* name = "RouteTarget";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_service, s.m_weight); }
};
template <> struct Fields<Route> {
    static constexpr const char* name = "Route";
    template <typename S> static auto tie(S& s)
    {
        return std::tie(s.m_key, s.m_name, s.m_idempotence, s.m_timeout, s.m_goal, s.m_priority, s.m_maxAttempts,
            s.m_targets, s.m_shards, s.m_topRecords, s.m_minAnsweredShare, s.m_public);
    }
    static constexpr std::size_t optionalFields = 1;
};
template <> struct Fields<Quota> {
    static constexpr const char* name = "Quota";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_rate, s.m_burst); }
};
template <> struct Fields<Customer> {
    static constexpr const char* name = "Customer";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_name, s.m_keys, s.m_priority, s.m_quota); }
};
template <> struct Fields<ErasedCustomer> {
    static constexpr const char* name = "ErasedCustomer";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_customer); }
};
template <> struct Fields<EvacuationChange> {
    static constexpr const char* name = "EvacuationChange";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_dataCentre, s.m_evacuated); }
};
template <> struct Fields<SetEvacuation> {
    static constexpr const char* name = "SetEvacuation";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_dataCentre, s.m_evacuated); }
};
template <> struct Fields<RoutedService> {
    static constexpr const char* name = "RoutedService";
    template <typename S> static auto tie(S& s)
    {
        return std::tie(s.m_name, s.m_healthPath, s.m_connectionsPerEndpoint);
    }
};
template <> struct Fields<CallerLimits> {
    static constexpr const char* name = "CallerLimits";
    template <typename S> static auto tie(S& s)
    {
        return std::tie(s.m_headerBytes, s.m_bodyBytes, s.m_headerTimeout, s.m_idleTimeout);
    }
};
template <> struct Fields<RouteHeader> {
    static constexpr const char* name = "RouteHeader";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_version, s.m_limits, s.m_requiresKeys); }
    static constexpr std::size_t optionalFields = 1;
};
template <> struct Fields<RouteConfiguration> {
    static constexpr const char* name = "RouteConfiguration";
    template <typename S> static auto tie(S& s)
    {
        return std::tie(s.m_header, s.m_routes, s.m_services, s.m_customers);
    }
    static constexpr std::size_t optionalFields = 1;
};
template <> struct Fields<ReplaceRoutes> {
    static constexpr const char* name = "ReplaceRoutes";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_configuration, s.m_document); }
};
template <> struct Fields<ErasedRoute> {
    static constexpr const char* name = "ErasedRoute";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_route); }
};
template <> struct Fields<ErasedRoutedService> {
    static constexpr const char* name = "ErasedRoutedService";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_service); }
};
template <> struct Fields<LayoutKey> {
    static constexpr const char* name = "LayoutKey";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_service, s.m_version, s.m_layout); }
};
template <> struct Fields<SnapshotLayout> {
    static constexpr const char* name = "SnapshotLayout";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_key, s.m_shardWeights); }
};
template <> struct Fields<VmRecord> {
    static constexpr const char* name = "VmRecord";
    template <typename S> static auto tie(S& s)
    {
        return std::tie(
            s.m_id, s.m_incarnation, s.m_dataCentre, s.m_address, s.m_admittedIn, s.m_departed, s.m_departedAt);
    }
};
template <> struct Fields<QuarantineRecord> {
    static constexpr const char* name = "QuarantineRecord";
    template <typename S> static auto tie(S& s)
    {
        return std::tie(s.m_fingerprint, s.m_service, s.m_endpoints, s.m_expiresAt);
    }
};
template <> struct Fields<ServiceDefinition> {
    static constexpr const char* name = "ServiceDefinition";
    template <typename S> static auto tie(S& s)
    {
        return std::tie(s.m_name, s.m_snapshotPolicy, s.m_preference, s.m_coverageFloor, s.m_deadline, s.m_patience,
            s.m_extraLoadBudget, s.m_connectionsPerEndpoint, s.m_slotsPerEndpoint, s.m_canary, s.m_kinds,
            s.m_changedIn);
    }
};
template <> struct Fields<ServicePatch> {
    static constexpr const char* name = "ServicePatch";
    template <typename S> static auto tie(S& s)
    {
        return std::tie(s.m_snapshotPolicy, s.m_preference, s.m_coverageFloor, s.m_deadline, s.m_patience,
            s.m_extraLoadBudget, s.m_connectionsPerEndpoint, s.m_slotsPerEndpoint, s.m_canary, s.m_declaredKinds);
    }
};
template <> struct Fields<CreateService> {
    static constexpr const char* name = "CreateService";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_service, s.m_patch); }
};
template <> struct Fields<AlterService> {
    static constexpr const char* name = "AlterService";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_service, s.m_patch); }
};
template <> struct Fields<DropService> {
    static constexpr const char* name = "DropService";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_service); }
};
template <> struct Fields<DrainEndpoint> {
    static constexpr const char* name = "DrainEndpoint";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_endpoint); }
};
template <> struct Fields<RestoreEndpoint> {
    static constexpr const char* name = "RestoreEndpoint";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_endpoint); }
};
template <> struct Fields<LiftQuarantine> {
    static constexpr const char* name = "LiftQuarantine";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_fingerprint); }
};
template <> struct Fields<RegisterEndpoint> {
    static constexpr const char* name = "RegisterEndpoint";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_endpoint, s.m_layouts); }
};
template <> struct Fields<DrainOwnEndpoint> {
    static constexpr const char* name = "DrainOwnEndpoint";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_endpoint, s.m_incarnation); }
};
template <> struct Fields<RemoveEndpoints::Target> {
    static constexpr const char* name = "RemoveEndpoints::Target";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_endpoint, s.m_incarnation, s.m_expired); }
};
template <> struct Fields<RemoveEndpoints> {
    static constexpr const char* name = "RemoveEndpoints";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_targets); }
};
template <> struct Fields<AdmitVm> {
    static constexpr const char* name = "AdmitVm";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_vm); }
};
template <> struct Fields<DepartVm> {
    static constexpr const char* name = "DepartVm";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_vm, s.m_incarnation); }
};
template <> struct Fields<RemoveVm> {
    static constexpr const char* name = "RemoveVm";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_vm, s.m_incarnation); }
};
template <> struct Fields<OpenClaim> {
    static constexpr const char* name = "OpenClaim";
    template <typename S> static auto tie(S& s)
    {
        return std::tie(s.m_service, s.m_request, s.m_bodyHash, s.m_vm, s.m_vmIncarnation, s.m_run);
    }
};
template <> struct Fields<SettleClaim> {
    static constexpr const char* name = "SettleClaim";
    template <typename S> static auto tie(S& s)
    {
        return std::tie(
            s.m_service, s.m_request, s.m_vm, s.m_vmIncarnation, s.m_outcome, s.m_answer, s.m_run, s.m_bodyHash);
    }
};
template <> struct Fields<ReportDeath> {
    static constexpr const char* name = "ReportDeath";
    template <typename S> static auto tie(S& s)
    {
        return std::tie(s.m_endpoint, s.m_incarnation, s.m_service, s.m_suspects);
    }
};
template <> struct Fields<ClearSuspect> {
    static constexpr const char* name = "ClearSuspect";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_fingerprint); }
};
template <> struct Fields<AdvanceTime> {
    static constexpr const char* name = "AdvanceTime";
    template <typename S> static auto tie(S&) { return std::tuple<>(); }
};
template <> struct Fields<Command> {
    static constexpr const char* name = "Command";
    template <typename S> static auto tie(S& s)
    {
        return std::tie(s.m_id, s.m_expectedVersion, s.m_proposedAt, s.m_body);
    }
};
template <> struct Fields<CommandResult> {
    static constexpr const char* name = "CommandResult";
    template <typename S> static auto tie(S& s)
    {
        return std::tie(s.m_code, s.m_text, s.m_revision, s.m_version, s.m_claimOpened);
    }
};
template <> struct Fields<ErasedService> {
    static constexpr const char* name = "ErasedService";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_service); }
};
template <> struct Fields<ErasedEndpoint> {
    static constexpr const char* name = "ErasedEndpoint";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_endpoint); }
};
template <> struct Fields<ErasedLayout> {
    static constexpr const char* name = "ErasedLayout";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_layout); }
};
template <> struct Fields<ErasedVm> {
    static constexpr const char* name = "ErasedVm";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_vm); }
};
template <> struct Fields<ErasedQuarantine> {
    static constexpr const char* name = "ErasedQuarantine";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_fingerprint); }
};
template <> struct Fields<OperatorDrainChange> {
    static constexpr const char* name = "OperatorDrainChange";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_endpoint, s.m_drained); }
};
template <> struct Fields<Hello> {
    static constexpr const char* name = "Hello";
    template <typename S> static auto tie(S& s)
    {
        return std::tie(s.m_vm, s.m_incarnation, s.m_dataCentre, s.m_address, s.m_appliedRevision, s.m_appliedDigest);
    }
};
template <> struct Fields<Renew> {
    static constexpr const char* name = "Renew";
    template <typename S> static auto tie(S& s)
    {
        return std::tie(s.m_sequence, s.m_appliedRevision, s.m_endpointRenewals, s.m_leaving);
    }
};
template <> struct Fields<CommandRequest> {
    static constexpr const char* name = "CommandRequest";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_sequence, s.m_command); }
};
template <> struct Fields<StatusRequest> {
    static constexpr const char* name = "StatusRequest";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_sequence, s.m_revision); }
};
template <> struct Fields<NotLeader> {
    static constexpr const char* name = "NotLeader";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_leaderAddress, s.m_sequence); }
};
template <> struct Fields<ControlAddresses> {
    static constexpr const char* name = "ControlAddresses";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_addresses); }
};
template <> struct Fields<Grant> {
    static constexpr const char* name = "Grant";
    template <typename S> static auto tie(S& s)
    {
        return std::tie(s.m_sequence, s.m_remaining, s.m_admitted, s.m_logTime);
    }
};
template <> struct Fields<Delta> {
    static constexpr const char* name = "Delta";
    template <typename S> static auto tie(S& s)
    {
        return std::tie(s.m_from, s.m_to, s.m_configurationVersion, s.m_changes, s.m_digest);
    }
};
template <> struct Fields<FullCopy> {
    static constexpr const char* name = "FullCopy";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_state, s.m_digest); }
};
template <> struct Fields<CommandReply> {
    static constexpr const char* name = "CommandReply";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_sequence, s.m_result); }
};
template <> struct Fields<StatusReply> {
    static constexpr const char* name = "StatusReply";
    template <typename S> static auto tie(S& s)
    {
        return std::tie(s.m_sequence, s.m_holdersConfirmed, s.m_holdersTotal, s.m_inForce);
    }
};
template <> struct Fields<AdminRequest> {
    static constexpr const char* name = "AdminRequest";
    template <typename S> static auto tie(S& s)
    {
        return std::tie(s.m_sequence, s.m_action, s.m_argument, s.m_address);
    }
};
template <> struct Fields<AdminReply> {
    static constexpr const char* name = "AdminReply";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_sequence, s.m_code, s.m_text, s.m_rows); }
};
template <> struct Fields<ClaimKey> {
    static constexpr const char* name = "ClaimKey";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_seconds, s.m_service, s.m_request); }
};
template <> struct Fields<ClaimRecord> {
    static constexpr const char* name = "ClaimRecord";
    template <typename S> static auto tie(S& s)
    {
        return std::tie(s.m_bodyHash, s.m_vm, s.m_vmIncarnation, s.m_run, s.m_phase, s.m_answerKept, s.m_answer);
    }
};
template <> struct Fields<StoredResult> {
    static constexpr const char* name = "StoredResult";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_commandHash, s.m_number, s.m_at, s.m_result); }
};
template <> struct Fields<SuspectRecord> {
    static constexpr const char* name = "SuspectRecord";
    template <typename S> static auto tie(S& s)
    {
        return std::tie(s.m_service, s.m_endpoints, s.m_cleared, s.m_updatedAt);
    }
};
template <> struct Fields<LeftEndpoint> {
    static constexpr const char* name = "LeftEndpoint";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_incarnation, s.m_at); }
};
template <> struct Fields<ControlState> {
    static constexpr const char* name = "ControlState";
    template <typename S> static auto tie(S& s)
    {
        return std::tie(s.m_published, s.m_logTime, s.m_claims, s.m_results, s.m_lastResultNumber, s.m_suspects,
            s.m_leftEndpoints, s.m_routesDocument);
    }
};

template <> struct Fields<ProposedCommand> {
    static constexpr const char* name = "ProposedCommand";
    template <typename S> static auto tie(S& s) { return std::tie(s.m_proposer, s.m_number, s.m_command); }
};

// Greatest valid value of each transmitted enumeration.
template <typename E> struct EnumLimit;
template <> struct EnumLimit<SnapshotPolicy> {
    static constexpr SnapshotPolicy last = SnapshotPolicy::Fullest;
};
template <> struct EnumLimit<AnswerPreference> {
    static constexpr AnswerPreference last = AnswerPreference::Full;
};
template <> struct EnumLimit<Idempotence> {
    static constexpr Idempotence last = Idempotence::NonIdempotent;
};
template <> struct EnumLimit<ClaimOutcome> {
    static constexpr ClaimOutcome last = ClaimOutcome::Unknown;
};
template <> struct EnumLimit<AdminAction> {
    static constexpr AdminAction last = AdminAction::RemoveMember;
};
template <> struct EnumLimit<ClaimPhase> {
    static constexpr ClaimPhase last = ClaimPhase::Lost;
};
template <> struct EnumLimit<ResultCode> {
    static constexpr ResultCode last = static_cast<ResultCode>(4999);
};

} // namespace flamingo::detail
