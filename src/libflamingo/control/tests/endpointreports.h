#pragma once

#include "control/codec.h"
#include "control/controlservice.h"
#include "control/endpointmessagehandler.h"
#include "routing/routingtable.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace flamingo {

/** Returns a heartbeat of an endpoint of a routed service that is ready for calls. */
inline EndpointHeartbeat readyHeartbeat(
    const std::string& id, std::uint64_t incarnation, const std::string& address = "10.0.0.1")
{
    EndpointHeartbeat result;
    result.m_endpoint.m_id = EndpointId(id);
    result.m_endpoint.m_service = ServiceName("orders");
    result.m_endpoint.m_address = address;
    result.m_endpoint.m_port = 80;
    result.m_endpoint.m_incarnation = Incarnation(incarnation);
    result.m_endpoint.m_routed = true;
    return result;
}

inline EndpointHeartbeat drainingHeartbeat(
    const std::string& id, std::uint64_t incarnation, const std::string& address = "10.0.0.1")
{
    EndpointHeartbeat result = readyHeartbeat(id, incarnation, address);
    result.m_endpoint.m_draining = true;
    return result;
}

inline EndpointDeparture departure(const std::string& id, std::optional<std::uint64_t> incarnation = {})
{
    EndpointDeparture result { EndpointId(id), {} };
    if (incarnation)
        result.m_incarnation = Incarnation(*incarnation);
    return result;
}

/** Outcome of a message as the endpoint that sent it sees it. */
enum class Outcome {
    Unknown, // no answer yet, or none at all
    Acknowledged,
    Refused,
};

/**
 * A control leader to which endpoints report, and the callers that follow its published state.
 *
 * Proposals are committed when the test says so. One entry VM renews its lease while time passes, so that the leader
 * expires silent endpoints.
 */
class EndpointReports {
public:
    EndpointReports()
    {
        startProcess();
        commit();
    }

    /** Hands a message to the leader; its commands wait for commit(). */
    std::shared_ptr<Outcome> send(const EndpointMessage& message)
    {
        const auto outcome = std::make_shared<Outcome>(Outcome::Unknown);
        m_handler->handle(
            message,
            [outcome](ResultCode code, const std::string&) {
                *outcome = code == ResultCode::Ok ? Outcome::Acknowledged : Outcome::Refused;
            },
            m_now);
        return outcome;
    }
    /** Hands a message to the leader, commits all proposals and returns the outcome. */
    Outcome report(const EndpointMessage& message)
    {
        const auto outcome = send(message);
        commit();
        return *outcome;
    }

    /** Makes the command of an operator and commits it. */
    void apply(CommandBody body)
    {
        Command command;
        command.m_body = std::move(body);
        m_service->submit(
            std::move(command), [](const CommandResult& result) { REQUIRE(result.m_code == ResultCode::Ok); });
        commit();
    }

    /** Commits the oldest proposal. Returns false if there is none. */
    bool commitOne()
    {
        if (m_proposals.empty())
            return false;
        const std::string entry = std::move(m_proposals.front());
        m_proposals.pop_front();
        m_service->onApplied(entry, m_now);
        return true;
    }
    void commit()
    {
        while (commitOne()) { }
    }

    /** Lets time pass without heartbeats of endpoints. */
    void run(Milliseconds time)
    {
        constexpr Milliseconds step { 100 };
        for (Milliseconds passed { 0 }; passed < time; passed += step) {
            m_now += step;
            m_service->onMessage(LinkId(1), encodeMessage(Renew { 1, revision(), {}, false }), m_now);
            m_service->tick(m_now);
            m_handler->tick(m_now);
        }
    }
    /** Lets time pass until the leader has proposed to remove all endpoints. */
    void proposeExpiry() { run(m_settings.m_endpointTtl + m_settings.m_removalBatchDelay + Milliseconds(1000)); }
    void expireAll()
    {
        proposeExpiry();
        commit();
    }

    /** Another leader takes over with the oldest proposals. Nobody learns the outcome of any of them. */
    void replaceLeader(std::size_t committedProposals)
    {
        m_leaderSince.reset();
        m_service->onRoleChanged(m_now);
        m_proposals.resize(std::min(committedProposals, m_proposals.size()));
        commit();
        m_leaderSince = m_now;
        m_service->onRoleChanged(m_now);
    }
    /** The leader's process is restarted and restores its state from a snapshot. */
    void restart()
    {
        replaceLeader(0);
        const std::string snapshot = m_service->takeSnapshot();
        m_handler.reset();
        startProcess();
        REQUIRE(m_service->restoreSnapshot(snapshot));
        commit();
    }

    /** Returns the incarnation of the endpoint to which callers send new calls, if any. */
    std::optional<std::uint64_t> calledIncarnation(const std::string& id) const
    {
        RoutingTable table;
        reconcileRoutingTable(table, m_service->state().m_published, [](EndpointIndex) {});
        const auto position = table.m_positions.find(EndpointId(id));
        if (position == table.m_positions.end())
            return std::nullopt;
        const EndpointRoute& route = table.m_endpoints[position->second.value()];
        return route.m_present && !route.m_draining ? std::optional(route.m_incarnation.value()) : std::nullopt;
    }
    bool isCalled(const std::string& id) const { return calledIncarnation(id).has_value(); }

    Revision revision() const { return m_service->state().m_published.m_revision; }

    std::unique_ptr<ControlService> m_service;

private:
    void startProcess()
    {
        ControlServicePorts ports;
        ports.m_propose = [this](std::string entry) {
            if (m_leaderSince)
                m_proposals.push_back(std::move(entry));
            return m_leaderSince.has_value();
        };
        ports.m_readyToServe = [this]() { return m_leaderSince.has_value(); };
        ports.m_confirmedRoundStart = [this]() { return std::optional(m_now); };
        ports.m_leaderSince = [this]() { return m_leaderSince; };
        ports.m_leaderAddress = []() { return std::string(); };
        ports.m_controlAddresses = []() { return std::vector<std::string>(); };
        ports.m_send = [](LinkId, const std::string&) {};
        ports.m_wallClock
            = [this]() { return LogTime(std::chrono::duration_cast<Milliseconds>(m_now.time_since_epoch()).count()); };
        m_service = std::make_unique<ControlService>(std::move(ports), ++m_processes, m_settings);
        m_handler = std::make_unique<EndpointMessageHandler>(*m_service);
        m_service->onRoleChanged(m_now);
        m_service->onLinkOpened(LinkId(1));
        const Hello hello { VmId("vm1"), Incarnation(1), {}, {}, Revision(), 0 };
        m_service->onMessage(LinkId(1), encodeMessage(hello), m_now);
    }

    ControlServiceSettings m_settings { Milliseconds(4800), Milliseconds(1200) };
    MonotonicTime m_now { std::chrono::hours(1000) };
    std::optional<MonotonicTime> m_leaderSince = m_now;
    std::deque<std::string> m_proposals; // not committed yet
    std::unique_ptr<EndpointMessageHandler> m_handler;
    std::uint64_t m_processes = 0;
};

} // namespace flamingo
