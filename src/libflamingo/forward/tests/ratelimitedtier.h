#pragma once

#include "forward/forwardexecution.h"
#include "forward/tests/eventqueue.h"
#include "forward/tests/forwardfixture.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace flamingo {

/**
 * Entry VMs that forward requests to the endpoints of one service, in virtual time. Endpoints name a rate limit for
 * some time. Records what callers and endpoints get.
 */
class RateLimitedTier {
public:
    struct Load {
        int m_vms = 1;
        int m_endpoints = 4;
        int m_limitedEndpoints = 4;
        double m_requestsPerSecond = 20.0;
        double m_limit = 2.5; // of each limited endpoint, requests a second from all VMs together
        double m_failedShare = 0.0; // share of the calls that endpoints answer with an error
        double m_burstFactor = 1.0; // of the requests in the second half of the time with limits
        Milliseconds m_workTime { 60 };
        std::uint64_t m_seed = 1;
    };

    /** An arrival at a limited endpoint. */
    struct Arrival {
        MonotonicTime m_at;
        bool m_told = false; // the VM received an answer that names the limit half a second before or earlier
    };

    explicit RateLimitedTier(const Load& load)
        : m_load(load)
        , m_random(load.m_seed)
    {
        PublishedState published = ForwardFixture(0).m_published;
        published.m_vms.clear();
        const ServiceName service("s");
        published.m_routedServices[service] = { service, "/health", 214 };
        for (int number = 0; number < load.m_endpoints; ++number)
            addEndpoint(published, "e" + std::to_string(number), service);
        for (int number = 0; number < load.m_vms; ++number) {
            VmRecord vm;
            vm.m_id = VmId("vm" + std::to_string(number));
            published.m_vms[vm.m_id] = vm;
        }
        const auto state = std::make_shared<const PublishedState>(published);
        for (int number = 0; number < load.m_vms; ++number) {
            m_vms.push_back(makeForwardState(VmId("vm" + std::to_string(number)), DataCentreName("north")));
            m_vms.back().m_random.seed(load.m_seed + static_cast<std::uint64_t>(number));
            applyForwardState(m_vms.back(), state, m_start, nullptr);
        }
        m_route = ForwardFixture(1).m_single;
        m_route.m_targets = { { service, 1.0 } };
        m_route.m_goal = goal;
        m_route.m_timeout = Milliseconds(4000);
    }

    /** Plays 6 s without limits, 24 s with them and 20 s after them. */
    void play()
    {
        scheduleArrival(m_start);
        m_events.run();
    }

    MonotonicTime limitStart() const { return m_start + std::chrono::seconds(6); }
    MonotonicTime limitEnd() const { return m_start + std::chrono::seconds(30); }
    MonotonicTime end() const { return m_start + std::chrono::seconds(50); }

    /** Returns the greatest number of arrivals from told VMs at one limited endpoint in 4 s, from 4 s after the start.
     */
    std::size_t peakArrivals() const
    {
        std::size_t peak = 0;
        for (const auto& [endpoint, arrivals] : m_limitedArrivals) {
            std::deque<MonotonicTime> window;
            for (const Arrival& arrival : arrivals) {
                if (!arrival.m_told || arrival.m_at < limitStart() + stableTime || arrival.m_at >= limitEnd())
                    continue;
                window.push_back(arrival.m_at);
                while (arrival.m_at - window.front() > std::chrono::seconds(4))
                    window.pop_front();
                peak = std::max(peak, window.size());
            }
        }
        return peak;
    }

    /** Returns the number of arrivals in 4 s that an endpoint tolerates. */
    double toleratedArrivals() const { return 1.5 * 4.0 * m_load.m_limit + 5.0; }

    struct Answers {
        int m_served = 0;
        int m_refused = 0;
        int m_failed = 0;
        MonotonicClock::duration m_longestHold {}; // from the arrival to the refusal
        int m_falseRefusals = 0; // refused, although an endpoint got the request

        int total() const { return m_served + m_refused + m_failed; }
        double servedShare() const { return double(m_served) / double(std::max(1, total())); }
    };

    /** Returns the answers to the requests that arrived in the time span. */
    Answers answersBetween(MonotonicTime from, MonotonicTime until) const
    {
        Answers sum;
        for (const Outcome& outcome : m_outcomes) {
            if (outcome.m_arrivedAt < from || outcome.m_arrivedAt >= until)
                continue;
            sum.m_served += outcome.m_served ? 1 : 0;
            sum.m_refused += outcome.m_refused ? 1 : 0;
            sum.m_failed += !outcome.m_served && !outcome.m_refused ? 1 : 0;
            if (outcome.m_refused)
                sum.m_longestHold = std::max(sum.m_longestHold, outcome.m_answeredAt - outcome.m_arrivedAt);
            sum.m_falseRefusals += outcome.m_refused && outcome.m_ran ? 1 : 0;
        }
        return sum;
    }

    static constexpr Milliseconds stableTime { 4000 };
    static constexpr Milliseconds goal { 250 };

private:
    struct Running {
        ForwardExecution m_execution;
        std::size_t m_vm = 0;
        std::size_t m_outcome = 0;
        bool m_answered = false;
    };

    struct Outcome {
        MonotonicTime m_arrivedAt;
        MonotonicTime m_answeredAt;
        bool m_served = false;
        bool m_refused = false;
        bool m_ran = false;
    };

