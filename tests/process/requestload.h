#pragma once

#include "process/tier.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace flamingo::test {

/** What callers saw of requests, compared with the endpoints' execution log. */
struct RequestVerdict {
    int m_repeated = 0; // ran more than once
    int m_ranThoughRefused = 0; // every answer said "not run"
    int m_notRecorded = 0; // succeeded, but a later send got no success or another outcome
    int m_differing = 0; // answers that differ from an earlier answer to the same request id
    std::map<int, int> m_codes; // answers by result code
};

/**
 * Callers that send non-idempotent requests of the kind "place" to the service "orders", each id to three VMs in a row.
 *
 * Thread safety: none, apart from its own threads; the tier must outlive it.
 */
class RequestLoad {
public:
    explicit RequestLoad(const Tier& tier);
    ~RequestLoad();
    RequestLoad(const RequestLoad&) = delete;
    RequestLoad& operator=(const RequestLoad&) = delete;

    /** Creates the service with its kind of request and starts endpoint processes for it. */
    static void createOrders(Tier& tier, int endpoints);

    void stop();

    /**
     * Sends each id to the VM until it has a final outcome, with as many threads as the load, and returns those without
     * one. Precondition: stopped.
     */
    std::vector<std::string> sendFinally(int vm);

    /** Compares and prints what is wrong. Precondition: stopped, and nothing is in flight. */
    RequestVerdict verdict() const;

private:
    struct Outcome {
        std::vector<int> m_codes;
        bool m_answerLost = false; // a send that may have been taken in brought no answer
        Json m_answer; // of the first success
    };

    void run(int sender);
    int send(const std::string& id, int vm);

    const Tier& m_tier;
    std::mutex m_mutex;
    std::map<std::string, Outcome> m_outcomes;
    int m_differing = 0;
    std::atomic<bool> m_stop { false };
    std::vector<std::thread> m_threads;
};

} // namespace flamingo::test
