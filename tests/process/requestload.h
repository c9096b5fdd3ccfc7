#pragma once

#include "process/tier.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace flamingo::test {

/** Number of requests whose answers contradict each other or the execution log of the endpoints. */
struct RequestCheckResult {
    int m_executedRepeatedly = 0; // executed more than once
    int m_executedThoughRefused = 0; // executed although every answer was a refusal as not run
    // Succeeded, but a later answer reported another outcome, the last answer was not a success, or the execution log
    // does not have exactly one execution.
    int m_lostOutcomes = 0;
    int m_differingAnswers = 0; // answers that differ from an earlier one to the same request id
    std::map<int, int> m_answersByCode; // number of answers by result code
};

/**
 * Threads that send non-idempotent requests of the kind "place" to the service "orders". Each request id is sent to
 * three VMs, one after another.
 *
 * Not thread-safe. The tier must outlive it.
 */
class RequestLoad {
public:
    explicit RequestLoad(const Tier& tier);
    ~RequestLoad();
    RequestLoad(const RequestLoad&) = delete;
    RequestLoad& operator=(const RequestLoad&) = delete;

    /** Creates the service and declares its kind of request, then starts endpoint processes for it. */
    static void createOrdersService(Tier& tier, int endpoints);

    void stop();

    /**
     * Sends each request id to the VM again until it has a final outcome, with as many threads as the load, and returns
     * the ids that got none within the time limit. Precondition: stopped.
     */
    std::vector<std::string> resendUntilFinal(int vm);

    /**
     * Checks the answers against the execution log and prints the requests with violations and a summary.
     * Preconditions: stopped, and no call is in flight.
     */
    RequestCheckResult checkExecutions() const;

private:
    struct Outcome {
        std::vector<int> m_codes;
        bool m_answerLost = false; // a call that may have reached the VM got no answer
        Json m_answer; // answer of the latest success
    };

    void run(int sender);
    int send(const std::string& id, int vm);

    const Tier& m_tier;
    std::mutex m_mutex;
    std::map<std::string, Outcome> m_outcomes;
    int m_differingAnswers = 0;
    std::atomic<bool> m_stop { false };
    std::vector<std::thread> m_threads;
};

} // namespace flamingo::test
