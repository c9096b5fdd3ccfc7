#include "load/baselinerun.h"

#include "endpoint/endpointclient.h"
#include "endpoint/scenario.h"
#include "load/openloop.h"

#include <random>

namespace flamingo::bench {

namespace {

// Connections opened to each endpoint before the run, as the daemons open theirs.
constexpr std::uint32_t warmConnections = 4;
constexpr Milliseconds warmUpTime { 200 };
constexpr unsigned statusOk = 200;

struct Progress {
    std::uint32_t m_openCalls = 0; // calls without a reply so far
    std::uint32_t m_successfulCalls = 0; // calls answered with status 200
};

class BaselineRun {
public:
    BaselineRun(const Scenario& scenario, const std::string& service, Milliseconds deadline,
        const std::vector<PlannedQuery>& plan)
        : m_deadline(deadline)
        , m_plan(plan)
        , m_client(m_context)
        , m_loop(m_context, plan, [this](std::size_t index) { send(index); })
        , m_results(plan.size())
        , m_progress(plan.size())
    {
        for (const StubEndpoint& endpoint : scenario.m_endpoints) {
            const EndpointRecord& record = endpoint.m_record;
            if (record.m_service.value() != service || record.m_holdings.empty())
                continue;
            const ShardHolding& holding = record.m_holdings.front();
            m_replicas.resize(std::max<std::size_t>(m_replicas.size(), holding.m_shard.value() + 1));
            m_replicas[holding.m_shard.value()].push_back(&record);
            EndpointLimits limits;
            // The daemons keep their connections open during this run, and the endpoint counts both against its limit.
            limits.m_maxConnections = std::max(1U, record.m_connections / 2);
            m_client.setLimits(record.m_id, limits);
            m_client.preconnect(record.m_id, record.m_address, record.m_port, warmConnections);
        }
        if (m_replicas.empty())
            throw std::runtime_error("the scenario has no endpoints of service '" + service + "'");
    }

    Measurements run()
    {
        m_context.run_for(warmUpTime);
        m_loop.start();
        while (m_finished < m_plan.size())
            m_context.run_one();
        return std::move(m_results);
    }

private:
    void send(std::size_t index)
    {
        Measurement& result = m_results[index];
        result.m_at = m_plan[index].m_at;
        result.m_shards = result.m_endpointRequests = static_cast<std::uint32_t>(m_replicas.size());
        m_progress[index].m_openCalls = result.m_shards;
        std::mt19937_64 random(m_plan[index].m_replicaSeed);
        for (std::size_t shard = 0; shard < m_replicas.size(); ++shard) {
            const auto& replicas = m_replicas[shard];
            const EndpointRecord& record
                = *replicas[std::uniform_int_distribution<std::size_t>(0, replicas.size() - 1)(random)];
            EndpointCall call;
            call.m_endpoint = record.m_id;
            call.m_address = record.m_address;
            call.m_port = record.m_port;
            call.m_path = "/shard/query";
            call.m_request = RequestId("1-" + std::to_string(index));
            call.m_attempt = AttemptNumber(static_cast<std::uint32_t>(shard + 1));
            call.m_snapshot = record.m_holdings.front().m_version;
            call.m_layout = record.m_holdings.front().m_layout;
            call.m_shard = record.m_holdings.front().m_shard;
            call.m_kind = "query";
            call.m_body = m_plan[index].m_text;
            call.m_deadline = m_loop.intendedTime(index) + m_deadline;
            m_client.start(std::move(call), [this, index](const EndpointReply& reply) { onReply(index, reply); });
        }
    }

    void onReply(std::size_t index, const EndpointReply& reply)
    {
        Progress& progress = m_progress[index];
        Measurement& result = m_results[index];
        if (reply.m_outcome == CallOutcome::Answered && reply.m_status == statusOk)
            ++progress.m_successfulCalls;
        if (reply.m_outcome == CallOutcome::NotSent)
            --result.m_endpointRequests;
        if (--progress.m_openCalls > 0)
            return;
        const auto elapsed = monotonicNow() - m_loop.intendedTime(index);
        result.m_latency = std::chrono::duration_cast<Microseconds>(elapsed);
        result.m_coverage = double(progress.m_successfulCalls) / double(result.m_shards);
        result.m_code = progress.m_successfulCalls > 0 ? "Ok" : "NoAnswer";
        ++m_finished;
    }

    Milliseconds m_deadline;
    const std::vector<PlannedQuery>& m_plan;
    boost::asio::io_context m_context { 1 };
    EndpointClient m_client;
    OpenLoop m_loop;
    std::vector<std::vector<const EndpointRecord*>> m_replicas; // for each shard
    Measurements m_results;
    std::vector<Progress> m_progress;
    std::size_t m_finished = 0;
};

} // namespace

Measurements runBaseline(
    const Scenario& scenario, const std::string& service, Milliseconds deadline, const std::vector<PlannedQuery>& plan)
{
    return BaselineRun(scenario, service, deadline, plan).run();
}

} // namespace flamingo::bench
