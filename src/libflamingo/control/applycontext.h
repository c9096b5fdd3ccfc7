#pragma once

#include "control/apply.h"
#include "control/applychange.h"

#include <string>

namespace flamingo::detail {

/** What the functions for the single commands work on. */
struct ApplyContext {
    ControlState& m_state;
    std::vector<Change>& m_changes;

    /** Returns the revision that the changes of this command get. */
    Revision nextRevision() const { return Revision(m_state.m_published.m_revision.value() + 1); }
    /** Returns the configuration version after a successful operator command. */
    ConfigurationVersion nextVersion() const
    {
        return ConfigurationVersion(m_state.m_published.m_configurationVersion.value() + 1);
    }
    /** Changes the published state and notes the change for the deltas. */
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

// Names are 1 to 128 bytes without control characters.
bool isValidName(const std::string& name);

// Operators (applyservices.cpp).
CommandResult applyBody(ApplyContext& context, const CreateService& command);
CommandResult applyBody(ApplyContext& context, const AlterService& command);
CommandResult applyBody(ApplyContext& context, const DropService& command);
CommandResult applyBody(ApplyContext& context, const DrainEndpoint& command);
CommandResult applyBody(ApplyContext& context, const RestoreEndpoint& command);

// Routes (applyroutes.cpp).
CommandResult applyBody(ApplyContext& context, const ReplaceRoutes& command);

// Announcements (applyendpoints.cpp).
CommandResult applyBody(ApplyContext& context, const RegisterEndpoint& command);
CommandResult applyBody(ApplyContext& context, const DrainOwnEndpoint& command);
CommandResult applyBody(ApplyContext& context, const RemoveEndpoints& command);
void eraseEndpoint(ApplyContext& context, const EndpointRecord& endpoint);
void collectLayouts(ApplyContext& context, const ServiceName& service);
void countHoldings(ControlState& state, const EndpointRecord& endpoint, bool add);

// Entry VMs (applyvms.cpp).
CommandResult applyBody(ApplyContext& context, const AdmitVm& command);
CommandResult applyBody(ApplyContext& context, const DepartVm& command);
CommandResult applyBody(ApplyContext& context, const RemoveVm& command);

// Claims (applyclaims.cpp).
CommandResult applyBody(ApplyContext& context, const OpenClaim& command);
CommandResult applyBody(ApplyContext& context, const SettleClaim& command);
void loseClaims(ControlState& state, const VmId& vm, Incarnation incarnation);
void expireClaims(ControlState& state);

// Crash evidence (applysuspects.cpp).
CommandResult applyBody(ApplyContext& context, const ReportDeath& command);
CommandResult applyBody(ApplyContext& context, const ClearSuspect& command);
CommandResult applyBody(ApplyContext& context, const LiftQuarantine& command);
void eraseSuspect(ControlState& state, Fingerprint fingerprint);
void expireSuspects(ApplyContext& context);
void noteQuarantineExpiry(ControlState& state);

} // namespace flamingo::detail
