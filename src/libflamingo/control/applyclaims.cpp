#include "control/applycontext.h"

#include "control/requestid.h"

namespace flamingo::detail {

namespace {

constexpr std::int64_t millisecondsPerSecond = 1000;

bool isHolder(const ClaimRecord& claim, const VmId& vm, Incarnation incarnation, std::uint64_t run)
{
    return claim.m_vm == vm && claim.m_vmIncarnation == incarnation && claim.m_run == run;
}

bool isOlderThanClaimWindow(LogTime idTime, LogTime now) { return idTime < minus(now, claimWindow); }

CommandResult checkRequestTime(const ControlState& state, const ClaimKey& key)
{
    const LogTime idTime(key.m_seconds * millisecondsPerSecond);
    if (isOlderThanClaimWindow(idTime, state.m_logTime))
        return refusal(ResultCode::RequestIdExpired, "the request id is older than 24 h");
    if (idTime > plus(state.m_logTime, maxClaimClockSkew))
        return refusal(ResultCode::RequestIdExpired, "the request id is more than 5 min ahead of the system's time");
    return success();
}

bool isAdmitted(const ControlState& state, const VmId& vm, Incarnation incarnation)
{
    const auto position = state.m_published.m_vms.find(vm);
    return position != state.m_published.m_vms.end() && position->second.m_incarnation == incarnation
        && !position->second.m_departed;
}

// Inserts or replaces a claim and updates the members of the state that are derived from it.
void putClaim(ControlState& state, const ClaimKey& key, ClaimRecord claim)
{
    const auto [position, isNew] = state.m_claims.try_emplace(key);
    ClaimRecord& record = position->second;
    if (!isNew) {
        state.m_claimBytes -= claimBytes(key, record);
        if (record.m_phase == ClaimPhase::InProgress) {
            const auto open = state.m_openClaims.find({ record.m_vm, record.m_vmIncarnation });
            open->second.erase(key);
            if (open->second.empty())
                state.m_openClaims.erase(open);
        }
    }
    record = std::move(claim);
    state.m_claimBytes += claimBytes(key, record);
    if (record.m_phase == ClaimPhase::InProgress)
        state.m_openClaims[{ record.m_vm, record.m_vmIncarnation }].insert(key);
}

// Records that the run of the command holds the claim, and tells it that it may send.
CommandResult recordOpenClaim(ControlState& state, const ClaimKey& key, const OpenClaim& command)
{
    ClaimRecord claim;
    claim.m_bodyHash = command.m_bodyHash;
    claim.m_vm = command.m_vm;
    claim.m_vmIncarnation = command.m_vmIncarnation;
    claim.m_run = command.m_run;
    putClaim(state, key, std::move(claim));
    CommandResult result = success();
    result.m_claimOpened = true;
    return result;
}

// Returns the answer that follows from the phase of an existing claim, or nothing if the claim may be opened again.
std::optional<CommandResult> answerFromClaim(const ClaimRecord& claim, const OpenClaim& command)
{
    if (claim.m_bodyHash != command.m_bodyHash)
        return refusal(ResultCode::RequestIdReused,
            "request id " + command.m_request.value() + " was used with another body or kind");
    const bool sameRun = isHolder(claim, command.m_vm, command.m_vmIncarnation, command.m_run);
    switch (claim.m_phase) {
    case ClaimPhase::InProgress: {
        if (!sameRun)
            return refusal(ResultCode::StillRunning, "the request is in progress through VM " + claim.m_vm.value());
        CommandResult result = success();
        result.m_claimOpened = true; // the holder resent the command after the answer was lost
        return result;
    }
    case ClaimPhase::Done:
        if (!claim.m_answerKept)
            return refusal(ResultCode::OutcomeUnknown, "the request ran once; its answer was too large to be stored");
        return success(claim.m_answer);
    case ClaimPhase::NotRun:
        if (sameRun)
            return refusal(ResultCode::ControlUnavailable, "this run was abandoned before its claim was opened");
        return std::nullopt;
    case ClaimPhase::Unknown:
        return refusal(ResultCode::OutcomeUnknown, "the request may have run once; it will not run again");
    case ClaimPhase::Lost:
        return refusal(ResultCode::OutcomeUnknown,
            "VM " + claim.m_vm.value()
                + " was lost while it held the request, which may have run once; it will not run again");
    }
    return refusal(ResultCode::InternalError, "the claim has an unknown phase");
}

ClaimPhase phaseFor(ClaimOutcome outcome)
{
    switch (outcome) {
    case ClaimOutcome::Done:
        return ClaimPhase::Done;
    case ClaimOutcome::NotRun:
        return ClaimPhase::NotRun;
    case ClaimOutcome::Unknown:
        break;
    }
    return ClaimPhase::Unknown;
}

// A claim is settled once. After that its holder may only change its own outcome from Unknown to Done, and may
// still settle a claim that was marked as lost when the holder departed.
bool maySettle(ClaimPhase from, ClaimPhase to)
{
    return from == ClaimPhase::InProgress || from == ClaimPhase::Lost
        || (from == ClaimPhase::Unknown && to == ClaimPhase::Done);
}

// Records a run that was abandoned before its OpenClaim was applied, so that a delayed OpenClaim of that run is
// refused.
CommandResult recordAbandonedRun(ControlState& state, const ClaimKey& key, const SettleClaim& command)
{
    ClaimRecord claim;
    claim.m_bodyHash = command.m_bodyHash;
    claim.m_vm = command.m_vm;
    claim.m_vmIncarnation = command.m_vmIncarnation;
    claim.m_run = command.m_run;
    claim.m_phase = ClaimPhase::NotRun;
    if (state.m_claimBytes + claimBytes(key, claim) <= maxClaimBytes)
        putClaim(state, key, std::move(claim));
    return success();
}

} // namespace

void markClaimsLost(ControlState& state, const VmId& vm, Incarnation incarnation)
{
    const auto open = state.m_openClaims.find({ vm, incarnation });
    if (open == state.m_openClaims.end())
        return;
    for (const ClaimKey& key : open->second)
        state.m_claims.at(key).m_phase = ClaimPhase::Lost;
    state.m_openClaims.erase(open);
}

void expireClaims(ControlState& state)
{
    while (!state.m_claims.empty()) {
        const auto oldest = state.m_claims.begin();
        if (!isOlderThanClaimWindow(LogTime(oldest->first.m_seconds * millisecondsPerSecond), state.m_logTime))
            return;
        const auto open = state.m_openClaims.find({ oldest->second.m_vm, oldest->second.m_vmIncarnation });
        if (open != state.m_openClaims.end() && open->second.erase(oldest->first) > 0 && open->second.empty())
            state.m_openClaims.erase(open);
        state.m_claimBytes -= claimBytes(oldest->first, oldest->second);
        state.m_claims.erase(oldest);
    }
}

CommandResult applyBody(ApplyContext& context, const OpenClaim& command)
{
    ControlState& state = context.m_state;
    Reason reason;
    const auto seconds = requestIdSeconds(command.m_request, reason);
    if (!seconds)
        return refusal(reason.m_code, reason.m_text);
    if (command.m_run == 0)
        return refusal(ResultCode::InvalidField, "the run number of a claim must not be 0");
    const ClaimKey key { *seconds, command.m_service, command.m_request };
    CommandResult result = checkRequestTime(state, key);
    if (result.m_code != ResultCode::Ok)
        return result;
    if (!isAdmitted(state, command.m_vm, command.m_vmIncarnation))
        return refusal(ResultCode::NoLease, "VM " + command.m_vm.value() + " is not admitted");
    const auto existing = state.m_claims.find(key);
    if (existing != state.m_claims.end()) {
        const auto answer = answerFromClaim(existing->second, command);
        return answer ? *answer : recordOpenClaim(state, key, command);
    }
    if (state.m_published.m_services.count(command.m_service) == 0)
        return refusal(ResultCode::UnknownService, "there is no service " + command.m_service.value());
    ClaimRecord claim;
    claim.m_vm = command.m_vm;
    if (state.m_claimBytes + claimBytes(key, claim) > maxClaimBytes)
        return refusal(ResultCode::ClaimsFull, "the claims of the last 24 h have reached their memory limit");
    return recordOpenClaim(state, key, command);
}

CommandResult applyBody(ApplyContext& context, const SettleClaim& command)
{
    ControlState& state = context.m_state;
    Reason reason;
    const auto seconds = requestIdSeconds(command.m_request, reason);
    if (!seconds)
        return refusal(reason.m_code, reason.m_text);
    if (command.m_run == 0)
        return refusal(ResultCode::InvalidField, "the run number of a claim must not be 0");
    const ClaimKey key { *seconds, command.m_service, command.m_request };
    const auto position = state.m_claims.find(key);
    const ClaimPhase phase = phaseFor(command.m_outcome);
    if (position == state.m_claims.end()) {
        if (phase == ClaimPhase::NotRun && command.m_bodyHash != 0
            && checkRequestTime(state, key).m_code == ResultCode::Ok)
            return recordAbandonedRun(state, key, command);
        return refusal(ResultCode::UnknownName, "there is no claim for request id " + command.m_request.value());
    }
    const ClaimRecord& claim = position->second;
    if (!isHolder(claim, command.m_vm, command.m_vmIncarnation, command.m_run))
        return refusal(ResultCode::UnknownName,
            "the claim for request id " + command.m_request.value() + " is held by another run");
    if (claim.m_phase == phase)
        return success();
    if (!maySettle(claim.m_phase, phase))
        return refusal(ResultCode::AlreadyExists, "the claim is already settled");
    ClaimRecord settled = claim;
    settled.m_phase = phase;
    if (phase == ClaimPhase::Done && command.m_answer.size() <= maxAnswerBytes
        && state.m_claimBytes + command.m_answer.size() <= maxClaimBytes) {
        settled.m_answer = command.m_answer;
        settled.m_answerKept = true;
    }
    putClaim(state, key, std::move(settled));
    return success();
}

} // namespace flamingo::detail

namespace flamingo {

std::size_t claimBytes(const ClaimKey& key, const ClaimRecord& claim)
{
    // Tree node, key, record and the heap blocks of their strings; bench/control measures the memory of a claim.
    constexpr std::size_t fixedBytes = 320;
    return fixedBytes + key.m_service.value().size() + key.m_request.value().size() + claim.m_vm.value().size()
        + claim.m_answer.size();
}

} // namespace flamingo
