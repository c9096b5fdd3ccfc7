#pragma once

#include "query/queryexecution.h"
#include "virtualtime.h"

#include <functional>
#include <map>
#include <utility>

namespace flamingo::testing {

using ReplyTo = std::function<void(EndpointReply)>;

/** Event loop of one daemon in virtual time. Applies the effects of query executions. */
class VirtualDaemon {
public:
    using Finished = std::function<void(const QueryExecution&, const QueryAnswer&)>;
    // Runs a call at an endpoint. May reply any number of times, or never.
    using Transport = std::function<void(const EndpointCall&, ReplyTo)>;

    VirtualDaemon(VirtualTime& time, const RoutingSettings& settings, std::uint64_t seed)
        : m_routing(makeRoutingState(settings))
        , m_random(seed)
        , m_time(time)
    {
    }

    void apply(std::shared_ptr<const PublishedState> state)
    {
        applyPublishedState(m_routing, std::move(state), m_time.now());
        std::vector<ExecutionId> ids;
        for (const auto& [id, execution] : m_executions)
            ids.push_back(id);
        for (const ExecutionId id : ids)
            deliver(id, StateChanged {});
    }

    void start(QueryRequest request, Finished finished)
    {
        const ExecutionId id(++m_lastId);
        m_executions.emplace(id, RunningQuery { makeQueryExecution(id, std::move(request)), std::move(finished), 0 });
        deliver(id, QueryStarted {});
    }

    void deliver(ExecutionId id, QueryEvent event)
    {
        const auto position = m_executions.find(id);
        if (position == m_executions.end())
            return;
        QueryContext context { m_routing, m_memory, m_random, m_settings, m_leaseValid };
        QueryEffects effects = stepQuery(position->second.m_execution, std::move(event), context, m_time.now());
        for (QueryEffect& effect : effects)
            std::visit([&](auto& alternative) { applyEffect(id, alternative); }, effect);
    }

    RoutingState m_routing;
    FingerprintMemory m_memory = makeFingerprintMemory(4096);
    RandomEngine m_random;
    QuerySettings m_settings;
    bool m_leaseValid = true;
    Transport m_transport;
    std::function<void(const RequestId&, AttemptNumber)> m_cancel;
    std::function<void(const ReportDeath&, std::function<void(bool)>)> m_report;
    std::uint64_t m_timersSet = 0;

private:
    struct RunningQuery {
        QueryExecution m_execution;
        Finished m_finished;
        std::uint64_t m_timer = 0;
    };

    void applyEffect(ExecutionId id, SendCall& effect)
    {
        const AttemptNumber attempt = effect.m_call.m_attempt;
        m_transport(effect.m_call, [this, id, attempt](EndpointReply reply) {
            m_time.after(Microseconds(0), [this, id, attempt, reply = std::move(reply)] {
                deliver(id, CallReplied { attempt, reply });
            });
        });
    }
    void applyEffect(ExecutionId id, CancelCall& effect)
    {
        const auto running = m_executions.find(id);
        if (m_cancel && running != m_executions.end())
            m_cancel(running->second.m_execution.m_request.m_id, effect.m_attempt);
    }
    void applyEffect(ExecutionId id, SetTimer& effect)
    {
        ++m_timersSet;
        const auto running = m_executions.find(id);
        if (running == m_executions.end())
            return;
        const std::uint64_t timer = ++running->second.m_timer;
        m_time.at(effect.m_at, [this, id, timer] {
            const auto position = m_executions.find(id);
            if (position != m_executions.end() && position->second.m_timer == timer)
                deliver(id, TimerExpired {});
        });
    }
    void applyEffect(ExecutionId id, FinishQuery& effect)
    {
        auto node = m_executions.extract(id);
        node.mapped().m_finished(node.mapped().m_execution, effect.m_answer);
    }
    void applyEffect(ExecutionId id, ReportDeath& effect)
    {
        if (!m_report)
            return;
        const Fingerprint fingerprint = effect.m_suspects.front();
        m_report(effect, [this, id, fingerprint](bool quarantined) {
            recordReportApplied(m_memory, fingerprint);
            deliver(id, QuarantineDecided { quarantined });
        });
    }
    void applyEffect(ExecutionId, MarkSuccess&) { }
    void applyEffect(ExecutionId, WakeExecution& effect)
    {
        m_time.after(
            Microseconds(0), [this, effect] { deliver(effect.m_execution, CapacityFreed { effect.m_endpoint }); });
    }

    VirtualTime& m_time;
    std::uint64_t m_lastId = 0;
    std::map<ExecutionId, RunningQuery> m_executions;
};

} // namespace flamingo::testing
