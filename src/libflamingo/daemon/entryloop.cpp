#include "daemon/entryloop.h"

#include "daemon/ratelimitlog.h"
#include "endpoint/endpointclient.h"
#include "routing/connectionchanges.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <future>
#include <random>

namespace flamingo {

namespace {

constexpr Milliseconds tickInterval { 200 };
// Connections kept open in advance for each slot of an endpoint: one for the running call and one for a hedge.
constexpr std::uint32_t warmConnectionsPerSlot = 2;

LoopState makeLoopState(const EntryLoopSettings& settings)
{
    RoutingSettings routing;
    routing.m_dataCentre = settings.m_dataCentre;
    routing.m_vm = settings.m_vm;
    return LoopState { makeRoutingState(routing), makeFingerprintMemory(), RandomEngine(std::random_device {}()), {}, 0,
        {} };
}

} // namespace

EntryLoop::EntryLoop(EntryLoopSettings settings, const ControlLoopProxy& control, DaemonMetrics& metrics)
    : m_settings(std::move(settings))
    , m_control(control)
    , m_metrics(metrics)
    , m_work(boost::asio::make_work_guard(m_io))
    , m_ticker(m_io)
    , m_endpointClient(std::make_unique<EndpointClient>(m_io))
    , m_loop(makeLoopState(m_settings))
    , m_queries(m_io, *m_endpointClient, m_loop, m_settings, m_control, m_metrics)
    , m_requests(m_io, *m_endpointClient, m_loop, m_settings, m_control, m_metrics)
{
}

EntryLoop::~EntryLoop() { stop(); }

void EntryLoop::run()
{
    m_loop.m_wake = [this](ExecutionId execution, EndpointIndex endpoint) {
        m_queries.wake(execution, endpoint);
        m_requests.wake(execution, endpoint);
    };
    scheduleTick();
    m_thread = std::thread([this] { m_io.run(); });
}

void EntryLoop::stop()
{
    if (!m_thread.joinable())
        return;
    m_io.stop();
    m_thread.join();
}

template <typename Work> void EntryLoop::runOnLoop(Work work)
{
    // The promise is shared, since the loop may still be inside set_value() when this thread continues.
    const auto done = std::make_shared<std::promise<void>>();
    boost::asio::post(m_io, [&work, done] {
        work();
        done->set_value();
    });
    done->get_future().get();
}

// Waits for the entry loop: the revision is confirmed to the leader after this returns, and from then on no call may be
// sent that was chosen under the previous state.
void EntryLoop::updateState(std::shared_ptr<const PublishedState> state, const std::vector<Change>* changes)
{
    runOnLoop([this, &state, changes] { applyState(std::move(state), changes); });
}

std::shared_ptr<const PublishedState> EntryLoop::state() const { return std::atomic_load(&m_published); }

void EntryLoop::applyState(std::shared_ptr<const PublishedState> state, const std::vector<Change>* changes)
{
    applyPublishedState(m_loop.m_routing, state, monotonicNow(), changes);
    std::atomic_store(&m_published, std::move(state));
    updateConnections(changes);
    m_queries.stateChanged();
    m_requests.stateChanged();
}

void EntryLoop::updateConnections(const std::vector<Change>* changes)
{
    // A VM that joins or leaves changes this VM's share of the connections to every endpoint; any other change affects
    // a single endpoint.
    const auto concernsAll = [](const Change& change) {
        return std::holds_alternative<VmRecord>(change) || std::holds_alternative<ErasedVm>(change);
    };
    const ConnectionChanges affected = connectionChanges(m_loop.m_routing.m_table, m_connected, changes, concernsAll);
    for (const EndpointId& endpoint : affected.m_removed) {
        m_endpointClient->removeEndpoint(endpoint);
        m_connected.erase(endpoint);
    }
    for (const EndpointIndex endpoint : affected.m_present)
        connectEndpoint(endpoint);
}

void EntryLoop::connectEndpoint(EndpointIndex endpoint)
{
    RoutingTable& table = m_loop.m_routing.m_table;
    const EndpointRoute& route = table.m_endpoints.at(endpoint.value());
    EndpointLimits limits;
    limits.m_maxConnections = endpointShare(table, endpoint);
    m_endpointClient->setLimits(route.m_id, limits);
    m_connected.insert(route.m_id);
    if (route.m_draining || !m_control.m_lease->valid(monotonicNow()))
        return;
    const std::uint32_t wanted = std::min(limits.m_maxConnections, route.m_slots * warmConnectionsPerSlot);
    m_endpointClient->preconnect(route.m_id, route.m_address, route.m_port, wanted);
}

QueryAnswer EntryLoop::query(QueryRequest request)
{
    const auto promise = std::make_shared<std::promise<QueryAnswer>>();
    boost::asio::post(m_io, [this, promise, &request] {
        m_queries.start(std::move(request), [promise](QueryAnswer answer) { promise->set_value(std::move(answer)); });
    });
    return promise->get_future().get();
}

CallerAnswer EntryLoop::request(CallerRequest request)
{
    const auto promise = std::make_shared<std::promise<CallerAnswer>>();
    boost::asio::post(m_io, [this, promise, &request] {
        m_requests.start(std::move(request), [promise](CallerAnswer answer) { promise->set_value(std::move(answer)); });
    });
    return promise->get_future().get();
}

void EntryLoop::collectMetrics()
{
    runOnLoop([this] { m_metrics.recordLoop(m_loop.m_routing, m_endpointClient->counters()); });
}

void EntryLoop::scheduleTick()
{
    m_ticker.expires_after(tickInterval);
    m_ticker.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        tick();
        scheduleTick();
    });
}

// A VM without a lease closes its idle connections, since the other VMs take over its share of each endpoint.
void EntryLoop::tick()
{
    logRateLimitChanges(m_loop.m_routing.m_rateLimitReport);
    const bool valid = m_control.m_lease->valid(monotonicNow());
    if (valid == m_leaseWasValid)
        return;
    m_leaseWasValid = valid;
    if (valid) {
        updateConnections(nullptr);
        return;
    }
    for (const EndpointId& endpoint : m_connected)
        m_endpointClient->removeEndpoint(endpoint);
}

} // namespace flamingo
