#include "api/apiserver.h"

#include "api/answerwriter.h"
#include "api/httpstatus.h"
#include "api/requestreader.h"
#include "api/uploadguard.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <cstring>
#include <mutex>
#include <string_view>
#include <thread>

namespace flamingo {

namespace {
constexpr char jsonType[] = "application/json";
constexpr char metricsType[] = "text/plain; version=0.0.4; charset=utf-8";
constexpr std::size_t threadStackBytes = 512u << 10;
constexpr Milliseconds refusalRetryAfter { 1000 };
// Longer than a TCP handshake between data centres (3 ms), and than accepting the queued connections.
constexpr Milliseconds acceptDrainTime { 100 };

// State of one connection, kept in the socket context of libmicrohttpd.
struct Connection {
    detail::WatchedConnection* m_watch = nullptr;
    bool m_counted = false; // its current request is counted as in flight
    bool m_duringShutdown = false; // its current request began during shutdown, when new work is refused
};

// Connection whose request the current thread serves. Each connection has its own thread.
thread_local Connection* currentConnection = nullptr; // NOLINT: see above

std::string errnoText() { return std::strerror(errno); }

/** Returns a listening socket for an IPv4 or IPv6 address. On failure, returns -1 and sets the reason. */
int openListener(const ApiSettings& settings, std::uint16_t& port, Reason& reason)
{
    sockaddr_storage storage {};
    auto* const v4 = reinterpret_cast<sockaddr_in*>(&storage);
    auto* const v6 = reinterpret_cast<sockaddr_in6*>(&storage);
    socklen_t size = 0;
    if (inet_pton(AF_INET, settings.m_address.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(settings.m_port);
        size = sizeof(*v4);
    } else if (inet_pton(AF_INET6, settings.m_address.c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(settings.m_port);
        size = sizeof(*v6);
    } else {
        reason = Reason { ResultCode::InvalidSettings, "\"" + settings.m_address + "\" is not an IP address" };
        return -1;
    }
    const int listener = ::socket(storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    if (listener >= 0)
        ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto* const address = reinterpret_cast<sockaddr*>(&storage);
    if (listener < 0 || ::bind(listener, address, size) != 0 || ::listen(listener, SOMAXCONN) != 0
        || ::getsockname(listener, address, &size) != 0) {
        reason = Reason { ResultCode::InvalidSettings,
            "cannot listen on " + settings.m_address + " port " + std::to_string(settings.m_port) + ": "
                + errnoText() };
        if (listener >= 0)
            ::close(listener);
        return -1;
    }
    port = ntohs(storage.ss_family == AF_INET ? v4->sin_port : v6->sin6_port);
    return listener;
}

/**
 * Makes a listening socket ignore new TCP handshakes, while those under way complete.
 *
 * Closing a listening socket resets the connections that are not yet accepted. Their callers could not tell whether
 * their requests ran.
 */
void ignoreNewHandshakes(int listener)
{
    constexpr unsigned flagsOffset = 13; // in the TCP header
    constexpr unsigned synAndAck = 0x12;
    constexpr unsigned synOnly = 0x02;
    constexpr unsigned acceptPacket = 0xffffffff;
    sock_filter code[] = {
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, flagsOffset),
        BPF_STMT(BPF_ALU | BPF_AND | BPF_K, synAndAck),
        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, synOnly, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, 0),
        BPF_STMT(BPF_RET | BPF_K, acceptPacket),
    };
    const sock_fprog program { sizeof(code) / sizeof(code[0]), code };
    ::setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}

Connection* connectionState(MHD_Connection* connection)
{
    const MHD_ConnectionInfo* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return info ? static_cast<Connection*>(info->socket_context) : nullptr;
}

std::string_view requestBody(const _u_request* request)
{
    return { static_cast<const char*>(request->binary_body), request->binary_body_length };
}

std::string urlParameter(const _u_request* request, const char* name)
{
    const char* value = u_map_get(request->map_url, name);
    return value ? value : "";
}

void respond(_u_response* response, unsigned status, const char* type, const std::string& body)
{
    ulfius_set_binary_body_response(response, status, body.data(), body.size());
    u_map_put(response->map_header, "Content-Type", type);
}

template <typename Answer> void respond(_u_response* response, const Answer& answer)
{
    respond(response, httpStatus(answer.m_code), jsonType, writeAnswer(answer));
    const std::string retryAfter = retryAfterSeconds(answer.m_code, answer.m_retryAfter);
    if (!retryAfter.empty())
        u_map_put(response->map_header, "Retry-After", retryAfter.c_str());
}

void respond(_u_response* response, const Reason& reason)
{
    respond(response, httpStatus(reason.m_code), jsonType, writeAnswer(reason));
}
} // namespace

class ApiServer::Impl {
public:
    Impl(ApiSettings settings, ApiHandlers handlers)
        : m_settings(std::move(settings))
        , m_handlers(std::move(handlers))
        , m_port(m_settings.m_port)
    {
    }

