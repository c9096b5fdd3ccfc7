#pragma once

#include "forward/forwardexecution.h"
#include "forward/forwardstate.h"

#include <memory>
#include <string>
#include <vector>

namespace flamingo {

/** Forwarding state of an entry VM with routes and endpoints. The test controls the clock and the replies. */
class ForwardFixture {
public:
    /** Creates the services s0, s1, ... with two endpoints each: e0a and e0b for s0, and so on. */
    explicit ForwardFixture(int services)
    {
        m_state = makeForwardState(VmId("vm"), DataCentreName("north"));
        m_published.m_revision = Revision(1);
        m_published.m_routeHeader.m_version = ConfigurationVersion(1);
        VmRecord vm;
        vm.m_id = VmId("vm");
        m_published.m_vms[vm.m_id] = vm;
        for (int number = 0; number < services; ++number) {
            const ServiceName service("s" + std::to_string(number));
            m_published.m_routedServices[service] = { service, "/health", 10 };
            addEndpoint("e" + std::to_string(number) + "a", service);
            addEndpoint("e" + std::to_string(number) + "b", service);
            m_fanOut.m_shards.push_back(service);
        }
        m_fanOut.m_name = "fan-out";
        m_fanOut.m_key = { "host", "/all/" };
        m_fanOut.m_idempotence = Idempotence::Idempotent;
        m_fanOut.m_timeout = Milliseconds(1000);
        m_fanOut.m_goal = Milliseconds(100);
        m_fanOut.m_maxAttempts = 2;
        m_fanOut.m_topRecords = 2;
        m_fanOut.m_minAnsweredShare = 0.5;
        m_single = m_fanOut;
        m_single.m_name = "single";
        m_single.m_shards.clear();
        m_single.m_targets.push_back({ ServiceName("s0"), 1.0 });
        apply();
    }

    void addEndpoint(const std::string& id, const ServiceName& service)
    {
        EndpointRecord endpoint;
        endpoint.m_id = EndpointId(id);
        endpoint.m_service = service;
        endpoint.m_address = "127.0.0.1";
        endpoint.m_port = 1;
        endpoint.m_dataCentre = DataCentreName("north");
        endpoint.m_slots = 2;
        endpoint.m_connections = 10;
        endpoint.m_routed = true;
        m_published.m_endpoints[endpoint.m_id] = endpoint;
    }

    void apply() { applyForwardState(m_state, std::make_shared<const PublishedState>(m_published), m_now, nullptr); }

    ForwardExecution execution(const Route& route)
    {
        ForwardExecution execution;
        execution.m_id = ExecutionId(++m_lastExecution);
        execution.m_request.m_id = RequestId("request");
        execution.m_request.m_method = "GET";
        execution.m_request.m_receivedAt = m_now;
        execution.m_request.m_route = std::make_shared<const Route>(route);
        return execution;
    }

    static EndpointReply success(const std::string& receipt, const std::string& body = {})
    {
        EndpointReply reply;
        reply.m_outcome = CallOutcome::Answered;
        reply.m_status = 200;
        reply.m_receipt = receipt;
        reply.m_body = body;
        return reply;
    }

    static EndpointReply refusal()
    {
        EndpointReply reply;
        reply.m_outcome = CallOutcome::Answered;
        reply.m_status = 503;
        reply.m_notRun = true;
        return reply;
    }

    static EndpointReply lost()
    {
        EndpointReply reply;
        reply.m_outcome = CallOutcome::ConnectionLost;
        return reply;
    }

    ForwardEffects start(ForwardExecution& execution) { return startForward(m_state, execution, m_now); }

    ForwardEffects reply(ForwardExecution& execution, const ForwardEffects::Send& send, EndpointReply reply)
    {
        return handleForwardReply(m_state, execution, send.m_attempt, std::move(reply), m_now);
    }

    /** Advances the clock and lets the execution's timer expire. */
    ForwardEffects timer(ForwardExecution& execution, Milliseconds after)
    {
        m_now += after;
        return handleForwardTimer(m_state, execution, m_now);
    }

    ForwardState m_state;
    PublishedState m_published;
    Route m_fanOut; // with all services as shards
    Route m_single; // with s0 as its only target
    MonotonicTime m_now { std::chrono::hours(1) };
    std::uint64_t m_lastExecution = 0;
};

} // namespace flamingo
