#pragma once

#include "forward/forwardexecution.h"
#include "forward/mergewire.h"
#include "forward/reachability.h"
#include "forward/relaywire.h"
#include "forward/tests/eventqueue.h"
#include "forward/tests/forwardfixture.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace flamingo {

/**
 * Entry VMs of three data centres in virtual time, some of which are cut off from all endpoints for a while. All VMs
 * reach each other. Records what callers get and how often each request runs.
 */
class CutOffTier {
public:
    enum class Cut {
        Hang, // calls get no answer, and new connections none either
        Refuse, // new connections are refused
    };

    struct Load {
        int m_vms = 15;
        int m_cutVms = 10; // the first ones; VMs are assigned to the data centres in turn
        bool m_cutDataCentre = false; // the VMs of the first data centre in place of the first m_cutVms
        Cut m_cut = Cut::Hang;
        Milliseconds m_cutFor { 8000 }; // duration of each cut
        Milliseconds m_cutEvery { 8000 }; // from the start of a cut to the start of the next one, for 8 s in all
        Milliseconds m_cutStagger { 0 }; // the cut of each data centre's VMs starts later by this time
        Milliseconds m_workTime { 20 }; // of an endpoint for a request
        std::uint32_t m_maxAttempts = 2;
        int m_shards = 0; // 0 for a service without shards
        bool m_idempotent = true;
        double m_requestsPerSecond = 90.0;
        std::uint64_t m_seed = 1;
    };

    explicit CutOffTier(const Load& load)
        : m_load(load)
        , m_random(load.m_seed)
    {
        const int services = std::max(1, load.m_shards);
        ForwardFixture fixture(services);
        PublishedState published = fixture.m_published;
        published.m_vms.clear();
        for (auto& [name, service] : published.m_routedServices)
            service.m_connectionsPerEndpoint = 60;
        for (auto& [id, endpoint] : published.m_endpoints) {
            endpoint.m_connections = 60;
            endpoint.m_slots = 3;
        }
        for (int number = 0; number < load.m_vms; ++number) {
            VmRecord vm;
            vm.m_id = VmId("vm" + std::to_string(number));
            vm.m_dataCentre = DataCentreName("dc" + std::to_string(number % dataCentres));
            vm.m_address = "10.0.0." + std::to_string(number + 1) + ":80";
            published.m_vms[vm.m_id] = vm;
        }
        const auto state = std::make_shared<const PublishedState>(published);
        for (int number = 0; number < load.m_vms; ++number) {
            Vm vm;
            vm.m_state = makeForwardState(
                VmId("vm" + std::to_string(number)), DataCentreName("dc" + std::to_string(number % dataCentres)));
            vm.m_state.m_settings.m_mergePort = 7000;
            vm.m_state.m_random.seed(load.m_seed + static_cast<std::uint64_t>(number));
            applyForwardState(vm.m_state, state, m_start, nullptr);
            vm.m_isCut = load.m_cutDataCentre ? number % dataCentres == 0 : number < load.m_cutVms;
            m_vms.push_back(std::move(vm));
        }
        Route route = load.m_shards > 0 ? fixture.m_fanOut : fixture.m_single;
        route.m_idempotence = load.m_idempotent ? Idempotence::Idempotent : Idempotence::NonIdempotent;
        route.m_goal = goal;
        route.m_timeout = timeout;
        route.m_maxAttempts = load.m_maxAttempts;
        m_route = std::make_shared<const Route>(route);
    }

    /** Plays 4 s with all links, 8 s with one cut or several, and 4 s after them. */
    void play()
    {
        for (std::size_t vm = 0; vm < m_vms.size(); ++vm)
            tick(vm);
        scheduleArrival(m_start);
        m_events.run();
    }

    MonotonicTime cutStart() const { return m_start + std::chrono::seconds(4); }
    MonotonicTime cutEnd() const { return m_start + std::chrono::seconds(12); }
    MonotonicTime end() const { return m_start + std::chrono::seconds(16); }

    struct Answers {
        int m_total = 0;
        int m_served = 0;
        int m_falseRefusals = 0; // refused as not run, although an endpoint ran the request
        MonotonicClock::duration m_longestRefusal {}; // time from the arrival to a refusal

        double servedShare() const { return double(m_served) / double(std::max(1, m_total)); }
    };

