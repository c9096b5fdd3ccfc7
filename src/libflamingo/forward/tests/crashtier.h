#pragma once

#include "control/tests/commandmaker.h"
#include "forward/crashsuspects.h"
#include "forward/tests/eventqueue.h"
#include "forward/tests/forwardfixture.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace flamingo {

/**
 * Entry VMs, a control VM and endpoints that end while they run certain requests, in virtual time. Callers send such a
 * request again and again, through any VM. Records what reaches the endpoints and what callers of other requests get.
 */
class CrashTier {
public:
    struct Load {
        int m_vms = 6;
        int m_shards = 0; // 0 for a service without shards
        int m_endpoints = 4; // of each service
        bool m_idempotent = true;
        Milliseconds m_crashingEvery { 300 }; // 0 for no request that crashes endpoints
        Milliseconds m_outageEvery { 0 }; // half of the endpoints of each service end at once, for other reasons
        int m_targets = 20; // different requests that crash nothing
        double m_requestsPerSecond = 60.0;
        std::uint64_t m_seed = 1;
    };

    explicit CrashTier(const Load& load)
        : m_load(load)
        , m_random(load.m_seed)
    {
        ForwardFixture fixture(0);
        m_published = fixture.m_published;
        m_published.m_vms.clear();
        Route route = fixture.m_single;
        route.m_targets.clear();
        for (int number = 0; number < std::max(1, load.m_shards); ++number)
            addService(route, ServiceName("s" + std::to_string(number)));
        route.m_idempotence = load.m_idempotent ? Idempotence::Idempotent : Idempotence::NonIdempotent;
        m_route = std::make_shared<const Route>(route);
        for (int number = 0; number < load.m_vms; ++number) {
            VmRecord vm;
            vm.m_id = VmId("vm" + std::to_string(number));
            m_published.m_vms[vm.m_id] = vm;
        }
        for (int number = 0; number < load.m_vms; ++number) {
            m_vms.push_back(makeForwardState(VmId("vm" + std::to_string(number)), DataCentreName("north")));
            m_vms.back().m_random.seed(load.m_seed + static_cast<std::uint64_t>(number));
        }
        publish();
    }

    /** Plays 30 s. */
    void play()
    {
        if (m_load.m_crashingEvery.count() > 0)
            every(m_load.m_crashingEvery, [this] { arrive(crashingTarget); });
        if (m_load.m_outageEvery.count() > 0)
            every(m_load.m_outageEvery, [this] { endHalf(); });
        scheduleArrival();
        m_events.run();
    }

    std::size_t crashes() const { return m_crashes.size(); }

    /** Returns how often the crashing request reached an endpoint later than the time after its third crash. */
    std::size_t arrivalsAfterThirdCrash(Milliseconds time) const
    {
        if (m_crashes.size() < 3)
            return 0;
        return static_cast<std::size_t>(std::count_if(m_crashingArrivals.begin(), m_crashingArrivals.end(),
            [&](MonotonicTime at) { return at > m_crashes[2] + time; }));
    }

    int m_requests = 0; // that crash nothing
    int m_served = 0;
    int m_quarantined = 0; // of them, refused as crashing endpoints

private:
    static constexpr char crashingTarget[] = "/crashing";

    struct Running {
        ForwardExecution m_execution;
        ForwardState* m_vm = nullptr;
    };
    using RunningPtr = std::shared_ptr<Running>;

    struct Endpoint {
        MonotonicTime m_downUntil {};
        std::vector<std::pair<RunningPtr, AttemptNumber>> m_calls;
    };

    MonotonicTime end() const { return m_start + std::chrono::seconds(30); }

    void every(Milliseconds interval, const std::function<void()>& action)
    {
        for (MonotonicTime time = m_start + interval; time < end(); time += interval)
            m_events.at(time, action);
    }

    void addService(Route& route, const ServiceName& service)
    {
        m_published.m_routedServices[service] = { service, "/health", 60 };
        for (int number = 0; number < m_load.m_endpoints; ++number) {
            EndpointRecord endpoint;
            endpoint.m_id = EndpointId(service.value() + "-" + std::to_string(number));
            endpoint.m_service = service;
            endpoint.m_address = "127.0.0.1";
            endpoint.m_port = 1;
            endpoint.m_incarnation = Incarnation(1);
            endpoint.m_slots = 4;
            endpoint.m_connections = 60;
            endpoint.m_routed = true;
            m_published.m_endpoints[endpoint.m_id] = endpoint;
        }
        if (m_load.m_shards > 0)
            route.m_shards.push_back(service);
        else
            route.m_targets.push_back({ service, 1.0 });
    }

    void publish()
    {
        const auto state = std::make_shared<const PublishedState>(m_published);
        for (ForwardState& vm : m_vms)
            applyForwardState(vm, state, m_events.now(), nullptr);
    }

    void scheduleArrival()
    {
        const std::chrono::duration<double> gap(
            std::exponential_distribution<double>(m_load.m_requestsPerSecond)(m_random));
        const MonotonicTime time = m_events.now() + std::chrono::duration_cast<MonotonicTime::duration>(gap);
        if (time >= end())
            return;
        m_events.at(time, [this] {
            arrive("/" + std::to_string(std::uniform_int_distribution<int>(1, m_load.m_targets)(m_random)));
            scheduleArrival();
        });
    }

    void arrive(const std::string& target)
    {
        const auto running = std::make_shared<Running>();
        running->m_vm = &m_vms[std::uniform_int_distribution<std::size_t>(0, m_vms.size() - 1)(m_random)];
        running->m_execution.m_id = ExecutionId(++m_lastExecution);
        ForwardRequest& request = running->m_execution.m_request;
        request.m_id = RequestId(std::to_string(m_lastExecution));
        request.m_method = "GET";
        request.m_target = target;
        request.m_receivedAt = m_events.now();
        request.m_route = m_route;
        m_requests += target == crashingTarget ? 0 : 1;
        carryOut(running, startForward(*running->m_vm, running->m_execution, m_events.now()));
    }

