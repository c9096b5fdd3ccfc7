#pragma once

#include "endpoint/endpointclient.h"
#include "endpoint/tests/testserver.h"

#include <catch2/catch.hpp>

namespace flamingo::test {

using namespace std::chrono_literals;

// A test step that takes longer has hung.
constexpr auto hangLimit = 20s;

/** A client on an io_context run by the test, and the replies to its calls in order of arrival. */
struct EndpointClientFixture {
    explicit EndpointClientFixture(
        const EndpointProtocol& protocol = snapshotProtocol(), const EndpointClientSettings& settings = {})
        : m_client(m_context, protocol, settings)
    {
    }

    boost::asio::io_context m_context;
    EndpointClient m_client;
    EndpointId m_endpoint { "e1" };
    std::uint16_t m_port = 0; // of the server that call() addresses
    std::vector<EndpointReply> m_replies;

    EndpointCall call(const std::string& request = "r1", Milliseconds deadline = 5000ms) const
    {
        EndpointCall call;
        call.m_endpoint = m_endpoint;
        call.m_address = "127.0.0.1";
        call.m_port = m_port;
        call.m_path = "/shard/query";
        call.m_request = RequestId(request);
        call.m_attempt = AttemptNumber(2);
        call.m_snapshot = SnapshotVersion(7);
        call.m_layout = LayoutId(3);
        call.m_shard = ShardIndex(11);
        call.m_kind = "query";
        call.m_body = R"({"q":"rose"})";
        call.m_deadline = monotonicNow() + deadline;
        return call;
    }

    CallHandle start(const EndpointCall& call)
    {
        const std::size_t before = m_replies.size();
        const CallHandle handle
            = m_client.start(call, [this](EndpointReply reply) { m_replies.push_back(std::move(reply)); });
        REQUIRE(m_replies.size() == before);
        return handle;
    }

    void setMaxConnections(std::uint32_t connections)
    {
        EndpointLimits limits;
        limits.m_maxConnections = connections;
        m_client.setLimits(m_endpoint, limits);
    }

    template <typename Condition> void runUntil(Condition condition)
    {
        const auto end = monotonicNow() + hangLimit;
        while (!condition()) {
            REQUIRE(monotonicNow() < end);
            m_context.restart();
            m_context.run_one_for(10ms);
        }
    }

    void awaitReplies(std::size_t count)
    {
        runUntil([this, count] { return m_replies.size() >= count; });
    }

    void runFor(Milliseconds time)
    {
        m_context.restart();
        m_context.run_for(time);
    }
};

} // namespace flamingo::test
