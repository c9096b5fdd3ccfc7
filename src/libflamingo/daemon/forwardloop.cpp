#include "daemon/forwardloop.h"

#include "base/eventloop.h"
#include "base/log.h"
#include "customers/access.h"
#include "daemon/ratelimitlog.h"
#include "forward/mergeplan.h"
#include "forward/mergewire.h"
#include "forward/relaywire.h"
#include "routing/connectionchanges.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <future>
#include <iterator>
#include <malloc.h>
#include <random>
#include <sys/resource.h>
#include <utility>

namespace flamingo {

namespace {

constexpr Milliseconds tickInterval { 100 };
constexpr Milliseconds drainPollInterval { 20 };
// A reachable endpoint completes the connection handshake well within this time.
constexpr Milliseconds connectTimeout { 500 };
// A merging VM that is not connected by then counts as unreachable; another owner of the group can still answer within
// the goal.
constexpr Milliseconds mergeConnectTimeout { 25 };
// Connections to each merging VM. A connection carries one call at a time, and a stalled call must not delay other
// calls to the same VM.
constexpr std::uint32_t mergeConnections = 8;
// Holds a request of a caller that is within its limits, and the names of the shards.
constexpr std::uint64_t maxMergeCallBytes = 1ULL << 20U;
// Connections between VMs are few, so they are kept open while idle.
constexpr Milliseconds mergeIdleTimeout { 600000 };
// Fraction of the allowed extra load that the VMs plan to use. The rest is a margin, since no VM sees the calls of
// others.
constexpr double plannedExtraLoadFraction = 0.75;

// Test connections at a time, to different endpoints. One of them succeeds unless the VM is cut off.
constexpr std::size_t maxTestConnections = 3;
// Requests served for other VMs at a time: a number that costs little, and beyond it a multiple of the own requests.
constexpr std::size_t minRelaysInFlight = 32;
constexpr std::size_t maxRelaysPerOwnRequest = 2;

constexpr double bytesPerMb = 1024.0 * 1024.0;
// Share of the VM's memory that may be held for callers. The rest is for the process itself, for copies that are made
// when an answer is passed on, and for what the allocator cannot use.
constexpr double callerMemoryShare = 0.35;
// The VM is calm again below this part of that memory.
constexpr std::uint64_t calmMemoryDivisor = 4;
// Share of the descriptors that connections of callers may use. The others are for endpoints and other VMs.
constexpr double callerDescriptorShare = 0.5;
// The load balancer needs one at a time.
constexpr std::size_t maxProbeConnections = 32;

constexpr char stoppingText[] = "this VM stops before the request could be answered";

EndpointClientSettings mergeClientSettings()
{
    EndpointClientSettings settings;
    settings.m_defaultLimits.m_maxConnections = mergeConnections;
    settings.m_defaultLimits.m_connectTimeout = mergeConnectTimeout;
    settings.m_timeoutAffectsAllEndpoints = true;
    return settings;
}

ForwardState makeState(const Settings& settings)
{
    ForwardState state = makeForwardState(settings.m_vm, settings.m_dataCentre);
    state.m_settings.m_extraLoadShare = settings.m_routes.m_extraLoadShare * plannedExtraLoadFraction;
    state.m_settings.m_extraLoadCalls = settings.m_routes.m_extraLoadCalls * plannedExtraLoadFraction;
    state.m_settings.m_mergePort = settings.m_routes.m_mergePort;
    state.m_random.seed(std::random_device {}());
    return state;
}

std::uint64_t callerMemory(const Settings& settings)
{
    return static_cast<std::uint64_t>(settings.m_limits.m_memoryMb * bytesPerMb * callerMemoryShare);
}

std::size_t maxCallerConnections(const Settings& settings)
{
    rlimit limit {};
    double descriptors = settings.m_limits.m_descriptors;
    if (::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY)
        descriptors = std::min(descriptors, double(limit.rlim_cur));
    return std::max<std::size_t>(1, static_cast<std::size_t>(descriptors * callerDescriptorShare));
}

// Headers that hold a key or name a customer are forwarded only where no keys are required.
void replaceCredentials(const CallerProtocol& protocol, const CustomerTable& customers, const CustomerPtr& customer,
    ForwardRequest& request)
{
    request.m_apiKey.reset();
    HttpFields credentials = std::move(request.m_credentials);
    request.m_credentials.clear();
    if (!customers.m_requiresKeys)
        std::move(credentials.begin(), credentials.end(), std::back_inserter(request.m_fields));
    if (!customer)
        return;
    request.m_customer = customer->m_name;
    request.m_priority = customer->m_priority.value_or(request.m_priority);
    protocol.m_writeCustomer(request, customer->m_name);
}

} // namespace

ForwardLoop::ForwardLoop(
    const Settings& settings, const CallerProtocol& protocol, const ControlLoopProxy& control, MetricsRegistry& metrics)
    : m_settings(settings)
    , m_protocol(protocol)
    , m_callerBytes(callerMemory(settings))
    , m_lease(control.m_lease)
    , m_work(boost::asio::make_work_guard(m_io))
    , m_ticker(m_io)
    , m_state(makeState(settings))
    , m_endpointClient(m_io, *protocol.m_endpoints)
    , m_mergeClient(m_io, mergeProtocol(), mergeClientSettings())
    , m_runner(m_io, m_endpointClient, m_mergeClient, m_state, control, metrics)
    , m_quotas(m_io, m_state.m_customers, settings.m_vm, settings.m_routes.m_quotaSlack)
    , m_callerServer(m_io, [this](const std::shared_ptr<HttpExchange>& exchange) { handleRequest(exchange); })
    , m_probeServer(m_io, [this](const std::shared_ptr<HttpExchange>& exchange) { handleProbe(*exchange); })
    , m_mergeServer(m_io, [this](const std::shared_ptr<HttpExchange>& exchange) { handleVmCall(exchange); })
{
    m_callerServer.setBudget(m_callerBytes);
    m_mergeServer.setBudget(m_callerBytes);
    m_callerServer.setMaxConnections(maxCallerConnections(settings));
    m_probeServer.setMaxConnections(maxProbeConnections);
    m_callerBytes.onExceeded([this] {
        if (!std::exchange(m_reclaimPosted, true))
            boost::asio::post(m_io, [this] { reclaimMemory(); });
    });
    observeMetrics(metrics);
}

ForwardLoop::~ForwardLoop() { stop(); }

bool ForwardLoop::start(Reason& reason)
{
    if (!m_callerServer.start(m_settings.m_routes.m_listen, reason)
        || !m_probeServer.start(m_settings.m_routes.m_health, reason))
        return false;
    const std::uint16_t mergePort = m_settings.m_routes.m_mergePort;
    if (mergePort != 0) {
        CallerLimits limits;
        limits.m_bodyBytes = maxMergeCallBytes;
        limits.m_idleTimeout = mergeIdleTimeout;
        m_mergeServer.setLimits(limits);
        const SocketAddress address { m_settings.m_routes.m_listen.m_ip, mergePort };
        if (!m_mergeServer.start(address, reason) || !m_quotas.start(address, reason))
            return false;
    }
    scheduleTick();
    m_thread = std::thread([this] { runEventLoop(m_io); });
    return true;
}

void ForwardLoop::runOnLoop(const std::function<void()>& work)
{
    // The promise is shared, since the loop may still be inside set_value() when this thread continues.
    const auto done = std::make_shared<std::promise<void>>();
    boost::asio::post(m_io, [&work, done] {
        work();
        done->set_value();
    });
    done->get_future().get();
}

void ForwardLoop::shutDown(Milliseconds grace)
{
    if (!m_thread.joinable())
        return;
    const ShutdownPlan plan = makeShutdownPlan(monotonicNow(), grace);
    runOnLoop([this, &plan] {
        m_shutdown = plan;
        m_callerServer.announceClose();
        m_mergeServer.announceClose();
        m_runner.answerAllBy(plan.m_answerBy);
    });
    std::this_thread::sleep_for(std::min(m_settings.m_routes.m_drainWait, grace));
    runOnLoop([this] {
        m_callerServer.stopAccepting();
        m_mergeServer.stopAccepting();
    });
    // A connection that is still open has a request that is half received or in flight, or an answer that is not sent
    // completely.
    std::uint64_t open = 1;
    while (open > 0 && monotonicNow() < plan.m_endAt) {
        std::this_thread::sleep_for(drainPollInterval);
        runOnLoop([this, &open] {
            open = m_callerServer.counters().m_connectionsOpen + m_mergeServer.counters().m_connectionsOpen;
        });
    }
    if (open > 0)
        FLAMINGO_LOG(Warning, "grace period ended with open connections", { "connections", std::to_string(open) });
}

void ForwardLoop::stop()
{
    if (!m_thread.joinable())
        return;
    boost::asio::post(m_io, [this] { m_io.stop(); });
    m_thread.join();
}

void ForwardLoop::updateState(std::shared_ptr<const PublishedState> state, const std::vector<Change>* changes)
{
    if (!m_thread.joinable())
        return;
    runOnLoop([&] { applyState(std::move(state), changes); });
}

void ForwardLoop::applyState(std::shared_ptr<const PublishedState> state, const std::vector<Change>* changes)
{
    const MonotonicTime now = monotonicNow();
    const ConfigurationVersion before = m_state.m_header.m_version;
    FLAMINGO_LOG(Info, "state applied", { "revision", std::to_string(state->m_revision.value()) },
        { "route_version", std::to_string(state->m_routeHeader.m_version.value()) },
        { "endpoints", std::to_string(state->m_endpoints.size()) },
        { "changes", changes ? std::to_string(changes->size()) : "full copy" });
    applyForwardState(m_state, std::move(state), now, changes);
    m_confirmedAt = now;
    if (m_state.m_header.m_version != before) {
        m_callerServer.setLimits(m_state.m_header.m_limits);
        m_stateFresh = true;
    }
    m_quotas.applyState(*m_state.m_routing.m_state);
    updateConnections(changes);
    m_runner.updateCrashWatch();
}

void ForwardLoop::updateConnections(const std::vector<Change>* changes)
{
    const auto concernsAll = [](const Change& change) {
        return !std::holds_alternative<EndpointRecord>(change) && !std::holds_alternative<ErasedEndpoint>(change);
    };
    const ConnectionChanges affected = connectionChanges(m_state.m_routing.m_table, m_connected, changes, concernsAll);
    for (const EndpointId& endpoint : affected.m_removed) {
        m_endpointClient.removeEndpoint(endpoint);
        m_connected.erase(endpoint);
    }
    for (const EndpointIndex endpoint : affected.m_present)
        connectEndpoint(endpoint);
}

void ForwardLoop::connectEndpoint(EndpointIndex index)
{
    const EndpointRoute& route = m_state.m_routing.m_table.m_endpoints.at(index.value());
    const ConnectionPlan plan = connectionPlan(m_state, index);
    EndpointLimits limits;
    limits.m_maxConnections = plan.m_max;
    limits.m_connectTimeout = connectTimeout;
    m_endpointClient.setLimits(route.m_id, limits);
    m_connected.insert(route.m_id);
    m_endpointClient.preconnect(route.m_id, route.m_address, route.m_port, plan.m_preconnected);
}

void ForwardLoop::handleMergeResume(const std::shared_ptr<HttpExchange>& exchange)
{
    const auto respond = [exchange](const ForwardAnswer& answer) { exchange->respond(encodeMergeAnswer(answer)); };
    const auto resumeCall = decodeMergeResumeCall(exchange->request());
    const auto id = resumeCall ? m_runner.resume(*resumeCall, respond) : std::nullopt;
    if (id) {
        exchange->onAbandoned([this, id = *id] { m_runner.abandon(id); });
        return;
    }
    FLAMINGO_LOG(Info, "merge resume call refused", { "request_id", resumeCall ? resumeCall->m_request.value() : "" },
        { "reason", resumeCall ? "execution has ended" : "malformed" });
    ForwardAnswer answer;
    answer.m_code = resumeCall ? ResultCode::EndpointFailed : ResultCode::MalformedBody;
    respond(answer);
}

void ForwardLoop::handleVmCall(const std::shared_ptr<HttpExchange>& exchange)
{
    if (isRelayCall(exchange->request()))
        return handleRelay(exchange);
    if (isMergeResumeCall(exchange->request()))
        return handleMergeResume(exchange);
    handleMerge(exchange);
}

void ForwardLoop::handleRelay(const std::shared_ptr<HttpExchange>& exchange)
{
    ForwardRequest request;
    Reason reason;
    const std::size_t own = m_runner.inFlight() - std::min(m_runner.inFlight(), m_relaysInFlight);
    if (m_state.m_reachability.m_cutOff)
        reason = { ResultCode::NoEndpoint, "this VM cannot reach the endpoints either" };
    else if (m_relaysInFlight >= std::max(minRelaysInFlight, own * maxRelaysPerOwnRequest))
        reason = { ResultCode::Overloaded, "this VM serves as many requests of others as it can" };
    bool accepted = reason.m_text.empty() && decodeRelayCall(exchange->request(), request, reason);
    if (accepted && refusesWhileStopping(request.m_timeLeft)) {
        accepted = false;
        reason = { ResultCode::Stopping, stoppingText };
    }
    if (!accepted) {
        ++m_relaysRefused;
        FLAMINGO_LOG(Info, "relayed request refused", { "request_id", request.m_id.value() },
            { "relays_in_flight", std::to_string(m_relaysInFlight) }, { "reason", reason.m_text });
        ForwardAnswer answer;
        answer.m_code = reason.m_code;
        answer.m_retryAfter = m_state.m_settings.m_cutOffRetryAfter;
        exchange->respond(encodeRelayAnswer(answer));
        return;
    }
    FLAMINGO_LOG(Info, "relayed request accepted", { "request_id", request.m_id.value() },
        { "attempts_allowed", std::to_string(request.m_route->m_maxAttempts) },
        { "relays_in_flight", std::to_string(m_relaysInFlight) });
    ++m_relaysServed;
    ++m_relaysInFlight;
    // Destroyed with the handler, when the request is answered or abandoned.
    const std::shared_ptr<void> inFlight(nullptr, [this](void*) { --m_relaysInFlight; });
    request.m_held = exchange->heldBytes();
    readCallerPriority(exchange->request(), request);
    const ExecutionId id = m_runner.start(std::move(request),
        [exchange, inFlight](const ForwardAnswer& answer) { exchange->respond(encodeRelayAnswer(answer)); });
    exchange->onAbandoned([this, id] { m_runner.abandon(id); });
}

void ForwardLoop::handleMerge(const std::shared_ptr<HttpExchange>& exchange)
{
    ForwardRequest request;
    Reason reason;
    if (m_state.m_reachability.m_cutOff) {
        // The calling VM asks another owner of the group instead of waiting for this one until the goal.
        FLAMINGO_LOG(Info, "merge call refused", { "reason", "this VM cannot reach the endpoints" });
        ForwardAnswer answer;
        answer.m_code = ResultCode::NoEndpoint;
        answer.m_retryAfter = m_state.m_settings.m_cutOffRetryAfter;
        exchange->respond(encodeMergeAnswer(answer));
        return;
    }
    bool accepted = decodeMergeCall(exchange->request(), request, reason);
    if (accepted && refusesWhileStopping(request.m_timeLeft)) {
        accepted = false;
        reason = { ResultCode::Stopping, stoppingText };
    }
    if (!accepted) {
        FLAMINGO_LOG(Warning, "merge call refused", { "reason", reason.m_text });
        ForwardAnswer answer;
        answer.m_code = reason.m_code;
        exchange->respond(encodeMergeAnswer(answer));
        return;
    }
    request.m_held = exchange->heldBytes();
    readCallerPriority(exchange->request(), request);
    const ExecutionId id = m_runner.start(
        std::move(request), [exchange](const ForwardAnswer& answer) { exchange->respond(encodeMergeAnswer(answer)); });
    exchange->onAbandoned([this, id] { m_runner.abandon(id); });
}

std::optional<Reason> ForwardLoop::refusal() const
{
    if (m_state.m_header.m_version.value() == 0)
        return Reason { ResultCode::NoConfiguration, "this VM has no route configuration yet" };
    if (!m_stateFresh)
        return Reason { ResultCode::NoLease,
            "no control leader has confirmed this VM's configuration within the stale limit" };
    return std::nullopt;
}

bool ForwardLoop::refusesWhileStopping(Milliseconds timeout)
{
    const bool refuses = m_shutdown && !acceptsRequest(*m_shutdown, timeout, monotonicNow());
    m_refusedWhileStopping += refuses ? 1 : 0;
    return refuses;
}

void ForwardLoop::handleRequest(const std::shared_ptr<HttpExchange>& exchange)
{
    ForwardRequest request;
    Reason reason;
    HttpRequest& http = exchange->request();
    if (!m_protocol.m_readRequest(http, request, reason))
        return refuse(*exchange, request.m_id, reason.m_code, reason.m_text.c_str());
    if (const auto refused = refusal())
        return refuse(*exchange, request.m_id, refused->m_code, refused->m_text.c_str());
    request.m_route = findRoute(m_state.m_routes, request.m_host, request.m_target);
    if (!request.m_route)
        return refuse(*exchange, request.m_id, ResultCode::UnknownRoute, "no route matches this host and path");
    const AccessDecision access = decideAccess(m_state.m_customers, *request.m_route, request.m_apiKey);
    if (!access.m_allowed) {
        ++m_unknownKeys;
        return refuse(*exchange, request.m_id, ResultCode::UnknownApiKey, "no customer holds the key of the request");
    }
    if (refusesWhileStopping(request.m_route->m_timeout))
        return refuse(*exchange, request.m_id, ResultCode::Stopping, stoppingText);
    request.m_version = m_state.m_header.m_version;
    request.m_priority = request.m_route->m_priority;
    replaceCredentials(m_protocol, m_state.m_customers, access.m_customer, request);
    if (access.m_customer)
        requestQuota(exchange, std::move(request), *access.m_customer);
    else
        startRequest(exchange, std::move(request));
}

void ForwardLoop::requestQuota(
    const std::shared_ptr<HttpExchange>& exchange, ForwardRequest request, const Customer& customer)
{
    const auto waiting = std::make_shared<ForwardRequest>(std::move(request));
    const auto callerLeft = std::make_shared<bool>(false);
    exchange->onAbandoned([callerLeft] { *callerLeft = true; });
    m_quotas.request(customer, [this, exchange, waiting, callerLeft](bool admitted, Milliseconds retryAfter) {
        if (*callerLeft)
            return;
        if (admitted)
            startRequest(exchange, std::move(*waiting));
        else
            refuseForQuota(*exchange, *waiting, retryAfter);
    });
}

void ForwardLoop::startRequest(const std::shared_ptr<HttpExchange>& exchange, ForwardRequest request)
{
    request.m_held = exchange->heldBytes();
    const ExecutionId id = m_runner.start(std::move(request),
        [this, exchange](ForwardAnswer answer) { exchange->respond(m_protocol.m_writeAnswer(std::move(answer))); });
    exchange->onAbandoned([this, id] { m_runner.abandon(id); });
}

void ForwardLoop::refuse(HttpExchange& exchange, const RequestId& id, ResultCode code, const char* text)
{
    FLAMINGO_LOG(Info, "request refused", { "request_id", id.value() },
        { "code", std::to_string(static_cast<int>(code)) }, { "target", exchange.request().m_target },
        { "route_version", std::to_string(m_state.m_header.m_version.value()) }, { "reason", text });
    ForwardAnswer answer;
    answer.m_id = id;
    answer.m_code = code;
    answer.m_text = text;
    const bool waitsForControl = code == ResultCode::NoConfiguration || code == ResultCode::NoLease;
    answer.m_retryAfter = waitsForControl ? m_state.m_settings.m_controlRetryAfter : m_state.m_settings.m_minRetryAfter;
    exchange.respond(m_protocol.m_writeAnswer(std::move(answer)));
}

void ForwardLoop::refuseForQuota(HttpExchange& exchange, const ForwardRequest& request, Milliseconds retryAfter)
{
    FLAMINGO_LOG(Info, "request refused", { "request_id", request.m_id.value() },
        { "code", std::to_string(static_cast<int>(ResultCode::QuotaExceeded)) },
        { "customer", request.m_customer.value() }, { "retry_after_ms", std::to_string(retryAfter.count()) },
        { "route_version", std::to_string(request.m_version.value()) },
        { "reason", "the quota of the customer is exhausted" });
    ForwardAnswer answer;
    answer.m_id = request.m_id;
    answer.m_code = ResultCode::QuotaExceeded;
    answer.m_text = "the quota of customer " + request.m_customer.value() + " is exhausted";
    answer.m_retryAfter = std::max(retryAfter, m_state.m_settings.m_minRetryAfter);
    exchange.respond(m_protocol.m_writeAnswer(std::move(answer)));
}

void ForwardLoop::handleProbe(HttpExchange& exchange)
{
    exchange.respond(m_protocol.m_writeHealth(exchange.request(), !m_shutdown && !refusal()));
}

void ForwardLoop::checkReachability(MonotonicTime now)
{
    EndpointReachability& reachability = m_state.m_reachability;
    const std::size_t unanswered = reachability.m_unanswered.size();
    switch (updateReachability(reachability, m_endpointClient.counters().m_connectionsOpened, now)) {
    case ReachabilityAction::None:
        return;
    case ReachabilityAction::TestConnections:
        return testConnections();
    case ReachabilityAction::CutOff:
        FLAMINGO_LOG(Warning, "links to endpoints lost", { "unanswered_endpoints", std::to_string(unanswered) },
            { "requests_in_flight", std::to_string(m_runner.inFlight()) },
            { "relay_vms", std::to_string(m_state.m_relays.m_table.m_positions.size()) });
        testConnections();
        return m_runner.reconsiderAll();
    case ReachabilityAction::Regained:
        FLAMINGO_LOG(Info, "links to endpoints regained",
            { "lost_for_ms",
                std::to_string(std::chrono::duration_cast<Milliseconds>(now - reachability.m_cutOffSince).count()) });
        // The time before the cut was noticed also counts.
        forgetFailuresSince(m_state.m_routing, reachability.m_cutOffSince - connectTimeout * 2);
        updateConnections(nullptr);
    }
}

void ForwardLoop::testConnections()
{
    const auto& endpoints = m_state.m_routing.m_table.m_endpoints;
    const std::size_t start = endpoints.empty() ? 0 : m_state.m_random() % endpoints.size();
    std::size_t opened = 0;
    for (std::size_t step = 0; step < endpoints.size() && opened < maxTestConnections; ++step) {
        const EndpointRoute& route = endpoints[(start + step) % endpoints.size()];
        if (route.m_present && !route.m_draining && callsDirectly(m_state, route.m_service)
            && m_connected.count(route.m_id) > 0)
            opened += m_endpointClient.tryConnect(route.m_id, route.m_address, route.m_port) ? 1U : 0U;
    }
}

void ForwardLoop::scheduleTick()
{
    m_ticker.expires_after(tickInterval);
    m_ticker.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        tick();
        scheduleTick();
    });
}

