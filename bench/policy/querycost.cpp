#include "querycost.h"

#include "naivequery.h"
#include "query/queryexecution.h"

#include <chrono>
#include <cstdio>

namespace flamingo::bench {

namespace {

using Clock = std::chrono::steady_clock;

std::string makeBody(std::size_t hits)
{
    std::string body = "[";
    for (std::size_t i = 0; i < hits; ++i)
        body += std::string(i > 0 ? "," : "") + R"({"score":)" + std::to_string(double(i * 7919 % 1000) / 10)
            + R"(,"key":"design-)" + std::to_string(i * 104729 % 100000)
            + R"(","data":{"title":"With deepest sympathy","verse":1234}})";
    return body + "]";
}

double microsecondsSince(Clock::time_point start)
{
    return std::chrono::duration<double, std::micro>(Clock::now() - start).count();
}

EndpointReply makeReply(const EndpointCall& call, const std::string& body)
{
    EndpointReply reply;
    reply.m_outcome = CallOutcome::Answered;
    reply.m_status = 200;
    reply.m_request = call.m_request;
    reply.m_attempt = call.m_attempt;
    reply.m_snapshot = call.m_snapshot;
    reply.m_layout = call.m_layout;
    reply.m_shard = call.m_shard;
    reply.m_body = body;
    return reply;
}

// Returns the microseconds that stepQuery() takes for one query, without the construction of replies.
double queryCost(RoutingState& routing, const ServiceName& service, const std::string& body, unsigned rounds)
{
    FingerprintMemory memory = makeFingerprintMemory();
    RandomEngine random(1);
    const QuerySettings settings;
    MonotonicTime now = MonotonicTime {} + std::chrono::hours(1);
    double total = 0;
    for (unsigned round = 0; round < rounds; ++round) {
        QueryContext context { routing, memory, random, settings, true };
        QueryRequest request;
        request.m_id = RequestId("cost");
        request.m_service = service;
        QueryExecution execution = makeQueryExecution(ExecutionId(round + 1), request);
        std::vector<EndpointCall> calls;
        const auto run = [&](QueryEvent event) {
            const auto start = Clock::now();
            QueryEffects effects = stepQuery(execution, std::move(event), context, now);
            total += microsecondsSince(start);
            for (QueryEffect& effect : effects) {
                if (auto* send = std::get_if<SendCall>(&effect))
                    calls.push_back(std::move(send->m_call));
            }
        };
        run(QueryStarted {});
        for (std::size_t i = 0; i < calls.size(); ++i) {
            now += Microseconds(10);
            run(CallReplied { calls[i].m_attempt, makeReply(calls[i], body) });
        }
        if (execution.m_phase != QueryPhase::Finished)
            std::fprintf(stderr, "a query did not finish\n");
    }
    return total / rounds;
}

} // namespace

void measureQueries()
{
    std::printf("what,shards,endpoints known,hits per answer,us per query,us per answer\n");
    for (const unsigned endpoints : { 100U, 1000U, 10000U }) {
        for (const unsigned shards : { 20U, 100U, 400U }) {
            for (const std::size_t hits : { std::size_t(10), std::size_t(100) }) {
                PublishedState state = makeState(endpoints);
                const ServiceName service("measured");
                ServiceDefinition& definition = state.m_services[service];
                definition.m_name = service;
                definition.m_canary = false;
                SnapshotLayout layout { { service, SnapshotVersion(1), LayoutId(1) }, {} };
                layout.m_shardWeights.assign(shards, 1);
                state.m_layouts[layout.m_key] = layout;
                for (unsigned i = 0; i < 2 * shards; ++i) {
                    EndpointRecord record = state.m_endpoints.begin()->second;
                    record.m_id = EndpointId("measured-" + std::to_string(i));
                    record.m_service = service;
                    record.m_holdings = { { SnapshotVersion(1), LayoutId(1), ShardIndex(i / 2) } };
                    state.m_endpoints[record.m_id] = record;
                }
                RoutingSettings settings;
                settings.m_vm = VmId("vm1");
                settings.m_dataCentre = DataCentreName("a");
                RoutingState routing = makeRoutingState(settings);
                applyPublishedState(routing, std::make_shared<PublishedState>(state), monotonicNow());
                const std::string body = makeBody(hits);
                const double cost = queryCost(routing, service, body, 40000 / shards);
                std::printf("step query,%u,%u,%zu,%.1f,%.2f\n", shards, endpoints, hits, cost, cost / shards);
            }
        }
    }
    for (const std::size_t hits : { std::size_t(10), std::size_t(100) }) {
        std::map<std::uint32_t, std::string> bodies;
        for (std::uint32_t shard = 0; shard < 100; ++shard)
            bodies[shard] = makeBody(hits);
        const auto start = Clock::now();
        std::size_t size = 0;
        for (int i = 0; i < 20; ++i)
            size += testing::naiveMerge(bodies, 100).size();
        const double naive = microsecondsSince(start) / 20;
        const auto mergeStart = Clock::now();
        for (int i = 0; i < 20; ++i) {
            HitMerger merger;
            for (const auto& [shard, body] : bodies)
                addShardHits(merger, ShardIndex(shard), body);
            size += mergedHits(merger).size();
        }
        const double merged = microsecondsSince(mergeStart) / 20;
        std::printf("merge with a JSON tree,100,,%zu,%.1f,%.2f\n", hits, naive, naive / 100);
        std::printf("merge of scanned slices,100,,%zu,%.1f,%.2f\n", hits, merged, merged / 100);
        if (size == 0)
            std::fprintf(stderr, "nothing was merged\n");
    }
}

} // namespace flamingo::bench
