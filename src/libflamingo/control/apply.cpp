#include "control/apply.h"

#include "control/applycontext.h"
#include "control/digest.h"

#include <limits>

namespace flamingo {

namespace detail {

CommandResult success(std::string text)
{
    CommandResult result;
    result.m_text = std::move(text);
    return result;
}

CommandResult refusal(ResultCode code, std::string text)
{
    CommandResult result;
    result.m_code = code;
    result.m_text = std::move(text);
    return result;
}

bool isValidName(const std::string& name)
{
    constexpr std::size_t maxLength = 128;
    if (name.empty() || name.size() > maxLength)
        return false;
    for (const char c : name) {
        if (static_cast<unsigned char>(c) < ' ' || c == '\x7f')
            return false;
    }
    return true;
}

namespace {

CommandResult applyBody(ApplyContext&, const AdvanceTime&) { return success(); }

void eraseResult(ControlState& state, std::uint64_t number, const CommandId& id)
{
    state.m_results.erase(id);
    state.m_resultsByNumber.erase(number);
}

void expireResults(ControlState& state)
{
    const LogTime oldest = minus(state.m_logTime, resultWindow);
    while (!state.m_resultsByNumber.empty()) {
        const auto [number, id] = *state.m_resultsByNumber.begin();
        if (state.m_results.size() <= maxResults && state.m_results.at(id).m_at >= oldest)
            return;
        eraseResult(state, number, id);
    }
}

void expireLeftEndpoints(ControlState& state)
{
    const LogTime oldest = minus(state.m_logTime, leftEndpointRetention);
    while (!state.m_leftEndpointsByTime.empty() && state.m_leftEndpointsByTime.begin()->first < oldest) {
        state.m_leftEndpoints.erase(state.m_leftEndpointsByTime.begin()->second);
        state.m_leftEndpointsByTime.erase(state.m_leftEndpointsByTime.begin());
    }
}

CommandResult applyAnyBody(ApplyContext& context, const CommandBody& body)
{
    return std::visit([&context](const auto& alternative) { return applyBody(context, alternative); }, body);
}

void storeResult(ControlState& state, const Command& command, std::uint64_t hash, const CommandResult& result)
{
    const std::uint64_t number = ++state.m_lastResultNumber;
    state.m_results[command.m_id] = StoredResult { hash, number, state.m_logTime, result };
    state.m_resultsByNumber[number] = command.m_id;
    expireResults(state);
}

// Returns Ok if the command expects no version or the current one.
CommandResult checkExpectedVersion(const ControlState& state, const Command& command)
{
    const ConfigurationVersion current = state.m_published.m_configurationVersion;
    if (!command.m_expectedVersion || *command.m_expectedVersion == current)
        return success();
    return refusal(ResultCode::VersionMismatch,
        "the command expects configuration version " + std::to_string(command.m_expectedVersion->value())
            + ", the current version is " + std::to_string(current.value()));
}

CommandResult withRevisionAndVersion(const ControlState& state, CommandResult result)
{
    result.m_revision = state.m_published.m_revision;
    result.m_version = state.m_published.m_configurationVersion;
    return result;
}

void advanceRevision(ApplyContext& context, bool byOperator)
{
    PublishedState& published = context.m_state.m_published;
    const Revision revision = context.nextRevision();
    if (byOperator)
        published.m_configurationVersion = context.nextVersion();
    published.m_revision = revision;
}

CommandResult applyOperatorCommand(ApplyContext& context, const Command& command)
{
    ControlState& state = context.m_state;
    const std::size_t expiryChangeCount = context.m_changes.size();
    const auto finish = [&](const CommandResult& result, bool changed) {
        if (changed || expiryChangeCount > 0)
            advanceRevision(context, changed);
        return withRevisionAndVersion(state, result);
    };
    if (!isValidName(command.m_id.value()))
        return finish(refusal(ResultCode::InvalidField, "a command needs a command id of 1 to 128 characters"), false);
    const std::uint64_t hash = commandHash(command);
    const auto earlier = state.m_results.find(command.m_id);
    if (earlier != state.m_results.end()) {
        if (earlier->second.m_commandHash == hash) {
            CommandResult result = earlier->second.m_result;
            finish({}, false);
            return result;
        }
        return finish(refusal(ResultCode::CommandIdReused,
                          "command id " + command.m_id.value() + " was used for another command"),
            false);
    }
    CommandResult result = checkExpectedVersion(state, command);
    if (result.m_code == ResultCode::Ok)
        result = applyAnyBody(context, command.m_body);
    // Each successful command increments the version, even if it changed no record: of two equal commands
    // with the same expected version only one may succeed.
    result = finish(result, result.m_code == ResultCode::Ok);
    storeResult(state, command, hash, result);
    return result;
}

} // namespace

} // namespace detail

bool isOperatorCommand(const CommandBody& body)
{
    return std::holds_alternative<CreateService>(body) || std::holds_alternative<AlterService>(body)
        || std::holds_alternative<DropService>(body) || std::holds_alternative<DrainEndpoint>(body)
        || std::holds_alternative<RestoreEndpoint>(body) || std::holds_alternative<LiftQuarantine>(body);
}

CommandResult apply(ControlState& state, const Command& command, std::vector<Change>& changes)
{
    changes.clear();
    detail::ApplyContext context { state, changes };
    if (command.m_proposedAt > state.m_logTime)
        state.m_logTime = command.m_proposedAt;
    detail::expireClaims(state);
    detail::expireSuspects(context);
    detail::expireResults(state);
    detail::expireLeftEndpoints(state);
    if (isOperatorCommand(command.m_body))
        return detail::applyOperatorCommand(context, command);
    const CommandResult result = detail::applyAnyBody(context, command.m_body);
    if (!changes.empty())
        detail::advanceRevision(context, false);
    return detail::withRevisionAndVersion(state, result);
}

void rebuildIndexes(ControlState& state)
{
    state.m_published.m_recordSum = computeRecordSum(state.m_published);
    state.m_claimBytes = 0;
    state.m_openClaims.clear();
    for (const auto& [key, claim] : state.m_claims) {
        state.m_claimBytes += claimBytes(key, claim);
        if (claim.m_phase == ClaimPhase::InProgress)
            state.m_openClaims[{ claim.m_vm, claim.m_vmIncarnation }].insert(key);
    }
    state.m_resultsByNumber.clear();
    for (const auto& [id, stored] : state.m_results)
        state.m_resultsByNumber[stored.m_number] = id;
    state.m_suspectsByTime.clear();
    for (const auto& [fingerprint, suspect] : state.m_suspects)
        state.m_suspectsByTime.emplace(suspect.m_updatedAt, fingerprint);
    state.m_leftEndpointsByTime.clear();
    for (const auto& [endpoint, left] : state.m_leftEndpoints)
        state.m_leftEndpointsByTime.emplace(left.m_at, endpoint);
    state.m_layoutUse.clear();
    for (const auto& [id, endpoint] : state.m_published.m_endpoints)
        detail::updateLayoutUse(state, endpoint, true);
    detail::updateNextQuarantineExpiry(state);
}

} // namespace flamingo
