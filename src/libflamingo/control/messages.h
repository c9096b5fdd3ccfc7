#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "control/command.h"
#include "control/commandresult.h"
#include "control/publishedstate.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace flamingo {

// Records that changed between two revisions. An erased record is named by its key alone.
struct ErasedService {
    ServiceName m_service;
};
struct ErasedEndpoint {
    EndpointId m_endpoint;
};
struct ErasedLayout {
    LayoutKey m_layout;
};
struct ErasedVm {
    VmId m_vm;
};
struct ErasedQuarantine {
    Fingerprint m_fingerprint;
};
struct ErasedRoute {
    RouteKey m_route;
};
struct ErasedRoutedService {
    ServiceName m_service;
};
struct OperatorDrainChange {
    EndpointId m_endpoint;
    bool m_drained = false;
};
using Change = std::variant<ServiceDefinition, EndpointRecord, SnapshotLayout, VmRecord, QuarantineRecord,
    ErasedService, ErasedEndpoint, ErasedLayout, ErasedVm, ErasedQuarantine, OperatorDrainChange, RouteHeader, Route,
    RoutedService, ErasedRoute, ErasedRoutedService>;

// Entry VM to control.
struct Hello {
    VmId m_vm;
    Incarnation m_incarnation;
    DataCentreName m_dataCentre;
    std::string m_address; // caller interface, IP address and port
    Revision m_appliedRevision;
    std::uint64_t m_appliedDigest = 0;
};
struct Renew {
    std::uint64_t m_sequence = 0;
    Revision m_appliedRevision;
    std::vector<EndpointId> m_endpointRenewals; // endpoints that renewed at this VM since the last message
    bool m_leaving = false; // graceful shutdown: the lease ends at once
};
struct CommandRequest {
    std::uint64_t m_sequence = 0; // pairs the reply with the request on this link
    Command m_command;
};
struct StatusRequest {
    std::uint64_t m_sequence = 0;
    Revision m_revision; // revision of the command that is waited for
};

enum class AdminAction {
    ListMembers,
    ListLeases,
    ListClaims,
    AddMember, // a control VM by name and address
    RemoveMember, // by member id
};
/** Asks the leader about, or changes, what the published state does not hold. */
struct AdminRequest {
    std::uint64_t m_sequence = 0;
    AdminAction m_action = AdminAction::ListMembers;
    std::string m_argument; // service of the claims, VM name or member id
    std::string m_address; // of a member to add, IP address and port
};

// Control to entry VM.
struct NotLeader {
    std::string m_leaderAddress; // empty when unknown
    std::uint64_t m_sequence = 0; // of the refused request; 0 for a refused Hello or Renew
};
/** Where the control VMs can be found; sent after a Hello and by the leader when their list changes. */
struct ControlAddresses {
    std::vector<std::string> m_addresses; // IP address and port
};
struct Grant {
    std::uint64_t m_sequence = 0; // of the Renew that it answers
    Milliseconds m_remaining { 0 }; // counted from the moment the Renew was sent; 0 when no lease is granted
    bool m_admitted = false; // the VM's admission is in force, so that it may serve and connect
    LogTime m_logTime;
};
struct Delta {
    Revision m_from;
    Revision m_to;
    ConfigurationVersion m_configurationVersion;
    std::vector<Change> m_changes;
    std::uint64_t m_digest = 0; // of the state after the changes
};
struct FullCopy {
    PublishedState m_state;
    std::uint64_t m_digest = 0;
};
struct CommandReply {
    std::uint64_t m_sequence = 0;
    CommandResult m_result;
};
struct StatusReply {
    std::uint64_t m_sequence = 0;
    std::uint32_t m_holdersConfirmed = 0;
    std::uint32_t m_holdersTotal = 0;
    bool m_inForce = false;
};

struct AdminReply {
    std::uint64_t m_sequence = 0;
    ResultCode m_code = ResultCode::Ok;
    std::string m_text;
    std::string m_rows = "[]"; // JSON array of objects
};

using ControlMessage = std::variant<Hello, Renew, CommandRequest, StatusRequest, NotLeader, Grant, Delta, FullCopy,
    CommandReply, StatusReply, AdminRequest, AdminReply, ControlAddresses>;

} // namespace flamingo
