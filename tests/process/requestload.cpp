#include "process/requestload.h"

#include <chrono>
#include <cstdio>
#include <ctime>
#include <fstream>

namespace flamingo::test {

namespace {

using namespace std::chrono_literals;

constexpr int senderCount = 6;
constexpr std::uint16_t firstPort = 9000;
// Pause after a refusal. Without it, the number of request ids would depend on how long all VMs refuse.
constexpr auto refusalPause = 50ms;
// Once no call is in flight, each request id must have a final outcome within this time.
constexpr auto finalOutcomeLimit = 20s;

/** Returns whether the caller has to resend: no answer yet, refused as not run, or still running. */
bool isTransient(int code) { return code < 0 || (code >= 1000 && code < 2000) || code == 3002; }

/** Returns the number of executions of each request id in the execution log. */
std::map<std::string, int> executionCounts(const Tier& tier)
{
    std::map<std::string, int> counts;
    std::ifstream log(tier.executionLog());
    for (std::string id; std::getline(log, id);)
        ++counts[id];
    return counts;
}

} // namespace

RequestLoad::RequestLoad(const Tier& tier)
    : m_tier(tier)
{
    for (int sender = 0; sender < senderCount; ++sender)
        m_threads.emplace_back([this, sender] { run(sender); });
}

RequestLoad::~RequestLoad() { stop(); }

void RequestLoad::createOrdersService(Tier& tier, int endpoints)
{
    tier.runUntilSuccess(1, "CREATE SERVICE orders WITH deadline = 3 s, connections = 200, slots = 3", "create-orders");
    tier.runUntilSuccess(1, "DECLARE REQUEST place ON SERVICE orders NON-IDEMPOTENT", "declare-place");
    for (int number = 0; number < endpoints; ++number)
        tier.startStub("{ name: orders, id_prefix: o" + std::to_string(number)
                + ", snapshots: [ { version: 1, shards: 1 } ], replicas: 1, address: " + tier.network()
                + ".100, port: " + std::to_string(firstPort + number) + ", connections: 200, slots: 3 }",
            "{ median_ms: 20, p99_ms: 60 }");
    tier.waitForEndpoints(1, "orders", static_cast<std::size_t>(endpoints));
}

void RequestLoad::stop()
{
    m_stop = true;
    for (std::thread& thread : m_threads)
        thread.join();
    m_threads.clear();
}

std::vector<std::string> RequestLoad::resendUntilFinal(int vm)
{
    std::vector<std::string> ids;
    for (const auto& [id, outcome] : m_outcomes)
        ids.push_back(id);
    std::atomic<std::size_t> next { 0 };
    std::vector<std::string> unresolved;
    const auto work = [&] {
        for (std::size_t index = next++; index < ids.size(); index = next++) {
            const auto until = std::chrono::steady_clock::now() + finalOutcomeLimit;
            while (isTransient(send(ids[index], vm))) {
                if (std::chrono::steady_clock::now() < until)
                    continue;
                const std::lock_guard lock(m_mutex);
                unresolved.push_back(ids[index]);
                break;
            }
        }
    };
    std::vector<std::thread> threads;
    for (int sender = 0; sender < senderCount; ++sender)
        threads.emplace_back(work);
    for (std::thread& thread : threads)
        thread.join();
    for (const std::string& id : unresolved)
        std::printf("request %s has no final outcome; codes: %s\n", id.c_str(),
            Json(m_outcomes[id].m_codes).dump().substr(0, 80).c_str());
    return unresolved;
}

/** Sends the request once and returns the latest result code received for its id, or -1 if there is none yet. */
int RequestLoad::send(const std::string& id, int vm)
{
    const HttpReply reply = m_tier.post(
        vm, "/v1/request", { { "request_id", id }, { "service", "orders" }, { "kind", "place" }, { "body", id } });
    const std::lock_guard lock(m_mutex);
    Outcome& outcome = m_outcomes[id];
    if (reply.code() >= 0)
        outcome.m_codes.push_back(reply.code());
    else if (reply.m_connected)
        outcome.m_answerLost = true;
    if (reply.code() == 0) {
        const Json answer = reply.m_body.at("answer");
        m_differingAnswers += !outcome.m_answer.is_null() && outcome.m_answer != answer ? 1 : 0;
        outcome.m_answer = answer;
    }
    return outcome.m_codes.empty() ? -1 : outcome.m_codes.back();
}

void RequestLoad::run(int sender)
{
    // Sends each id to three VMs, like a caller that resends after any kind of answer.
    for (int i = 0; !m_stop; ++i) {
        const std::string id
            = std::to_string(std::time(nullptr)) + "-s" + std::to_string(sender) + "-" + std::to_string(i);
        for (int resend = 0; resend < 3; ++resend) {
            if (const int code = send(id, 1 + (sender + i + resend) % m_tier.vmCount()); isTransient(code))
                std::this_thread::sleep_for(refusalPause);
        }
    }
}

RequestCheckResult RequestLoad::checkExecutions() const
{
    RequestCheckResult result;
    const auto executions = executionCounts(m_tier);
    int lostAnswers = 0;
    for (const auto& [id, outcome] : m_outcomes) {
        const auto execution = executions.find(id);
        const int count = execution == executions.end() ? 0 : execution->second;
        bool allRefused = !outcome.m_answerLost && !outcome.m_codes.empty();
        for (const int code : outcome.m_codes) {
            ++result.m_answersByCode[code];
            allRefused = allRefused && code >= 1000 && code < 2000;
        }
        result.m_executedRepeatedly += count > 1 ? 1 : 0;
        result.m_executedThoughRefused += allRefused && count > 0 ? 1 : 0;
        lostAnswers += outcome.m_answerLost ? 1 : 0;
        // After a success, a resend must get the same answer again or a refusal as not run.
        bool succeeded = false;
        bool outcomeLost = false;
        for (const int code : outcome.m_codes) {
            outcomeLost = outcomeLost || (succeeded && code != 0 && (code < 1000 || code >= 2000));
            succeeded = succeeded || code == 0;
        }
        result.m_lostOutcomes += outcomeLost || (succeeded && (outcome.m_codes.back() != 0 || count != 1)) ? 1 : 0;
        if (count > 1 || (allRefused && count > 0) || outcomeLost)
            std::printf(
                "request %s executed %d times, codes %s\n", id.c_str(), count, Json(outcome.m_codes).dump().c_str());
    }
    std::printf("%zu request ids, %zu executed, %d with a lost answer; codes:", m_outcomes.size(), executions.size(),
        lostAnswers);
    for (const auto& [code, count] : result.m_answersByCode)
        std::printf(" %d: %d", code, count);
    std::printf("\n");
    result.m_differingAnswers = m_differingAnswers;
    return result;
}

} // namespace flamingo::test
