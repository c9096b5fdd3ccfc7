#include "control/applycontext.h"

#include <algorithm>
#include <cstdio>
#include <limits>

namespace flamingo::detail {

namespace {

constexpr std::size_t maxSuspectsInReport = 4096;

std::string hexadecimal(Fingerprint fingerprint)
{
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(fingerprint.value()));
    return text;
}

// Restarts the expiry time of the record.
void refreshSuspect(ControlState& state, Fingerprint fingerprint, SuspectRecord& suspect)
{
    state.m_suspectsByTime.erase({ suspect.m_updatedAt, fingerprint });
    suspect.m_updatedAt = state.m_logTime;
    state.m_suspectsByTime.emplace(suspect.m_updatedAt, fingerprint);
}

void enforceSuspectLimit(ControlState& state)
{
    while (state.m_suspects.size() > maxSuspects)
        eraseSuspect(state, state.m_suspectsByTime.begin()->second);
}

void quarantine(ApplyContext& context, Fingerprint fingerprint, const SuspectRecord& suspect)
{
    QuarantineRecord record;
    record.m_fingerprint = fingerprint;
    record.m_service = suspect.m_service;
    record.m_endpoints.assign(suspect.m_endpoints.begin(), suspect.m_endpoints.end());
    record.m_expiresAt = plus(context.m_state.m_logTime, quarantinePeriod);
    context.change(std::move(record));
    updateNextQuarantineExpiry(context.m_state);
}

void addDeath(ApplyContext& context, Fingerprint fingerprint, const ReportDeath& command)
{
    ControlState& state = context.m_state;
    SuspectRecord& suspect = state.m_suspects[fingerprint];
    if (suspect.m_cleared)
        return;
    suspect.m_service = command.m_service;
    suspect.m_endpoints.insert(command.m_endpoint);
    refreshSuspect(state, fingerprint, suspect);
    if (suspect.m_endpoints.size() < quarantineThreshold || state.m_published.m_quarantine.count(fingerprint) > 0)
        return;
    quarantine(context, fingerprint, suspect);
}

} // namespace

void updateNextQuarantineExpiry(ControlState& state)
{
    state.m_nextQuarantineExpiry = LogTime(std::numeric_limits<std::int64_t>::max());
    for (const auto& [fingerprint, record] : state.m_published.m_quarantine)
        state.m_nextQuarantineExpiry = std::min(state.m_nextQuarantineExpiry, record.m_expiresAt);
}

void eraseSuspect(ControlState& state, Fingerprint fingerprint)
{
    const auto suspect = state.m_suspects.find(fingerprint);
    if (suspect == state.m_suspects.end())
        return;
    state.m_suspectsByTime.erase({ suspect->second.m_updatedAt, fingerprint });
    state.m_suspects.erase(suspect);
}

void expireSuspects(ApplyContext& context)
{
    ControlState& state = context.m_state;
    const LogTime oldest = minus(state.m_logTime, quarantinePeriod);
    while (!state.m_suspectsByTime.empty() && state.m_suspectsByTime.begin()->first < oldest)
        eraseSuspect(state, state.m_suspectsByTime.begin()->second);
    if (state.m_published.m_quarantine.empty() || state.m_logTime < state.m_nextQuarantineExpiry)
        return;
    std::vector<Fingerprint> expired;
    for (const auto& [fingerprint, record] : state.m_published.m_quarantine) {
        if (record.m_expiresAt <= state.m_logTime)
            expired.push_back(fingerprint);
    }
    for (const Fingerprint fingerprint : expired) {
        context.change(ErasedQuarantine { fingerprint });
        eraseSuspect(state, fingerprint);
    }
    updateNextQuarantineExpiry(state);
}

CommandResult applyBody(ApplyContext& context, const ReportDeath& command)
{
    if (!isValidName(command.m_endpoint.value()) || command.m_suspects.size() > maxSuspectsInReport)
        return refusal(ResultCode::InvalidField,
            "a death report needs a valid endpoint id and at most " + std::to_string(maxSuspectsInReport)
                + " fingerprints");
    // The result lists all reported fingerprints that are quarantined now, including those quarantined by earlier
    // reports, because the reporting VM waits for the decision.
    std::string quarantined;
    for (const Fingerprint fingerprint : command.m_suspects) {
        addDeath(context, fingerprint, command);
        if (context.m_state.m_published.m_quarantine.count(fingerprint) > 0)
            quarantined += (quarantined.empty() ? "quarantined: " : ", ") + hexadecimal(fingerprint);
    }
    enforceSuspectLimit(context.m_state);
    return success(quarantined);
}

CommandResult applyBody(ApplyContext& context, const ClearSuspect& command)
{
    ControlState& state = context.m_state;
    const auto suspect = state.m_suspects.find(command.m_fingerprint);
    if (suspect != state.m_suspects.end()) {
        suspect->second.m_cleared = true;
        suspect->second.m_endpoints.clear();
        refreshSuspect(state, command.m_fingerprint, suspect->second);
    }
    if (state.m_published.m_quarantine.count(command.m_fingerprint) > 0)
        context.change(ErasedQuarantine { command.m_fingerprint });
    return success();
}

CommandResult applyBody(ApplyContext& context, const LiftQuarantine& command)
{
    if (context.m_state.m_published.m_quarantine.count(command.m_fingerprint) > 0)
        context.change(ErasedQuarantine { command.m_fingerprint });
    eraseSuspect(context.m_state, command.m_fingerprint);
    return success();
}

} // namespace flamingo::detail
