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

// Changes of records between two revisions. An erased record is identified by its key.
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
struct ErasedCustomer {
    CustomerName m_customer;
};
struct EvacuationChange {
    DataCentreName m_dataCentre;
    bool m_evacuated = false;
};
using Change = std::variant<ServiceDefinition, EndpointRecord, SnapshotLayout, VmRecord, QuarantineRecord,
    ErasedService, ErasedEndpoint, ErasedLayout, ErasedVm, ErasedQuarantine, OperatorDrainChange, RouteHeader, Route,
    RoutedService, ErasedRoute, ErasedRoutedService, Customer, ErasedCustomer, EvacuationChange>;

// Messages from entry VMs to control VMs.
struct Hello {
    VmId m_vm;
    Incarnation m_incarnation;
    DataCentreName m_dataCentre;
    std::string m_address; // IP address and port of the caller interface
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
    std::uint64_t m_sequence = 0; // matches the reply with the request on this link
    Command m_command;
};
struct StatusRequest {
    std::uint64_t m_sequence = 0;
    Revision m_revision; // revision of the command whose status is asked for
};

enum class AdminAction {
    ListMembers,
    ListLeases,
    ListClaims,
    AddMember, // adds a control VM, given by name and address
    RemoveMember, // removes a control VM, given by member id
};
/** Asks the leader to list or change data that is not part of the published state. */
struct AdminRequest {
    std::uint64_t m_sequence = 0;
    AdminAction m_action = AdminAction::ListMembers;
    std::string m_argument; // service whose claims are listed, name of the VM to add, or id of the member to remove
    std::string m_address; // IP address and port of the member to add
};

// Messages from control VMs to entry VMs.
struct NotLeader {
    std::string m_leaderAddress; // address of the leader; empty if unknown
    std::uint64_t m_sequence = 0; // sequence of the refused request; 0 for a refused Hello or Renew
};
/** Addresses of the control VMs; sent after a Hello, and by the leader when they change. */
struct ControlAddresses {
    std::vector<std::string> m_addresses; // IP address and port of each control VM
};
struct Grant {
    std::uint64_t m_sequence = 0; // sequence of the Renew that it answers
    Milliseconds m_remaining { 0 }; // lease counted from the send time of the Renew; 0 if no lease is granted
    bool m_admitted = false; // the admission of the VM is in force, so that it may serve and connect
    LogTime m_logTime;
};
struct Delta {
    Revision m_from;
    Revision m_to;
    ConfigurationVersion m_configurationVersion;
    std::vector<Change> m_changes;
    std::uint64_t m_digest = 0; // digest of the state after the changes
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
