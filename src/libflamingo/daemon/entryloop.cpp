#include "daemon/entryloop.h"

#include "endpoint/endpointclient.h"

#include <boost/asio/post.hpp>

#include <future>
#include <random>

namespace flamingo {

namespace {

constexpr Milliseconds tickInterval { 200 };
// Connections kept open ahead of need for each slot of an endpoint: one that works and one for a hedge.
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

EntryLoop::EntryLoop(EntryLoopSettings settings, const ControlPort& control, EntryMetrics& metrics)
    : m_settings(std::move(settings))
    , m_control(control)
    , m_metrics(metrics)
    , m_work(boost::asio::make_work_guard(m_io))
    , m_ticker(m_io)
    , m_client(std::make_unique<EndpointClient>(m_io))
    , m_loop(makeLoopState(m_settings))
    , m_queries(m_io, *m_client, m_loop, m_settings, m_control, m_metrics)
    , m_requests(m_io, *m_client, m_loop, m_settings, m_control, m_metrics)
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
    // Shared, since the loop may still be inside set_value() when this thread goes on.
    const auto done = std::make_shared<std::promise<void>>();
    boost::asio::post(m_io, [&work, done] {
        work();
        done->set_value();
    });
    done->get_future().get();
}

// Waits for the query loop: the revision is confirmed to the leader after this returns, and a send that
// was decided on the state before must not follow.
void EntryLoop::takeState(std::shared_ptr<const PublishedState> state)
{
    runOnLoop([this, &state] { applyState(std::move(state)); });
}

std::shared_ptr<const PublishedState> EntryLoop::state() const { return std::atomic_load(&m_published); }

void EntryLoop::applyState(std::shared_ptr<const PublishedState> state)
{
    applyPublishedState(m_loop.m_routing, state, std::chrono::steady_clock::now());
    std::atomic_store(&m_published, std::move(state));
    updateConnections();
    m_queries.stateChanged();
    m_requests.stateChanged();
}

void EntryLoop::updateConnections()
{
    RoutingTable& table = m_loop.m_routing.m_table;
    const bool mayConnect = m_control.m_lease->valid(std::chrono::steady_clock::now());
    std::map<EndpointId, Incarnation> connected;
    for (std::uint32_t position = 0; position < table.m_endpoints.size(); ++position) {
        const EndpointRoute& route = table.m_endpoints[position];
        if (!route.m_present)
            continue;
        const std::uint32_t share = endpointShare(table, EndpointIndex(position));
        EndpointLimits limits;
        limits.m_connections = share;
        m_client->setLimits(route.m_id, limits);
        connected[route.m_id] = route.m_incarnation;
        if (mayConnect && !route.m_draining) {
            const std::uint32_t wanted = std::min(share, route.m_slots * warmConnectionsPerSlot);
            m_client->warm(route.m_id, route.m_address, route.m_port, wanted);
        }
    }
    for (const auto& [endpoint, incarnation] : m_connected) {
        if (connected.count(endpoint) == 0)
            m_client->forget(endpoint);
    }
    m_connected = std::move(connected);
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
    runOnLoop([this] { m_metrics.recordLoop(m_loop.m_routing, m_client->counters()); });
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

// A VM without a lease gives its idle connections back, since the others take over its share.
void EntryLoop::tick()
{
    const bool valid = m_control.m_lease->valid(std::chrono::steady_clock::now());
    if (valid == m_leaseWasValid)
        return;
    m_leaseWasValid = valid;
    if (valid) {
        updateConnections();
        return;
    }
    for (const auto& [endpoint, incarnation] : m_connected)
        m_client->forget(endpoint);
}

} // namespace flamingo