    /** Returns the answers to the requests that arrived in the time span at VMs that are cut, or at the others. */
    Answers answers(bool atCutVms, MonotonicTime from, MonotonicTime until) const
    {
        Answers sum;
        for (const Outcome& outcome : m_outcomes) {
            if (outcome.m_atCutVm != atCutVms || outcome.m_arrivedAt < from || outcome.m_arrivedAt >= until)
                continue;
            ++sum.m_total;
            sum.m_served += outcome.m_served ? 1 : 0;
            sum.m_falseRefusals += outcome.m_refused && outcome.m_runs > 0 ? 1 : 0;
            if (outcome.m_refused)
                sum.m_longestRefusal = std::max(sum.m_longestRefusal, outcome.m_answeredAt - outcome.m_arrivedAt);
        }
        return sum;
    }

    int mostRunsOfOneRequest() const
    {
        int most = 0;
        for (const Outcome& outcome : m_outcomes)
            most = std::max(most, outcome.m_runs);
        return most;
    }

    /** Returns the largest number of endpoints of one service that ran the same request. */
    int mostRunsOfOneService() const
    {
        int most = 0;
        for (const Outcome& outcome : m_outcomes) {
            for (const auto& [service, runs] : outcome.m_serviceRuns)
                most = std::max(most, runs);
        }
        return most;
    }

    /** Returns the longest time from the arrival of a request to its answer; max() if one has no answer. */
    MonotonicClock::duration longestAnswer() const
    {
        MonotonicClock::duration longest {};
        for (const Outcome& outcome : m_outcomes)
            longest = std::max(longest,
                outcome.m_answered ? outcome.m_answeredAt - outcome.m_arrivedAt : MonotonicClock::duration::max());
        return longest;
    }

    /** Returns whether any VM that is not cut took itself for cut off. */
    bool anyFalseAlarm() const
    {
        return std::any_of(m_vms.begin(), m_vms.end(),
            [](const Vm& vm) { return !vm.m_isCut && vm.m_state.m_reachability.m_cutOffCount > 0; });
    }

    static constexpr int dataCentres = 3;
    static constexpr Milliseconds goal { 250 };
    static constexpr Milliseconds timeout { 1000 };

private:
    struct Running {
        ForwardExecution m_execution;
        std::size_t m_vm = 0;
        std::size_t m_outcome = 0;
        std::function<void(ForwardAnswer)> m_answer;
        std::set<AttemptNumber> m_unsent; // calls that wait for a connection
        std::set<AttemptNumber> m_cancelled;
    };
    using RunningPtr = std::shared_ptr<Running>;

    struct Vm {
        ForwardState m_state;
        bool m_isCut = false;
        std::uint64_t m_connectionsOpened = 0;
        std::map<ExecutionId, RunningPtr> m_running;
    };

    struct Outcome {
        MonotonicTime m_arrivedAt;
        MonotonicTime m_answeredAt;
        bool m_atCutVm = false;
        bool m_served = false;
        bool m_refused = false;
        bool m_answered = false;
        int m_runs = 0;
        std::map<std::string, int> m_serviceRuns {};
    };

    bool isCutNow(std::size_t vm) const { return cutUntil(vm, m_events.now()) > m_events.now(); }

    /** Returns the end of the cut that the VM is in at the time; the time itself if it is in none. */
    MonotonicTime cutUntil(std::size_t vm, MonotonicTime time) const
    {
        const MonotonicTime first = cutStart() + m_load.m_cutStagger * static_cast<int>(vm % dataCentres);
        if (!m_vms[vm].m_isCut || time < first || time >= cutEnd())
            return time;
        const MonotonicTime start = first + ((time - first) / m_load.m_cutEvery) * m_load.m_cutEvery;
        return std::max(time, std::min(start + m_load.m_cutFor, cutEnd()));
    }

    /** Returns when the first cut after the time starts that hits the VM; max() if none does. */
    MonotonicTime nextCut(std::size_t vm, MonotonicTime time) const
    {
        MonotonicTime start = cutStart() + m_load.m_cutStagger * static_cast<int>(vm % dataCentres);
        while (start <= time)
            start += m_load.m_cutEvery;
        return m_vms[vm].m_isCut && start < cutEnd() ? start : MonotonicTime::max();
    }

