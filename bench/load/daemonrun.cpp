#include "load/daemonrun.h"

#include "load/openloop.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <memory>

namespace flamingo::bench {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr int httpVersion11 = 11;
constexpr Milliseconds graceAfterDeadline { 1000 };

tcp::endpoint parseAddress(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        throw std::runtime_error("'" + text + "' must have the form address:port");
    return { asio::ip::make_address(text.substr(0, colon)),
        static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1))) };
}

void readAnswer(const std::string& body, Measurement& measurement)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    measurement.m_code = json.is_object() ? json.value("name", "NoAnswer") : "NoAnswer";
    if (!json.is_object() || !json.contains("coverage"))
        return;
    measurement.m_coverage = json["coverage"].value("fraction", 0.0);
    measurement.m_shards = json["coverage"].value("shards_total", 0U);
    measurement.m_endpointRequests = json.value("endpoint_requests", 0U);
}

class DaemonRun;

class Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(asio::io_context& context, DaemonRun& run, std::size_t daemon)
        : m_run(run)
        , m_daemon(daemon)
        , m_stream(context)
    {
    }

    void send(std::size_t index, http::request<http::string_body> request, const tcp::endpoint& address);
    std::size_t daemon() const { return m_daemon; }

private:
    void write();
    void onFinished(error_code error);

    DaemonRun& m_run;
    std::size_t m_daemon;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    http::request<http::string_body> m_request;
    http::response<http::string_body> m_response;
    std::size_t m_index = 0;
    bool m_connected = false;
};

class DaemonRun {
public:
    DaemonRun(const DaemonRunSettings& settings, const std::vector<PlannedQuery>& plan)
        : m_settings(settings)
        , m_plan(plan)
        , m_loop(m_context, plan, [this](std::size_t index) { send(index); })
        , m_idleConnections(settings.m_daemons.size())
        , m_results(plan.size())
    {
        for (const std::string& daemon : settings.m_daemons)
            m_addresses.push_back(parseAddress(daemon));
    }

    Measurements run()
    {
        m_loop.start();
        m_context.run();
        return std::move(m_results);
    }

    void finish(
        const std::shared_ptr<Connection>& connection, std::size_t index, const std::string& body, bool keepAlive)
    {
        Measurement& result = m_results[index];
        const auto elapsed = monotonicNow() - m_loop.intendedTime(index);
        result.m_latency = std::chrono::duration_cast<Microseconds>(elapsed);
        readAnswer(body, result);
        if (keepAlive)
            m_idleConnections[connection->daemon()].push_back(connection);
        else
            --m_openConnections;
        if (++m_finished == m_plan.size())
            m_idleConnections.clear();
    }

    MonotonicTime deadlineOf(std::size_t index) const
    {
        return m_loop.intendedTime(index) + m_settings.m_deadline + graceAfterDeadline;
    }

private:
    void send(std::size_t index)
    {
        m_results[index].m_at = m_plan[index].m_at;
        const std::size_t daemon = index % m_addresses.size();
        std::shared_ptr<Connection> connection;
        if (!m_idleConnections[daemon].empty()) {
            connection = m_idleConnections[daemon].back();
            m_idleConnections[daemon].pop_back();
        } else if (m_openConnections < m_settings.m_maxConnections) {
            ++m_openConnections;
            connection = std::make_shared<Connection>(m_context, *this, daemon);
        } else {
            m_results[index].m_code = "NotSent";
            ++m_finished;
            return;
        }
        const nlohmann::json body { { "service", m_settings.m_service }, { "body", m_plan[index].m_text },
            { "deadline_ms", m_settings.m_deadline.count() } };
        http::request<http::string_body> request { http::verb::post, "/v1/query", httpVersion11, body.dump() };
        request.set(http::field::host, m_settings.m_daemons[daemon]);
        request.set(http::field::content_type, "application/json");
        request.prepare_payload();
        connection->send(index, std::move(request), m_addresses[daemon]);
    }

    const DaemonRunSettings& m_settings;
    const std::vector<PlannedQuery>& m_plan;
    asio::io_context m_context { 1 };
    OpenLoop m_loop;
    std::vector<tcp::endpoint> m_addresses;
    std::vector<std::vector<std::shared_ptr<Connection>>> m_idleConnections;
    Measurements m_results;
    std::size_t m_openConnections = 0; // connections in use or idle
    std::size_t m_finished = 0;
};

void Connection::send(std::size_t index, http::request<http::string_body> request, const tcp::endpoint& address)
{
    m_index = index;
    m_request = std::move(request);
    m_stream.expires_after(m_run.deadlineOf(index) - monotonicNow());
    if (m_connected)
        return write();
    m_stream.async_connect(address, [self = shared_from_this()](error_code error) {
        if (error)
            return self->onFinished(error);
        self->m_connected = true;
        self->m_stream.socket().set_option(tcp::no_delay(true), error);
        self->write();
    });
}

void Connection::write()
{
    http::async_write(m_stream, m_request, [self = shared_from_this()](error_code error, std::size_t) {
        if (error)
            return self->onFinished(error);
        self->m_response = {};
        http::async_read(self->m_stream, self->m_buffer, self->m_response,
            [self](error_code result, std::size_t) { self->onFinished(result); });
    });
}

void Connection::onFinished(error_code error)
{
    m_stream.expires_never();
    m_run.finish(
        shared_from_this(), m_index, error ? std::string() : m_response.body(), !error && m_response.keep_alive());
}

} // namespace

Measurements runAgainstDaemons(const DaemonRunSettings& settings, const std::vector<PlannedQuery>& plan)
{
    return DaemonRun(settings, plan).run();
}

} // namespace flamingo::bench