    void carryOut(const RunningPtr& running, ForwardEffects effects)
    {
        if (effects.m_clearSuspect)
            propose(ClearSuspect { running->m_execution.m_fingerprint }, nullptr);
        for (const ForwardEffects::Send& send : effects.m_sends)
            call(running, send);
        if (effects.m_answer && running->m_execution.m_request.m_target != crashingTarget) {
            m_served += effects.m_answer->m_code == ResultCode::Ok ? 1 : 0;
            m_quarantined += effects.m_answer->m_code == ResultCode::Quarantined ? 1 : 0;
        }
        for (const LostEndpoint& endpoint : takeLostEndpoints(*running->m_vm, running->m_execution))
            m_events.at(m_events.now() + Milliseconds(1), [this, running, endpoint] { examine(running, endpoint); });
        if (effects.m_nextTimerAt && !running->m_execution.m_finished)
            m_events.at(std::max(*effects.m_nextTimerAt, m_events.now()), [this, running] {
                if (!running->m_execution.m_finished)
                    carryOut(running, handleForwardTimer(*running->m_vm, running->m_execution, m_events.now()));
            });
    }

    void examine(const RunningPtr& running, const LostEndpoint& endpoint)
    {
        if (m_events.now() >= m_endpoints[endpoint.m_id].m_downUntil)
            return;
        const Fingerprint fingerprint = running->m_execution.m_fingerprint;
        if (auto death = reportCrash(*running->m_vm, running->m_execution, endpoint, m_events.now()))
            propose(std::move(*death),
                [running, fingerprint] { recordReportApplied(running->m_vm->m_fingerprints, fingerprint); });
    }

    // The control VM applies a command after 30 ms, and its result reaches all VMs 50 ms later.
    void propose(CommandBody body, const std::function<void()>& applied)
    {
        m_events.at(m_events.now() + Milliseconds(30), [this, body = std::move(body), applied] {
            m_control.run(body);
            m_events.at(m_events.now() + Milliseconds(50), [this, applied] {
                m_published.m_quarantine = m_control.m_state.m_published.m_quarantine;
                publish();
                if (applied)
                    applied();
                for (ForwardState& vm : m_vms) {
                    for (const Fingerprint harmless : wronglyQuarantined(vm))
                        propose(ClearSuspect { harmless }, nullptr);
                }
            });
        });
    }

    void call(const RunningPtr& running, const ForwardEffects::Send& send)
    {
        Endpoint& endpoint = m_endpoints[send.m_call.m_endpoint];
        EndpointReply refused;
        if (m_events.now() < endpoint.m_downUntil)
            return reply(running, send.m_attempt, refused, m_events.now() + Milliseconds(1));
        endpoint.m_calls.emplace_back(running, send.m_attempt);
        const EndpointId id = send.m_call.m_endpoint;
        if (running->m_execution.m_request.m_target == crashingTarget) {
            m_crashingArrivals.push_back(m_events.now());
            m_events.at(m_events.now() + Milliseconds(5), [this, id] {
                if (m_events.now() < m_endpoints[id].m_downUntil)
                    return;
                m_crashes.push_back(m_events.now());
                endEndpoint(id);
            });
            return;
        }
        m_events.at(m_events.now() + Milliseconds(20), [this, id, running, attempt = send.m_attempt] {
            auto& calls = m_endpoints[id].m_calls;
            const auto found = std::find(calls.begin(), calls.end(), std::make_pair(running, attempt));
            if (found == calls.end())
                return; // the endpoint has ended meanwhile
            calls.erase(found);
            reply(running, attempt, ForwardFixture::success("r", std::string(16, 'x')), m_events.now());
        });
    }

    void reply(const RunningPtr& running, AttemptNumber attempt, const EndpointReply& reply, MonotonicTime time)
    {
        m_events.at(time, [this, running, attempt, reply] {
            carryOut(running, handleForwardReply(*running->m_vm, running->m_execution, attempt, reply, m_events.now()));
        });
    }

    void endEndpoint(const EndpointId& id)
    {
        Endpoint& endpoint = m_endpoints[id];
        endpoint.m_downUntil = m_events.now() + std::chrono::seconds(2);
        for (const auto& [running, attempt] : std::exchange(endpoint.m_calls, {}))
            reply(running, attempt, ForwardFixture::lost(), m_events.now());
        m_events.at(endpoint.m_downUntil + Milliseconds(100), [this, id] {
            EndpointRecord& record = m_published.m_endpoints[id];
            record.m_incarnation = Incarnation(record.m_incarnation.value() + 1);
            publish();
        });
    }

    void endHalf()
    {
        bool ends = false;
        for (const auto& [id, record] : m_published.m_endpoints) {
            ends = !ends;
            if (ends && m_events.now() >= m_endpoints[id].m_downUntil)
                endEndpoint(id);
        }
    }

    Load m_load;
    RandomEngine m_random;
    Replica m_control;
    PublishedState m_published;
    RoutePtr m_route;
    std::vector<ForwardState> m_vms;
    std::map<EndpointId, Endpoint> m_endpoints;
    EventQueue m_events;
    const MonotonicTime m_start = m_events.now();
    std::uint64_t m_lastExecution = 0;
    std::vector<MonotonicTime> m_crashes; // caused by the crashing request
    std::vector<MonotonicTime> m_crashingArrivals;
};

} // namespace flamingo