void ForwardLoop::tick()
{
    logRateLimitChanges(m_state.m_routing.m_rateLimitReport);
    logLeavingEndpoints();
    const MonotonicTime now = monotonicNow();
    if (m_lease->valid(now))
        m_confirmedAt = now;
    checkReachability(now);
    m_quotas.tick(now);
    logClosedConnections();
    trimMemory();
    const bool fresh
        = m_state.m_header.m_version.value() != 0 && now - m_confirmedAt < m_settings.m_routes.m_staleLimit;
    if (fresh == m_stateFresh)
        return;
    m_stateFresh = fresh;
    FLAMINGO_LOG(Info, fresh ? "state confirmation regained" : "state confirmation expired",
        { "route_version", std::to_string(m_state.m_header.m_version.value()) });
}

void ForwardLoop::logLeavingEndpoints()
{
    m_leavingNamed += m_state.m_routing.m_newlyLeaving.size();
    for (const EndpointLifetime& endpoint : std::exchange(m_state.m_routing.m_newlyLeaving, {}))
        FLAMINGO_LOG(Info, "endpoint leaving named", { "endpoint", endpoint.m_id.value() },
            { "incarnation", std::to_string(endpoint.m_incarnation.value()) });
}

void ForwardLoop::reclaimMemory()
{
    m_reclaimPosted = false;
    m_trimDue = m_trimDue || m_callerBytes.isExceeded();
    while (m_callerBytes.isExceeded() && (m_callerServer.closeSlowest() || m_mergeServer.closeSlowest())) { }
}

void ForwardLoop::trimMemory()
{
    if (!m_trimDue || m_callerBytes.held() > m_callerBytes.limit() / calmMemoryDivisor)
        return;
    m_trimDue = false;
    malloc_trim(0);
}

void ForwardLoop::logClosedConnections()
{
    const HttpServerCounters& now = m_callerServer.counters();
    HttpServerCounters& before = m_loggedCounters;
    if (now.m_closedForMemory == before.m_closedForMemory && now.m_closedForRoom == before.m_closedForRoom
        && now.m_refusedConnections == before.m_refusedConnections)
        return;
    FLAMINGO_LOG(Warning, "caller connections closed",
        { "for_memory", std::to_string(now.m_closedForMemory - before.m_closedForMemory) },
        { "for_room", std::to_string(now.m_closedForRoom - before.m_closedForRoom) },
        { "refused", std::to_string(now.m_refusedConnections - before.m_refusedConnections) },
        { "connections", std::to_string(now.m_connectionsOpen) },
        { "held_bytes", std::to_string(m_callerBytes.held()) }, { "limit", std::to_string(m_callerBytes.limit()) });
    before = now;
}

} // namespace flamingo
