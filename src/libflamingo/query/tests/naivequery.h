#pragma once

#include "base/ids.h"
#include "control/publishedstate.h"
#include "endpoint/endpointcall.h"
#include "query/queryanswer.h"
#include "query/queryrequest.h"
#include "virtualtime.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace flamingo::testing {

/** Reference merge that parses each body into a JSON tree. Precondition: the bodies are well-formed. */
inline std::string naiveMerge(const std::map<std::uint32_t, std::string>& bodies, std::size_t limit)
{
    struct Hit {
        double m_score;
        std::string m_key;
        std::uint32_t m_shard;
        const rapidjson::Value* m_value;
    };
    std::vector<std::unique_ptr<rapidjson::Document>> trees;
    std::vector<Hit> hits;
    for (const auto& [shard, body] : bodies) {
        trees.push_back(std::make_unique<rapidjson::Document>());
        trees.back()->Parse<rapidjson::kParseFullPrecisionFlag>(body.c_str());
        for (const rapidjson::Value& value : trees.back()->GetArray())
            hits.push_back({ value["score"].GetDouble(), value["key"].GetString(), shard, &value });
    }
    std::stable_sort(hits.begin(), hits.end(), [](const Hit& a, const Hit& b) {
        return std::tuple(-a.m_score, a.m_key, a.m_shard) < std::tuple(-b.m_score, b.m_key, b.m_shard);
    });
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    std::set<std::pair<std::uint32_t, std::string>> seen;
    writer.StartArray();
    std::size_t written = 0;
    for (const Hit& hit : hits) {
        if (written < limit && seen.emplace(hit.m_shard, hit.m_key).second) {
            hit.m_value->Accept(writer);
            ++written;
        }
    }
    writer.EndArray();
    return buffer.GetString();
}

/**
 * Baseline query: uses the newest snapshot and a random replica of each shard, sends no hedges or retries, and
 * waits for all shards.
 */
class NaiveQuery : public std::enable_shared_from_this<NaiveQuery> {
public:
    using Transport = std::function<void(const EndpointCall&, std::function<void(EndpointReply)>)>;
    using Finished = std::function<void(const QueryAnswer&)>;

    NaiveQuery(VirtualTime& time, QueryRequest request, Finished finished)
        : m_time(time)
        , m_request(std::move(request))
        , m_finished(std::move(finished))
    {
    }

    void start(const PublishedState& state, const Transport& transport, std::mt19937_64& random)
    {
        const ServiceDefinition& service = state.m_services.at(m_request.m_service);
        const SnapshotLayout* newest = nullptr;
        for (const auto& [key, layout] : state.m_layouts) {
            if (key.m_service == m_request.m_service)
                newest = &layout;
        }
        m_answer.m_snapshot = newest->m_key.m_version;
        m_weights = newest->m_shardWeights;
        m_openCalls = m_weights.size();
        std::vector<std::vector<const EndpointRecord*>> replicas(m_weights.size());
        for (const auto& [id, record] : state.m_endpoints) {
            for (const ShardHolding& holding : record.m_holdings) {
                if (record.m_service == m_request.m_service && holding.m_version == m_answer.m_snapshot)
                    replicas[holding.m_shard.value()].push_back(&record);
            }
        }
        const MonotonicTime deadline = m_time.now() + m_request.m_deadline.value_or(service.m_deadline);
        m_time.at(deadline, [self = shared_from_this()] { self->finish(); });
        for (std::uint32_t shard = 0; shard < m_weights.size(); ++shard) {
            const auto pick = std::uniform_int_distribution<std::size_t>(0, replicas[shard].size() - 1)(random);
            EndpointCall call;
            call.m_endpoint = replicas[shard][pick]->m_id;
            call.m_request = m_request.m_id;
            call.m_attempt = AttemptNumber(shard + 1);
            call.m_snapshot = m_answer.m_snapshot;
            call.m_layout = newest->m_key.m_layout;
            call.m_shard = ShardIndex(shard);
            call.m_deadline = deadline;
            ++m_answer.m_endpointRequests;
            transport(
                call, [self = shared_from_this(), shard](EndpointReply reply) { self->handleReply(shard, reply); });
        }
    }

private:
    void handleReply(std::uint32_t shard, const EndpointReply& reply)
    {
        if (reply.m_outcome == CallOutcome::Answered && reply.m_status == 200 && !reply.m_notRun)
            m_bodies[shard] = reply.m_body;
        if (--m_openCalls == 0)
            finish();
    }

    void finish()
    {
        if (std::exchange(m_done, true))
            return;
        double answered = 0;
        double total = 0;
        for (std::uint32_t shard = 0; shard < m_weights.size(); ++shard) {
            total += m_weights[shard];
            answered += m_bodies.count(shard) > 0 ? m_weights[shard] : 0;
        }
        m_answer.m_coverage = answered / total;
        m_answer.m_hits = naiveMerge(m_bodies, m_request.m_limit);
        m_finished(m_answer);
    }

    VirtualTime& m_time;
    QueryRequest m_request;
    Finished m_finished;
    QueryAnswer m_answer;
    std::vector<std::uint32_t> m_weights;
    std::map<std::uint32_t, std::string> m_bodies;
    std::size_t m_openCalls = 0;
    bool m_done = false;
};

} // namespace flamingo::testing
