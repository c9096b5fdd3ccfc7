#include "statementrunner.h"

#include "httpexchange.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <random>
#include <thread>
#include <utility>

namespace flamingo::ctl {

namespace {

constexpr Milliseconds resendDelay { 500 };
constexpr Milliseconds maxPollWait { 1000 };
// Time allowed for the answer to a poll, in addition to the wait that the poll asks for.
constexpr Milliseconds pollMargin { 2000 };

/** Returns whether another daemon may run a statement that one daemon refused with this code. */
bool mayRunOnOtherDaemon(int code)
{
    switch (static_cast<ResultCode>(code)) {
    case ResultCode::NoLease:
    case ResultCode::Stopping:
    case ResultCode::NotReady:
    case ResultCode::NotLeader:
    case ResultCode::ControlUnavailable:
        return true;
    default:
        return false;
    }
}

} // namespace

std::string generateCommandId()
{
    std::random_device random;
    std::array<char, 64> text;
    std::snprintf(
        text.data(), text.size(), "ctl-%lld-%08x%08x", static_cast<long long>(wallClock().value()), random(), random());
    return text.data();
}

StatementRunner::StatementRunner(RunOptions options)
    : m_options(std::move(options))
{
}

std::string StatementRunner::requestBody(const Statement& statement) const
{
    nlohmann::ordered_json json { { "text", printStatement(statement) } };
    if (changesConfiguration(statement)) {
        const std::string commandId = m_options.m_commandId.value_or(generateCommandId());
        std::fprintf(stderr, "command id: %s\n", commandId.c_str());
        json["command_id"] = commandId;
        if (m_options.m_expectedVersion)
            json["expected_version"] = *m_options.m_expectedVersion;
    }
    return json.dump();
}

Answer StatementRunner::run(const Statement& statement)
{
    const MonotonicTime deadline = monotonicNow() + m_options.m_timeout;
    const std::string body = requestBody(statement);
    std::optional<Answer> refusal;
    m_mayHaveRun = false;
    m_lastError.clear();
    do {
        for (std::size_t i = 0; i < m_options.m_servers.size(); ++i) {
            const std::size_t index = (m_currentServer + i) % m_options.m_servers.size();
            auto answer = tryServer(m_options.m_servers[index], statement, body, deadline);
            if (!answer)
                continue;
            if (mayRunOnOtherDaemon(answer->m_code)) {
                refusal = std::move(answer);
                continue;
            }
            m_currentServer = index;
            if (answer->m_code != 0 || !changesConfiguration(statement) || !m_options.m_wait)
                return std::move(*answer);
            return waitInForce(std::move(*answer), deadline);
        }
        // A change whose outcome is unknown is sent again with its command id; the answer to that gives the outcome.
        if (!m_mayHaveRun || !changesConfiguration(statement))
            break;
        std::this_thread::sleep_for(resendDelay);
    } while (monotonicNow() < deadline);
    // After an unknown outcome at one daemon, a refusal by another does not prove that the statement was not run.
    if (m_mayHaveRun && changesConfiguration(statement)) {
        return localAnswer(ResultCode::CommandOutcomeUnknown,
            m_lastError + "; resend with the same command id (--command-id) to learn the outcome");
    }
    if (m_mayHaveRun)
        return localAnswer(ResultCode::OutcomeUnknown, m_lastError);
    if (refusal)
        return std::move(*refusal);
    return localAnswer(ResultCode::ControlUnavailable, "no server could be reached: " + m_lastError);
}

/** Returns the answer, or nothing if the next server may be tried. */
std::optional<Answer> StatementRunner::tryServer(
    const std::string& server, const Statement& statement, const std::string& body, MonotonicTime deadline)
{
    const ExchangeResult result = exchange(server, "POST", "/v1/statement", body, deadline);
    if (result.m_outcome == ExchangeOutcome::NotSent) {
        m_lastError = server + ": " + result.m_text;
        return std::nullopt;
    }
    if (result.m_outcome == ExchangeOutcome::Answered) {
        auto answer = parseAnswer(result.m_body);
        if (answer && answer->m_code != static_cast<int>(ResultCode::CommandOutcomeUnknown))
            return answer;
        m_lastError = server + ": "
            + (answer ? answer->m_text : "HTTP status " + std::to_string(result.m_status) + " without a result code");
    } else {
        m_lastError = server + ": " + result.m_text;
    }
    m_mayHaveRun = true;
    std::fprintf(stderr, "%s\n", m_lastError.c_str());
    if (std::holds_alternative<SendStatement>(statement)) {
        const std::string id = std::get<SendStatement>(statement).m_request.value();
        return localAnswer(ResultCode::OutcomeUnknown,
            m_lastError + "; it may have run; a resend under request id '" + id + "' gives the recorded result");
    }
    return std::nullopt;
}

Answer StatementRunner::waitInForce(Answer answer, MonotonicTime deadline)
{
    const std::string target = "/v1/commands/" + std::to_string(answer.m_revision) + "?wait_ms=";
    std::string lastProgress;
    while (!answer.m_inForce && answer.m_revision != 0) {
        const auto remaining = std::chrono::duration_cast<Milliseconds>(deadline - monotonicNow());
        if (remaining.count() <= 0) {
            return localAnswer(ResultCode::StillRunning,
                "accepted at revision " + std::to_string(answer.m_revision) + ", but not yet in force everywhere"
                    + (lastProgress.empty() ? "" : " (" + lastProgress + ")"));
        }
        const Milliseconds wait = std::min(remaining, maxPollWait);
        const ExchangeResult result = exchange(m_options.m_servers[m_currentServer], "GET",
            target + std::to_string(wait.count()), "", monotonicNow() + wait + pollMargin);
        const auto status = result.m_outcome == ExchangeOutcome::Answered ? parseAnswer(result.m_body) : std::nullopt;
        if (!status || status->m_code != 0) {
            std::fprintf(stderr, "%s: %s\n", m_options.m_servers[m_currentServer].c_str(),
                status ? status->m_text.c_str() : result.m_text.c_str());
            m_currentServer = (m_currentServer + 1) % m_options.m_servers.size();
            std::this_thread::sleep_for(std::min(resendDelay, remaining));
            continue;
        }
        answer.m_inForce = status->m_inForce;
        answer.m_holdersConfirmed = status->m_holdersConfirmed;
        answer.m_holdersTotal = status->m_holdersTotal;
        answer.m_body["in_force"] = status->m_inForce;
        answer.m_body["holders"] = { { "confirmed", status->m_holdersConfirmed }, { "total", status->m_holdersTotal } };
        std::string progress = "confirmed by " + std::to_string(status->m_holdersConfirmed) + " of "
            + std::to_string(status->m_holdersTotal) + " VMs";
        if (progress != lastProgress)
            std::fprintf(stderr, "%s\n", progress.c_str());
        lastProgress = std::move(progress);
    }
    return answer;
}

} // namespace flamingo::ctl
