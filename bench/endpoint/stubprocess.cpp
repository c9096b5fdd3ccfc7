#include "endpoint/stubprocess.h"

#include "endpoint/adminserver.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <unistd.h>
#include <utility>

namespace flamingo::bench {

using Json = nlohmann::json;

namespace {

// Exit status that a shell reports for a process ended by SIGABRT.
constexpr int crashStatus = 134;
constexpr Milliseconds leaveTimeout { 5000 };

/** Replaces the holdings and layouts of the endpoint, by a new snapshot or by another layout of the same one. */
void replaceHoldings(StubEndpoint& stub, const Json& object)
{
    std::vector<ShardHolding> holdings;
    for (const Json& holding : object.at("holdings")) {
        holdings.push_back({ SnapshotVersion(holding.at("snapshot").get<std::uint64_t>()),
            LayoutId(holding.at("layout").get<std::uint64_t>()),
            ShardIndex(holding.at("shard").get<std::uint32_t>()) });
    }
    std::vector<SnapshotLayout> layouts;
    for (const Json& layout : object.at("layouts")) {
        layouts.push_back({ { stub.m_record.m_service, SnapshotVersion(layout.at("snapshot").get<std::uint64_t>()),
                                LayoutId(layout.at("layout").get<std::uint64_t>()) },
            layout.at("weights").get<std::vector<std::uint32_t>>() });
    }
    stub.m_record.m_holdings = std::move(holdings);
    stub.m_layouts = std::move(layouts);
}

} // namespace

StubProcess::StubProcess(boost::asio::io_context& context, const Scenario& scenario)
    : m_context(context)
    , m_exitOnCrash(scenario.m_exitOnCrash)
    , m_log(scenario.m_executionLog)
    , m_announcer(context, scenario.m_daemons, scenario.m_announceConnections)
{
    for (std::size_t i = 0; i < scenario.m_endpoints.size(); ++i) {
        m_endpoints.push_back(std::make_unique<LogicalEndpoint>(context, scenario.m_endpoints[i], m_log,
            scenario.m_seed * 1000003 + i, [this](LogicalEndpoint& endpoint) { onCrash(endpoint); }));
        m_endpoints.back()->listen();
        m_announcer.add(*m_endpoints.back());
    }
    m_admin = std::make_unique<AdminServer>(context, scenario.m_adminAddress, scenario.m_adminPort,
        [this](const std::string& method, const std::string& target, const std::string& body, unsigned& status) {
            return handle(method, target, body, status);
        });
}

StubProcess::~StubProcess() = default;

std::uint16_t StubProcess::adminPort() const { return m_admin->port(); }

void StubProcess::leave(std::function<void()> done)
{
    for (auto& endpoint : m_endpoints)
        m_announcer.leave(*endpoint);
    m_announcer.whenIdle(leaveTimeout, std::move(done));
}

void StubProcess::onCrash(LogicalEndpoint& endpoint)
{
    if (m_exitOnCrash)
        ::_exit(crashStatus);
    endpoint.closeAll();
    m_announcer.stopAnnouncing(endpoint);
    const auto downtime = Milliseconds(static_cast<Milliseconds::rep>(endpoint.stub().m_faults.m_crashDownMs));
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, downtime);
    timer->async_wait([this, timer, &endpoint, lifetime = std::weak_ptr<int>(m_lifetime)](boost::system::error_code) {
        if (!lifetime.expired() && !endpoint.isListening())
            restart(endpoint);
    });
}

void StubProcess::restart(LogicalEndpoint& endpoint)
{
    endpoint.listen();
    m_announcer.registerAgain(endpoint);
}

std::string StubProcess::handle(
    const std::string& method, const std::string& target, const std::string& body, unsigned& status)
{
    status = 200;
    if (method == "GET" && target.rfind("/stub/counters", 0) == 0)
        return counters(target.find("requests=1") != std::string::npos);
    const std::string prefix = "/stub/";
    const std::string action = target.rfind(prefix, 0) == 0 ? target.substr(prefix.size()) : "";
    const Json object = body.empty() ? Json::object() : Json::parse(body, nullptr, false);
    std::string error;
    std::size_t applied = 0;
    try {
        const auto ids = object.value("endpoints", std::vector<std::string>());
        for (auto& endpoint : m_endpoints) {
            const std::string& id = endpoint->stub().m_record.m_id.value();
            if (!ids.empty() && std::find(ids.begin(), ids.end(), id) == ids.end())
                continue;
            ++applied;
            if (action == "faults") {
                if (!applyFaults(endpoint->stub().m_faults, object.at("faults"), error))
                    break;
            } else if (action == "holdings") {
                replaceHoldings(endpoint->stub(), object);
                m_announcer.registerAgain(*endpoint);
            } else if (action == "silence") {
                endpoint->silenceConnections();
            } else if (action == "crash") {
                onCrash(*endpoint);
            } else if (action == "drain") {
                m_announcer.drain(*endpoint);
            } else if (action == "leave") {
                m_announcer.leave(*endpoint);
            } else if (action == "register") {
                m_announcer.registerAgain(*endpoint);
            } else {
                error = "unknown request " + method + " " + target;
                break;
            }
        }
    } catch (const std::exception& exception) {
        error = exception.what();
    }
    if (!error.empty())
        status = 400;
    return error.empty() ? Json { { "endpoints", applied } }.dump() : Json { { "error", error } }.dump();
}

std::string StubProcess::counters(bool withRequests) const
{
    Json json;
    StubCounters sum;
    Json perEndpoint = Json::object();
    for (const auto& endpoint : m_endpoints) {
        const StubCounters& c = endpoint->counters();
        perEndpoint[endpoint->stub().m_record.m_id.value()]
            = { { "queries", c.m_queries }, { "requests", c.m_requests }, { "shed", c.m_shed },
                  { "cancelled", c.m_cancelled }, { "crashes", c.m_crashes }, { "accepted", c.m_accepted },
                  { "connections", c.m_connections }, { "connections_peak", c.m_connectionsPeak },
                  { "violations", c.m_violations }, { "port", endpoint->stub().m_record.m_port } };
        sum.m_queries += c.m_queries;
        sum.m_requests += c.m_requests;
        sum.m_shed += c.m_shed;
        sum.m_refused += c.m_refused;
        sum.m_cancelled += c.m_cancelled;
        sum.m_crashes += c.m_crashes;
        sum.m_accepted += c.m_accepted;
        sum.m_connections += c.m_connections;
        sum.m_connectionsPeak = std::max(sum.m_connectionsPeak, c.m_connectionsPeak);
        sum.m_violations += c.m_violations;
    }
    std::uint64_t repeatedExecutions = 0;
    for (const auto& entry : m_log.executions())
        repeatedExecutions += entry.second - 1;
    json = { { "queries", sum.m_queries }, { "requests", sum.m_requests }, { "shed", sum.m_shed },
        { "refused", sum.m_refused }, { "cancelled", sum.m_cancelled }, { "crashes", sum.m_crashes },
        { "accepted", sum.m_accepted }, { "connections", sum.m_connections },
        { "connections_peak", sum.m_connectionsPeak }, { "violations", sum.m_violations },
        { "request_ids", m_log.executions().size() }, { "repeated_executions", repeatedExecutions },
        { "announced", m_announcer.announced() }, { "announce_failures", m_announcer.failed() },
        { "endpoints", std::move(perEndpoint) } };
    if (withRequests)
        json["executions"] = m_log.executions();
    return json.dump();
}

} // namespace flamingo::bench