    bool start(Reason& reason);
    bool stop();
    std::uint16_t port() const { return m_port; }
    void beginShutdown() { m_stopping = true; }
    std::size_t inFlight() const
    {
        const std::lock_guard lock(m_mutex);
        return m_inFlight;
    }

private:
    using RouteHandler = void (Impl::*)(const _u_request*, _u_response*);
    struct Route {
        const char* m_method;
        const char* m_path;
        RouteHandler m_handler;
        Impl* m_impl = nullptr;
    };

    void serveQuery(const _u_request* request, _u_response* response);
    void serveRequest(const _u_request* request, _u_response* response);
    void serveAnnounce(const _u_request* request, _u_response* response);
    void serveStatement(const _u_request* request, _u_response* response);
    void serveCommandStatus(const _u_request* request, _u_response* response);
    void serveHealth(const _u_request* request, _u_response* response);
    void serveMetrics(const _u_request* request, _u_response* response);
    void serveUnknown(const _u_request* request, _u_response* response);

    /** Calls a handler. Answers NotReady if it is not set and InternalError if it throws. */
    template <typename Answer, typename Request>
    Answer callHandler(const std::function<Answer(Request)>& handler, Request request)
    {
        Answer answer;
        if (!handler) {
            answer.m_code = ResultCode::NotReady;
            answer.m_text = "this VM does not serve requests of this type";
            return answer;
        }
        try {
            return handler(std::move(request));
        } catch (const std::exception& error) {
            answer.m_code = ResultCode::InternalError;
            answer.m_text = error.what();
        } catch (...) {
            answer.m_code = ResultCode::InternalError;
            answer.m_text = "unknown exception";
        }
        return answer;
    }

    /** Fills the answer with a refusal and returns true if the server is shutting down. */
    template <typename Answer> bool refuseWhileStopping(Answer& answer) const
    {
        if (!m_stopping)
            return false;
        answer.m_code = ResultCode::Stopping;
        answer.m_text = "this VM is shutting down";
        answer.m_retryAfter = refusalRetryAfter;
        return true;
    }

    template <typename Answer> static void setReason(Answer& answer, const Reason& reason)
    {
        answer.m_code = reason.m_code;
        answer.m_text = reason.m_text;
    }

    int serve(const Route& route, const _u_request* request, _u_response* response);
    void beginRequest(Connection& connection);
    void finishRequest(Connection& connection);

    static int onRequest(const _u_request* request, _u_response* response, void* route);
    // Called by libmicrohttpd when the first line of a request has been read.
    static void* onRequestLine(void* self, const char* uri, MHD_Connection* connection);
    static void onConnection(
        void* self, MHD_Connection* connection, void** context, MHD_ConnectionNotificationCode event);
    static void onCompleted(
        void* self, MHD_Connection* connection, void** request, MHD_RequestTerminationCode termination);
    static void onLog(void*, const char*, va_list) { }