    static void addEndpoint(PublishedState& published, const std::string& id, const ServiceName& service)
    {
        EndpointRecord endpoint;
        endpoint.m_id = EndpointId(id);
        endpoint.m_service = service;
        endpoint.m_address = "127.0.0.1";
        endpoint.m_port = 1;
        endpoint.m_dataCentre = DataCentreName("north");
        endpoint.m_slots = 3;
        endpoint.m_connections = 214;
        endpoint.m_routed = true;
        published.m_endpoints[endpoint.m_id] = endpoint;
    }

    void scheduleArrival(MonotonicTime after)
    {
        const MonotonicTime burstStart = limitStart() + (limitEnd() - limitStart()) / 2;
        const bool burst = after >= burstStart && after < limitEnd();
        const double rate = m_load.m_requestsPerSecond * (burst ? m_load.m_burstFactor : 1.0);
        const std::chrono::duration<double> gap(std::exponential_distribution<double>(rate)(m_random));
        const MonotonicTime time = after + std::chrono::duration_cast<MonotonicTime::duration>(gap);
        if (time >= end())
            return;
        m_events.at(time, [this] {
            startRequest();
            scheduleArrival(m_events.now());
        });
    }

    void startRequest()
    {
        const auto running = std::make_shared<Running>();
        running->m_vm = std::uniform_int_distribution<std::size_t>(0, m_vms.size() - 1)(m_random);
        running->m_outcome = m_outcomes.size();
        m_outcomes.push_back({ m_events.now(), m_events.now() });
        ForwardExecution& execution = running->m_execution;
        execution.m_id = ExecutionId(++m_lastExecution);
        execution.m_request.m_id = RequestId("r" + std::to_string(m_lastExecution));
        execution.m_request.m_method = "GET";
        execution.m_request.m_receivedAt = m_events.now();
        execution.m_request.m_route = std::make_shared<const Route>(m_route);
        m_running[execution.m_id] = running;
        carryOut(running, startForward(m_vms[running->m_vm], execution, m_events.now()));
    }

    void carryOut(const std::shared_ptr<Running>& running, ForwardEffects effects)
    {
        for (const ForwardEffects::Send& send : effects.m_sends)
            arrive(running, send);
        if (effects.m_answer) {
            Outcome& outcome = m_outcomes[running->m_outcome];
            outcome.m_answeredAt = m_events.now();
            outcome.m_served = effects.m_answer->m_code == ResultCode::Ok && effects.m_answer->m_status == 200;
            outcome.m_refused = resultClass(effects.m_answer->m_code) == ResultClass::NotRun;
            running->m_answered = true;
            m_running.erase(running->m_execution.m_id);
        }
        if (effects.m_nextTimerAt && !running->m_execution.m_finished)
            m_events.at(std::max(*effects.m_nextTimerAt, m_events.now()), [this, running] { handleTimer(running); });
        for (const ExecutionId waiting : effects.m_unblocked) {
            const auto found = m_running.find(waiting);
            if (found != m_running.end())
                m_events.at(m_events.now(), [this, next = found->second] { handleTimer(next); });
        }
    }

    void handleTimer(const std::shared_ptr<Running>& running)
    {
        if (running->m_execution.m_finished)
            return;
        carryOut(running, handleForwardTimer(m_vms[running->m_vm], running->m_execution, m_events.now()));
    }

    bool limitInForce() const { return m_events.now() >= limitStart() && m_events.now() < limitEnd(); }

    void arrive(const std::shared_ptr<Running>& running, const ForwardEffects::Send& send)
    {
        m_outcomes[running->m_outcome].m_ran = true;
        const std::string endpoint = send.m_call.m_endpoint.value();
        const bool limited = std::stoi(endpoint.substr(1)) < m_load.m_limitedEndpoints;
        const auto told = m_toldAt.find({ running->m_vm, endpoint });
        if (limited)
            m_limitedArrivals[endpoint].push_back(
                { m_events.now(), told != m_toldAt.end() && m_events.now() - told->second >= Milliseconds(500) });
        EndpointReply reply = ForwardFixture::success("receipt");
        if (std::uniform_real_distribution<double>(0.0, 1.0)(m_random) < m_load.m_failedShare)
            reply.m_status = 500;
        m_events.at(m_events.now() + m_load.m_workTime,
            [this, running, reply, limited, endpoint, attempt = send.m_attempt]() mutable {
                if (limited && limitInForce()) {
                    reply.m_rateLimit = RequestsPerSecond(m_load.m_limit);
                    m_toldAt.try_emplace({ running->m_vm, endpoint }, m_events.now());
                }
                carryOut(running,
                    handleForwardReply(m_vms[running->m_vm], running->m_execution, attempt, reply, m_events.now()));
            });
    }

    Load m_load;
    RandomEngine m_random;
    Route m_route;
    std::vector<ForwardState> m_vms;
    EventQueue m_events;
    const MonotonicTime m_start = m_events.now();
    std::uint64_t m_lastExecution = 0;
    std::map<ExecutionId, std::shared_ptr<Running>> m_running;
    std::vector<Outcome> m_outcomes;
    std::map<std::string, std::vector<Arrival>> m_limitedArrivals;
    std::map<std::pair<std::size_t, std::string>, MonotonicTime> m_toldAt; // by VM and endpoint
};

} // namespace flamingo
