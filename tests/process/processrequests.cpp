#include "process/tier.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <map>
#include <mutex>
#include <thread>

using namespace flamingo::test;
using namespace std::chrono_literals;

namespace {

constexpr int vms = 5;
constexpr int senders = 6;
constexpr auto loadTime = 14s;
// A refused caller comes back after this time, so that the number of ids does not depend on how long all VMs refuse.
constexpr auto refusedPause = 50ms;
// An id must have a final outcome within this time once nothing is in flight.
constexpr auto finalLimit = 20s;

struct Outcome {
    std::vector<int> m_codes;
    bool m_answerLost = false; // a send that may have been taken in brought no answer
    Json m_answer; // of the first success
};

/** Returns whether the code asks the caller to resend: refused as not run, or still running. */
bool isTransient(int code) { return (code >= 1000 && code < 2000) || code == 3002; }

class Load {
public:
    explicit Load(const Tier& tier)
        : m_tier(tier)
    {
        for (int sender = 0; sender < senders; ++sender)
            m_threads.emplace_back([this, sender] { run(sender); });
    }
    ~Load() { stop(); }

    void stop()
    {
        m_stop = true;
        for (std::thread& thread : m_threads)
            thread.join();
        m_threads.clear();
    }

    /** Sends each id until it has a final outcome, with as many threads as the load; returns those without one. */
    std::vector<std::string> sendFinally(const std::vector<std::string>& ids, int vm)
    {
        std::atomic<std::size_t> next { 0 };
        std::vector<std::string> stuck;
        const auto work = [&] {
            for (std::size_t index = next++; index < ids.size(); index = next++) {
                const auto until = std::chrono::steady_clock::now() + finalLimit;
                while (isTransient(send(ids[index], vm))) {
                    if (std::chrono::steady_clock::now() < until)
                        continue;
                    const std::lock_guard lock(m_mutex);
                    stuck.push_back(ids[index]);
                    break;
                }
            }
        };
        std::vector<std::thread> threads;
        for (int sender = 0; sender < senders; ++sender)
            threads.emplace_back(work);
        for (std::thread& thread : threads)
            thread.join();
        return stuck;
    }

    /** Returns the last code known for the id; -1 without any. */
    int send(const std::string& id, int vm)
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
            m_differing += !outcome.m_answer.is_null() && outcome.m_answer != answer ? 1 : 0;
            outcome.m_answer = answer;
        }
        return outcome.m_codes.empty() ? -1 : outcome.m_codes.back();
    }

    std::map<std::string, Outcome> m_outcomes;
    int m_differing = 0; // answers that differ from an earlier answer to the same request id

private:
    void run(int sender)
    {
        // Each id goes to three VMs in a row, as a caller does that resends after any kind of answer.
        for (int i = 0; !m_stop; ++i) {
            const std::string id
                = std::to_string(std::time(nullptr)) + "-s" + std::to_string(sender) + "-" + std::to_string(i);
            for (int resend = 0; resend < 3; ++resend) {
                if (const int code = send(id, 1 + (sender + i + resend) % vms); code < 0 || isTransient(code))
                    std::this_thread::sleep_for(refusedPause);
            }
        }
    }

    const Tier& m_tier;
    std::mutex m_mutex;
    std::atomic<bool> m_stop { false };
    std::vector<std::thread> m_threads;
};

std::map<std::string, int> executions(const Tier& tier)
{
    std::map<std::string, int> counts;
    std::ifstream log(tier.executionLog());
    for (std::string id; std::getline(log, id);)
        ++counts[id];
    return counts;
}

} // namespace

// Guards against a second run of a non-idempotent request, and against "not run" for one that ran.
TEST_CASE("non-idempotent requests run at most once while processes are killed")
{
    Tier tier(vms);
    tier.settle(4, "CREATE SERVICE orders WITH deadline = 3 s, connections = 200, slots = 3", "c1");
    tier.settle(4, "DECLARE REQUEST place ON SERVICE orders NON-IDEMPOTENT", "c2");
    for (int i = 0; i < 4; ++i)
        tier.startStub("{ name: orders, id_prefix: o" + std::to_string(i)
                + ", snapshots: [ { version: 1, shards: 1 } ]," + " replicas: 1, address: " + tier.network()
                + ".100, port: " + std::to_string(9000 + i) + ", connections: 200, slots: 3 }",
            "{ median_ms: 20, p99_ms: 60 }");
    tier.waitForEndpoints(4, "orders", 4);

    Load load(tier);
    const auto end = std::chrono::steady_clock::now() + loadTime;
    for (int round = 0; std::chrono::steady_clock::now() < end; ++round) {
        std::this_thread::sleep_for(700ms);
        const int leader = tier.leader(5);
        const int victim = round % 3 == 0 ? 4 : round % 3 == 1 ? leader : 0;
        if (victim > 0)
            tier.vm(victim).kill();
        else
            tier.stub(round / 3 % 4).kill();
        std::this_thread::sleep_for(700ms);
        if (victim > 0)
            tier.startVm(victim);
    }
    load.stop();
    for (int vm = 1; vm <= vms; ++vm)
        Tier::waitFor("all VMs to serve", [&] { return tier.isServing(vm); });
    // With nothing in flight, each id has a final outcome, and one that succeeded keeps its recorded answer.
    std::vector<std::string> ids;
    for (const auto& [id, outcome] : load.m_outcomes)
        ids.push_back(id);
    const std::vector<std::string> stuck = load.sendFinally(ids, vms);
    for (const std::string& id : stuck)
        std::printf("request %s has no final outcome: %s\n", id.c_str(),
            Json(load.m_outcomes[id].m_codes).dump().substr(0, 80).c_str());

    std::map<int, int> codes;
    const auto runs = executions(tier);
    int repeated = 0;
    int ranThoughRefused = 0;
    int lostAnswers = 0;
    int notRecorded = 0;
    for (const auto& [id, outcome] : load.m_outcomes) {
        const auto run = runs.find(id);
        const int count = run == runs.end() ? 0 : run->second;
        bool allRefused = !outcome.m_answerLost && !outcome.m_codes.empty();
        for (const int code : outcome.m_codes) {
            ++codes[code];
            allRefused = allRefused && code >= 1000 && code < 2000;
        }
        repeated += count > 1 ? 1 : 0;
        ranThoughRefused += allRefused && count > 0 ? 1 : 0;
        lostAnswers += outcome.m_answerLost ? 1 : 0;
        // A caller that has its answer must get the same one again, or a refusal that asks it to come back.
        bool succeeded = false;
        bool forgotten = false;
        for (const int code : outcome.m_codes) {
            forgotten = forgotten || (succeeded && code != 0 && (code < 1000 || code >= 2000));
            succeeded = succeeded || code == 0;
        }
        notRecorded += forgotten || (succeeded && (outcome.m_codes.back() != 0 || count != 1)) ? 1 : 0;
        if (count > 1 || (allRefused && count > 0) || forgotten)
            std::printf("request %s ran %d times, codes %s\n", id.c_str(), count, Json(outcome.m_codes).dump().c_str());
    }
    std::printf(
        "%zu request ids, %zu ran, %d with a lost answer; codes:", load.m_outcomes.size(), runs.size(), lostAnswers);
    for (const auto& [code, count] : codes)
        std::printf(" %d: %d", code, count);
    std::printf("\n");
    CHECK(repeated == 0);
    CHECK(ranThoughRefused == 0);
    CHECK(stuck.empty());
    CHECK(notRecorded == 0);
    CHECK(load.m_differing == 0);
    CHECK(codes[0] > 100);
}