    const ApiSettings m_settings;
    const ApiHandlers m_handlers;
    std::uint16_t m_port;
    std::atomic<bool> m_stopping { false };
    mutable std::mutex m_mutex;
    std::condition_variable m_requestsFinished;
    std::size_t m_inFlight = 0;
    std::size_t m_inFlightDuringShutdown = 0; // those of m_inFlight that began during shutdown
    int m_listener = -1;
    std::unique_ptr<detail::UploadGuard> m_guard;
    bool m_running = false;
    _u_instance m_instance {};
    std::vector<Route> m_routes;
};

bool ApiServer::Impl::start(Reason& reason)
{
    const int listener = openListener(m_settings, m_port, reason);
    if (listener < 0)
        return false;
    ulfius_init_instance(&m_instance, m_port, nullptr, nullptr);
    // ulfius truncates longer bodies. One byte above the limit tells a truncated body from the largest allowed one.
    m_instance.max_post_body_size = m_settings.m_maxBodyBytes + 1;
    m_instance.allowed_post_processor = U_POST_PROCESS_NONE;

    m_routes = { { "POST", "/v1/query", &Impl::serveQuery }, { "POST", "/v1/request", &Impl::serveRequest },
        { "POST", "/v1/announce", &Impl::serveAnnounce }, { "POST", "/v1/statement", &Impl::serveStatement },
        { "GET", "/v1/commands/:revision", &Impl::serveCommandStatus }, { "GET", "/healthz", &Impl::serveHealth },
        { "HEAD", "/healthz", &Impl::serveHealth }, { "GET", "/metrics", &Impl::serveMetrics },
        { nullptr, nullptr, &Impl::serveUnknown } };
    for (Route& route : m_routes) {
        route.m_impl = this;
        if (route.m_path)
            ulfius_add_endpoint_by_val(&m_instance, route.m_method, nullptr, route.m_path, 0, &onRequest, &route);
        else
            ulfius_set_default_endpoint(&m_instance, &onRequest, &route);
    }

    m_guard = std::make_unique<detail::UploadGuard>(m_settings.m_maxBodyBytes, m_settings.m_uploadTimeout);
    const auto idleSeconds = (m_settings.m_idleTimeout.count() + 999) / 1000;
    MHD_OptionItem options[] = {
        { MHD_OPTION_EXTERNAL_LOGGER, reinterpret_cast<std::intptr_t>(&onLog), nullptr },
        { MHD_OPTION_LISTEN_SOCKET, listener, nullptr },
        { MHD_OPTION_CONNECTION_LIMIT, static_cast<std::intptr_t>(m_settings.m_maxConnections), nullptr },
        { MHD_OPTION_CONNECTION_TIMEOUT, static_cast<std::intptr_t>(idleSeconds), nullptr },
        { MHD_OPTION_THREAD_STACK_SIZE, static_cast<std::intptr_t>(threadStackBytes), nullptr },
        { MHD_OPTION_NOTIFY_CONNECTION, reinterpret_cast<std::intptr_t>(&onConnection), this },
        { MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<std::intptr_t>(&onCompleted), this },
        { MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<std::intptr_t>(&onRequestLine), this },
        { MHD_OPTION_END, 0, nullptr },
    };
    const unsigned flags = MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL | MHD_USE_ITC
        | MHD_USE_ERROR_LOG;
    if (ulfius_start_framework_with_mhd_options(&m_instance, flags, options) != U_OK) {
        reason = Reason { ResultCode::InvalidSettings, "cannot start the HTTP server" };
        m_guard->stop();
        ulfius_clean_instance(&m_instance);
        ::close(listener);
        return false;
    }
    m_running = true;
    m_listener = listener;
    return true;
}

bool ApiServer::Impl::stop()
{
    m_stopping = true;
    if (!m_running)
        return true;
    m_running = false;
    const auto deadline = monotonicNow() + m_settings.m_stopTimeout;
    {
        // Callers that still connect meanwhile are accepted and get a refusal.
        std::unique_lock lock(m_mutex);
        m_requestsFinished.wait_until(lock, deadline, [this] { return m_inFlight == m_inFlightDuringShutdown; });
    }
    ignoreNewHandshakes(m_listener);
    std::this_thread::sleep_for(acceptDrainTime);
    const int listener = MHD_quiesce_daemon(m_instance.mhd_daemon); // stops accepting; returns the listening socket
    bool complete = false;
    {
        std::unique_lock lock(m_mutex);
        complete = m_requestsFinished.wait_until(lock, deadline + acceptDrainTime, [this] { return m_inFlight == 0; });
    }
    // From here on libmicrohttpd closes sockets. The guard must not use a descriptor that may have been reused.
    m_guard->stop();
    ulfius_stop_framework(&m_instance);
    ulfius_clean_instance(&m_instance);
    if (listener >= 0)
        ::close(listener);
    return complete;
}

void* ApiServer::Impl::onRequestLine(void* self, const char* uri, MHD_Connection* connection)
{
    Impl& impl = *static_cast<Impl*>(self);
    currentConnection = connectionState(connection);
    if (currentConnection) {
        impl.beginRequest(*currentConnection);
        impl.m_guard->beginUpload(currentConnection->m_watch);
    }
    return ulfius_uri_logger(self, uri);
}

void ApiServer::Impl::onConnection(
    void* self, MHD_Connection* connection, void** context, MHD_ConnectionNotificationCode event)
{
    Impl& impl = *static_cast<Impl*>(self);
    if (event == MHD_CONNECTION_NOTIFY_STARTED) {
        const MHD_ConnectionInfo* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        auto state = std::make_unique<Connection>();
        state->m_watch = impl.m_guard->add(info ? info->connect_fd : -1);
        *context = state.release();
        return;
    }
    const std::unique_ptr<Connection> state(static_cast<Connection*>(*context));
    *context = nullptr;
    if (!state)
        return;
    impl.finishRequest(*state);
    impl.m_guard->remove(state->m_watch);
}

void ApiServer::Impl::onCompleted(
    void* self, MHD_Connection* connection, void** request, MHD_RequestTerminationCode termination)
{
    Impl& impl = *static_cast<Impl*>(self);
    mhd_request_completed(&impl.m_instance, connection, request, termination);
    if (Connection* state = connectionState(connection))
        impl.finishRequest(*state);
}

void ApiServer::Impl::beginRequest(Connection& connection)
{
    if (connection.m_counted)
        return;
    connection.m_counted = true;
    connection.m_duringShutdown = m_stopping;
    const std::lock_guard lock(m_mutex);
    ++m_inFlight;
    m_inFlightDuringShutdown += connection.m_duringShutdown ? 1 : 0;
}

void ApiServer::Impl::finishRequest(Connection& connection)
{
    if (!connection.m_counted)
        return;
    connection.m_counted = false;
    const std::lock_guard lock(m_mutex);
    --m_inFlight;
    m_inFlightDuringShutdown -= connection.m_duringShutdown ? 1 : 0;
    if (m_inFlight == m_inFlightDuringShutdown)
        m_requestsFinished.notify_all();
}

int ApiServer::Impl::onRequest(const _u_request* request, _u_response* response, void* route)
{
    const Route& found = *static_cast<const Route*>(route);
    return found.m_impl->serve(found, request, response);
}

int ApiServer::Impl::serve(const Route& route, const _u_request* request, _u_response* response)
{
    Connection* const connection = currentConnection;
    if (connection && !m_guard->endUpload(connection->m_watch))
        return U_CALLBACK_ERROR; // the upload guard has already answered
    try {
        if (request->binary_body_length > m_settings.m_maxBodyBytes)
            respond(response,
                Reason { ResultCode::BodyTooLarge,
                    "the body exceeds the limit of " + std::to_string(m_settings.m_maxBodyBytes) + " bytes" });
        else
            (this->*route.m_handler)(request, response);
    } catch (const std::exception& error) {
        respond(response, Reason { ResultCode::InternalError, error.what() });
    }
    // Callers with persistent connections then move to another VM.
    if (m_stopping)
        u_map_put(response->map_header, "Connection", "close");
    return U_CALLBACK_COMPLETE;
}

void ApiServer::Impl::serveQuery(const _u_request* request, _u_response* response)
{
    QueryAnswer answer;
    Reason reason;
    const auto query = readQuery(requestBody(request), m_settings, reason);
    if (!query)
        setReason(answer, reason);
    else if (!refuseWhileStopping(answer))
        answer = callHandler(m_handlers.m_query, *query);
    if (query && answer.m_id.value().empty())
        answer.m_id = query->m_id;
    respond(response, answer);
}

void ApiServer::Impl::serveRequest(const _u_request* request, _u_response* response)
{
    CallerAnswer answer;
    Reason reason;
    const auto callerRequest = readRequest(requestBody(request), m_settings, reason);
    if (!callerRequest)
        setReason(answer, reason);
    else if (!refuseWhileStopping(answer))
        answer = callHandler(m_handlers.m_request, *callerRequest);
    // After an exception it is unknown how far the request got.
    if (answer.m_code == ResultCode::InternalError)
        answer.m_code = ResultCode::OutcomeUnknown;
    if (callerRequest && answer.m_id.value().empty())
        answer.m_id = callerRequest->m_id;
    respond(response, answer);
}

void ApiServer::Impl::serveAnnounce(const _u_request* request, _u_response* response)
{
    AnnouncementAnswer answer;
    Reason reason;
    const auto announcement = readAnnouncement(requestBody(request), reason);
    if (!announcement)
        setReason(answer, reason);
    else if (!refuseWhileStopping(answer))
        answer = callHandler(m_handlers.m_announce, *announcement);
    respond(response, answer);
}

void ApiServer::Impl::serveStatement(const _u_request* request, _u_response* response)
{
    StatementAnswer answer;
    Reason reason;
    const auto statement = readStatement(requestBody(request), m_settings, reason);
    if (!statement)
        setReason(answer, reason);
    else if (!refuseWhileStopping(answer))
        answer = callHandler(m_handlers.m_statement, *statement);
    // After an exception it is unknown whether the command was proposed.
    if (answer.m_code == ResultCode::InternalError)
        answer.m_code = ResultCode::CommandOutcomeUnknown;
    if (statement && answer.m_commandId.value().empty())
        answer.m_commandId = statement->m_commandId;
    respond(response, answer);
}

void ApiServer::Impl::serveCommandStatus(const _u_request* request, _u_response* response)
{
    CommandStatusAnswer answer;
    Reason reason;
    const auto status
        = readCommandStatus(urlParameter(request, "revision"), urlParameter(request, "wait_ms"), m_settings, reason);
    if (!status)
        setReason(answer, reason);
    else
        answer = callHandler(m_handlers.m_commandStatus, *status);
    if (status)
        answer.m_revision = status->m_revision;
    respond(response, answer);
}

void ApiServer::Impl::serveHealth(const _u_request*, _u_response* response)
{
    HealthAnswer health;
    if (m_stopping)
        health.m_text = "this VM is shutting down";
    else if (m_handlers.m_health)
        health = m_handlers.m_health();
    else
        health.m_text = "this VM does not serve callers";
    const Reason reason { health.m_serving ? ResultCode::Ok
            : m_stopping                   ? ResultCode::Stopping
                                           : ResultCode::NotReady,
        health.m_text };
    respond(response, reason);
}

void ApiServer::Impl::serveMetrics(const _u_request*, _u_response* response)
{
    respond(response, 200, metricsType, m_handlers.m_metrics ? m_handlers.m_metrics() : std::string());
}

void ApiServer::Impl::serveUnknown(const _u_request* request, _u_response* response)
{
    const std::string path = request->url_path ? request->url_path : "";
    std::string allowed;
    for (const Route& route : m_routes)
        if (route.m_path && path == route.m_path)
            allowed += (allowed.empty() ? "" : ", ") + std::string(route.m_method);
    if (allowed.empty()) {
        const Reason reason { ResultCode::UnknownName, "unknown path" };
        respond(response, 404, jsonType, writeAnswer(reason));
        return;
    }
    const Reason reason { ResultCode::UnsupportedProtocol, "the method must be " + allowed };
    respond(response, 405, jsonType, writeAnswer(reason));
    u_map_put(response->map_header, "Allow", allowed.c_str());
}

ApiServer::ApiServer(ApiSettings settings, ApiHandlers handlers)
    : m_impl(std::make_unique<Impl>(std::move(settings), std::move(handlers)))
{
}

ApiServer::~ApiServer() { m_impl->stop(); }

bool ApiServer::start(Reason& reason) { return m_impl->start(reason); }

std::uint16_t ApiServer::port() const { return m_impl->port(); }

void ApiServer::beginShutdown() { m_impl->beginShutdown(); }

std::size_t ApiServer::inFlight() const { return m_impl->inFlight(); }

bool ApiServer::stop() { return m_impl->stop(); }

} // namespace flamingo