    void tick(std::size_t index)
    {
        if (m_events.now() >= end())
            return;
        Vm& vm = m_vms[index];
        switch (updateReachability(vm.m_state.m_reachability, vm.m_connectionsOpened, m_events.now())) {
        case ReachabilityAction::None:
            break;
        case ReachabilityAction::TestConnections:
            vm.m_connectionsOpened += isCutNow(index) ? 0U : 1U;
            break;
        case ReachabilityAction::CutOff: {
            const auto running = vm.m_running;
            for (const auto& [id, execution] : running)
                handleTimer(execution);
            break;
        }
        case ReachabilityAction::Regained:
            forgetFailuresSince(vm.m_state.m_routing, cutStart());
        }
        m_events.at(m_events.now() + Milliseconds(100), [this, index] { tick(index); });
    }

    void scheduleArrival(MonotonicTime after)
    {
        const std::chrono::duration<double> gap(
            std::exponential_distribution<double>(m_load.m_requestsPerSecond)(m_random));
        const MonotonicTime time = after + std::chrono::duration_cast<MonotonicTime::duration>(gap);
        if (time >= end())
            return;
        m_events.at(time, [this] {
            arriveAtVm();
            scheduleArrival(m_events.now());
        });
    }

    void arriveAtVm()
    {
        const std::size_t vm = std::uniform_int_distribution<std::size_t>(0, m_vms.size() - 1)(m_random);
        const std::size_t number = m_outcomes.size();
        m_outcomes.push_back({ m_events.now(), m_events.now(), m_vms[vm].m_isCut });
        ForwardRequest request;
        request.m_id = RequestId(std::to_string(number));
        request.m_method = "GET";
        request.m_receivedAt = m_events.now();
        request.m_route = m_route;
        start(vm, std::move(request), [this, number](const ForwardAnswer& answer) {
            Outcome& outcome = m_outcomes[number];
            outcome.m_answered = true;
            outcome.m_answeredAt = m_events.now();
            outcome.m_served = answer.m_code == ResultCode::Ok && answer.m_kind != ForwardAnswer::Kind::Error;
            outcome.m_refused = resultClass(answer.m_code) == ResultClass::NotRun;
        });
    }

    void start(std::size_t vm, ForwardRequest request, std::function<void(ForwardAnswer)> answer)
    {
        const auto running = std::make_shared<Running>();
        running->m_vm = vm;
        running->m_outcome = static_cast<std::size_t>(std::stoul(request.m_id.value()));
        running->m_answer = std::move(answer);
        running->m_execution.m_id = ExecutionId(++m_lastExecution);
        running->m_execution.m_request = std::move(request);
        m_vms[vm].m_running[running->m_execution.m_id] = running;
        carryOut(running, startForward(m_vms[vm].m_state, running->m_execution, m_events.now()));
    }

    void carryOut(const RunningPtr& running, ForwardEffects effects)
    {
        for (const AttemptNumber attempt : effects.m_cancelUnsent)
            cancelUnsent(running, attempt);
        for (ForwardEffects::Send& send : effects.m_sends) {
            if (send.m_toVm)
                callVm(running, send);
            else
                callEndpoint(running, send);
        }
        if (effects.m_answer) {
            m_vms[running->m_vm].m_running.erase(running->m_execution.m_id);
            running->m_answer(std::move(*effects.m_answer));
        }
        if (effects.m_nextTimerAt && !running->m_execution.m_finished)
            m_events.at(std::max(*effects.m_nextTimerAt, m_events.now()), [this, running] { handleTimer(running); });
        for (const ExecutionId waiting : effects.m_unblocked) {
            const auto found = m_vms[running->m_vm].m_running.find(waiting);
            if (found != m_vms[running->m_vm].m_running.end())
                m_events.at(m_events.now(), [this, next = found->second] { handleTimer(next); });
        }
    }

    void handleTimer(const RunningPtr& running)
    {
        if (!running->m_execution.m_finished)
            carryOut(running, handleForwardTimer(m_vms[running->m_vm].m_state, running->m_execution, m_events.now()));
    }

    void cancelUnsent(const RunningPtr& running, AttemptNumber attempt)
    {
        if (running->m_unsent.erase(attempt) == 0)
            return;
        EndpointReply unsent;
        unsent.m_outcome = CallOutcome::NotSent;
        m_events.at(m_events.now(), [this, running, attempt, unsent] {
            carryOut(running,
                handleForwardReply(
                    m_vms[running->m_vm].m_state, running->m_execution, attempt, unsent, m_events.now()));
        });
        running->m_cancelled.insert(attempt);
    }

    void reply(const RunningPtr& running, AttemptNumber attempt, EndpointReply reply, MonotonicTime time)
    {
        m_events.at(time, [this, running, attempt, reply = std::move(reply)] {
            running->m_unsent.erase(attempt);
            if (running->m_cancelled.count(attempt) > 0)
                return;
            carryOut(running,
                handleForwardReply(m_vms[running->m_vm].m_state, running->m_execution, attempt, reply, m_events.now()));
        });
    }

