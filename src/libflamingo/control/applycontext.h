#pragma once

#include "control/apply.h"
#include "control/applychange.h"

#include <string>

namespace flamingo::detail {

/** State and changes that the applyBody() functions of the commands work on. */
struct ApplyContext {
    ControlState& m_state;
    std::vector<Change>& m_changes;

    /** Returns the revision that the state has after this command if the command changes it. */
    Revision nextRevision() const { return Revision(m_state.m_published.m_revision.value() + 1); }
    /** Returns the configuration version that the state has after this operator command if it succeeds. */
    ConfigurationVersion nextVersion() const
    {
        return ConfigurationVersion(m_state.m_published.m_configurationVersion.value() + 1);
    }
    /** Applies a change to the published state and records it for the deltas. */
    void change(Change change)
    {
        applyChange(m_state.m_published, change);
        m_changes.push_back(std::move(change));
    }
};

inline LogTime plus(LogTime time, Milliseconds period) { return LogTime(time.value() + period.count()); }
inline LogTime minus(LogTime time, Milliseconds period) { return LogTime(time.value() - period.count()); }

CommandResult success(std::string text = {});
CommandResult refusal(ResultCode code, std::string text);

/** Returns whether the name has 1 to 128 bytes and no control characters. */
bool isValidName(const std::string& name);

// Operator commands on services and endpoints (applyservices.cpp).
CommandResult applyBody(ApplyContext& context, const CreateService& command);
CommandResult applyBody(ApplyContext& context, const AlterService& command);
CommandResult applyBody(ApplyContext& context, const DropService& command);
CommandResult applyBody(ApplyContext& context, const DrainEndpoint& command);
CommandResult applyBody(ApplyContext& context, const RestoreEndpoint& command);

// Routes (applyroutes.cpp).
CommandResult applyBody(ApplyContext& context, const ReplaceRoutes& command);
CommandResult applyBody(ApplyContext& context, const SetEvacuation& command);

// Registration and removal of endpoints (applyendpoints.cpp).
/** Checks the fields of a registration that can be checked without the state. Thread-safe. */
CommandResult checkEndpoint(const EndpointRecord& endpoint);
CommandResult applyBody(ApplyContext& context, const RegisterEndpoint& command);
CommandResult applyBody(ApplyContext& context, const DrainOwnEndpoint& command);
CommandResult applyBody(ApplyContext& context, const RemoveEndpoints& command);
void eraseEndpoint(ApplyContext& context, const EndpointRecord& endpoint);
/**
 * Erases layouts of the service that no endpoint holds: those superseded by a complete snapshot, and the oldest
 * ones beyond maxUnheldLayouts.
 */
void eraseObsoleteLayouts(ApplyContext& context, const ServiceName& service);
/** Adds the holdings of an endpoint to the layout use counts, or subtracts them. */
void updateLayoutUse(ControlState& state, const EndpointRecord& endpoint, bool add);

// Entry VMs (applyvms.cpp).
CommandResult applyBody(ApplyContext& context, const AdmitVm& command);
CommandResult applyBody(ApplyContext& context, const DepartVm& command);
CommandResult applyBody(ApplyContext& context, const RemoveVm& command);

// Claims (applyclaims.cpp).
CommandResult applyBody(ApplyContext& context, const OpenClaim& command);
CommandResult applyBody(ApplyContext& context, const SettleClaim& command);
/** Marks all claims that the VM process holds open as lost. */
void markClaimsLost(ControlState& state, const VmId& vm, Incarnation incarnation);
void expireClaims(ControlState& state);

// Crash suspects and quarantine (applysuspects.cpp).
CommandResult applyBody(ApplyContext& context, const ReportDeath& command);
CommandResult applyBody(ApplyContext& context, const ClearSuspect& command);
CommandResult applyBody(ApplyContext& context, const LiftQuarantine& command);
void eraseSuspect(ControlState& state, Fingerprint fingerprint);
void expireSuspects(ApplyContext& context);
/** Recomputes the time at which the next quarantine expires. */
void updateNextQuarantineExpiry(ControlState& state);

} // namespace flamingo::detail