    /** Lets the endpoint run the call; a cut before its answer delays the answer or loses the connection. */
    void runCall(const RunningPtr& running, const ForwardEffects::Send& send, MonotonicTime until)
    {
        Outcome& outcome = m_outcomes[running->m_outcome];
        ++outcome.m_runs;
        const std::string endpoint = send.m_call.m_endpoint.value();
        ++outcome.m_serviceRuns[endpoint.substr(0, endpoint.size() - 1)];
        const MonotonicTime answered = m_events.now() + m_load.m_workTime;
        const MonotonicTime cut = nextCut(running->m_vm, m_events.now());
        EndpointReply lost;
        if (cut < answered && m_load.m_cut == Cut::Refuse) {
            lost.m_outcome = CallOutcome::ConnectionLost;
            return reply(running, send.m_attempt, std::move(lost), std::min(cut, until));
        }
        const MonotonicTime arrived = cutUntil(running->m_vm, answered);
        if (arrived >= until) {
            lost.m_outcome = CallOutcome::TimedOut;
            return reply(running, send.m_attempt, std::move(lost), until);
        }
        reply(running, send.m_attempt, ForwardFixture::success(endpoint, std::string(16, 'x')), arrived);
    }

    void callEndpoint(const RunningPtr& running, const ForwardEffects::Send& send)
    {
        const MonotonicTime until = std::min(send.m_call.m_deadline, send.m_call.m_answerBy);
        if (!isCutNow(running->m_vm))
            return runCall(running, send, until);
        EndpointReply lost;
        const bool refused = m_load.m_cut == Cut::Refuse;
        const bool newConnection = send.m_call.m_dedicatedConnection || send.m_call.m_recentlyActiveConnection;
        lost.m_outcome = refused || newConnection ? CallOutcome::NotSent : CallOutcome::TimedOut;
        if (newConnection && !refused)
            running->m_unsent.insert(send.m_attempt);
        const MonotonicTime connectTimeout = m_events.now() + Milliseconds(500);
        reply(running, send.m_attempt, std::move(lost),
            refused             ? m_events.now() + Milliseconds(1)
                : newConnection ? std::min(connectTimeout, until)
                                : until);
    }

    void callVm(const RunningPtr& running, const ForwardEffects::Send& send)
    {
        const auto target = static_cast<std::size_t>(std::stoul(send.m_call.m_endpoint.value().substr(2)));
        HttpRequest http;
        http.m_target = send.m_call.m_path;
        http.m_body = send.m_call.m_body;
        http.m_receivedAt = m_events.now() + Milliseconds(1);
        const auto left = std::chrono::duration_cast<Milliseconds>(send.m_call.m_deadline - m_events.now());
        http.m_fields = send.m_call.m_fields;
        http.m_fields.push_back({ "X-Flamingo-Deadline-Ms", std::to_string(left.count()) });
        m_events.at(http.m_receivedAt, [this, running, http, target, attempt = send.m_attempt] {
            const auto respond = [this, running, attempt](const ForwardAnswer& answer) {
                const HttpResponse response = encodeRelayAnswer(answer);
                EndpointReply result;
                result.m_outcome = CallOutcome::Answered;
                result.m_status = response.m_status;
                result.m_notRun = response.m_status == 503;
                result.m_retryAfter = Milliseconds(1000);
                result.m_body = response.m_body;
                for (const HttpField& field : response.m_fields)
                    mergeProtocol().m_readField(result, field.m_name, field.m_value);
                reply(running, attempt, std::move(result), m_events.now() + Milliseconds(1));
            };
            ForwardRequest request;
            Reason reason { ResultCode::NoEndpoint, "cut off" };
            if (m_vms[target].m_state.m_reachability.m_cutOff || !decodeRelayCall(http, request, reason)) {
                ForwardAnswer refusal;
                refusal.m_code = reason.m_code;
                return respond(refusal);
            }
            start(target, std::move(request), respond);
        });
    }

    Load m_load;
    RandomEngine m_random;
    RoutePtr m_route;
    std::vector<Vm> m_vms;
    EventQueue m_events;
    const MonotonicTime m_start = m_events.now();
    std::uint64_t m_lastExecution = 0;
    std::vector<Outcome> m_outcomes;
};

} // namespace flamingo
