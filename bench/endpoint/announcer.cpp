#include "endpoint/announcer.h"

#include <nlohmann/json.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

namespace flamingo::bench {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr Milliseconds renewalPeriod { 2000 };
constexpr Milliseconds retryPeriod { 250 };
constexpr Milliseconds tickPeriod { 20 };
constexpr Milliseconds requestTimeout { 2000 };

} // namespace

/** Persistent HTTP connection to one daemon, with one request at a time; moves on to the next daemon on failure. */
class Announcer::Connection : public std::enable_shared_from_this<Connection> {
public:
    using Handler = std::function<void(bool connected, unsigned status)>;

    Connection(asio::io_context& context, const std::vector<std::string>& daemons, std::size_t firstDaemon)
        : m_stream(context)
        , m_daemons(daemons)
        , m_daemonIndex(firstDaemon)
    {
    }

    bool isFree() const { return !m_handler; }

    void post(std::string body, Handler handler)
    {
        m_handler = std::move(handler);
        m_request = { http::verb::post, "/v1/announce", 11, std::move(body) };
        m_request.set(http::field::host, m_daemons[m_daemonIndex % m_daemons.size()]);
        m_request.set(http::field::content_type, "application/json");
        m_request.prepare_payload();
        m_stream.expires_after(requestTimeout);
        if (m_stream.socket().is_open())
            return write();
        const std::string& daemon = m_daemons[m_daemonIndex % m_daemons.size()];
        const auto colon = daemon.rfind(':');
        error_code error;
        const auto address = asio::ip::make_address(daemon.substr(0, colon), error);
        const auto port = static_cast<std::uint16_t>(std::strtoul(daemon.c_str() + colon + 1, nullptr, 10));
        m_stream.async_connect(asio::ip::tcp::endpoint(address, port), [self = shared_from_this()](error_code result) {
            if (result)
                self->fail();
            else
                self->write();
        });
    }

    void stop()
    {
        m_handler = nullptr;
        m_stream.close();
    }

private:
    void write()
    {
        http::async_write(m_stream, m_request, [self = shared_from_this()](error_code error, std::size_t) {
            if (error)
                self->fail();
            else
                self->read();
        });
    }

    void read()
    {
        m_response = {};
        http::async_read(m_stream, m_buffer, m_response, [self = shared_from_this()](error_code error, std::size_t) {
            if (error)
                return self->fail();
            if (!self->m_response.keep_alive())
                self->m_stream.close();
            self->finish(true, self->m_response.result_int());
        });
    }

    void fail()
    {
        m_stream.close();
        m_buffer.clear();
        ++m_daemonIndex;
        finish(false, 0);
    }

    void finish(bool connected, unsigned status)
    {
        if (Handler handler = std::exchange(m_handler, nullptr))
            handler(connected, status);
    }

    boost::beast::tcp_stream m_stream;
    const std::vector<std::string>& m_daemons;
    std::size_t m_daemonIndex;
    boost::beast::flat_buffer m_buffer;
    http::request<http::string_body> m_request;
    http::response<http::string_body> m_response;
    Handler m_handler;
};

Announcer::Announcer(asio::io_context& context, std::vector<std::string> daemons, std::uint32_t connections)
    : m_timer(context)
    , m_daemons(std::move(daemons))
{
    for (std::uint32_t i = 0; i < connections && !m_daemons.empty(); ++i)
        m_connections.push_back(std::make_shared<Connection>(context, m_daemons, i));
    tick();
}

Announcer::~Announcer()
{
    for (auto& connection : m_connections)
        connection->stop();
}

void Announcer::add(LogicalEndpoint& endpoint)
{
    Entry entry;
    entry.m_endpoint = &endpoint;
    // The first 100 endpoints register at once. Later ones are spread over the renewal period, so that thousands of
    // endpoints do not renew at the same instant.
    const auto phase = Milliseconds((m_entries.size() * 37) % static_cast<std::size_t>(renewalPeriod.count()));
    entry.m_due = monotonicNow() + (m_entries.size() < 100 ? Milliseconds(0) : phase);
    m_entries.push_back(entry);
}

Announcer::Entry& Announcer::find(LogicalEndpoint& endpoint)
{
    return *std::find_if(
        m_entries.begin(), m_entries.end(), [&endpoint](const Entry& entry) { return entry.m_endpoint == &endpoint; });
}

void Announcer::setAction(LogicalEndpoint& endpoint, Action action)
{
    Entry& entry = find(endpoint);
    entry.m_action = action;
    entry.m_draining = action == Action::Drain;
    ++entry.m_generation;
    entry.m_due = monotonicNow();
}

void Announcer::drain(LogicalEndpoint& endpoint) { setAction(endpoint, Action::Drain); }
void Announcer::leave(LogicalEndpoint& endpoint) { setAction(endpoint, Action::Leave); }
void Announcer::registerAgain(LogicalEndpoint& endpoint) { setAction(endpoint, Action::Register); }
void Announcer::stopAnnouncing(LogicalEndpoint& endpoint) { setAction(endpoint, Action::None); }

void Announcer::whenIdle(Milliseconds timeout, std::function<void()> onIdle)
{
    m_idleDeadline = monotonicNow() + timeout;
    m_onIdle = std::move(onIdle);
}

void Announcer::tick()
{
    const auto now = monotonicNow();
    bool allIdle = true;
    for (std::size_t i = 0; i < m_entries.size() && !m_connections.empty(); ++i) {
        Entry& entry = m_entries[i];
        if (entry.m_action != Action::None && !entry.m_queued && entry.m_due <= now) {
            entry.m_queued = true;
            m_queue.push_back(i);
        }
        allIdle = allIdle && entry.m_action == Action::None;
    }
    dispatch();
    if (m_onIdle && (allIdle || now >= m_idleDeadline))
        std::exchange(m_onIdle, nullptr)();
    m_timer.expires_after(tickPeriod);
    m_timer.async_wait([this](error_code error) {
        if (!error)
            tick();
    });
}

void Announcer::dispatch()
{
    for (auto& connection : m_connections) {
        while (connection->isFree() && !m_queue.empty())
            sendNext(*connection);
    }
}

void Announcer::sendNext(Connection& connection)
{
    const std::size_t index = m_queue.front();
    m_queue.pop_front();
    Entry& entry = m_entries[index];
    if (entry.m_action == Action::None) {
        entry.m_queued = false;
        return;
    }
    connection.post(announcementBody(entry),
        [this, index, action = entry.m_action, generation = entry.m_generation](
            bool connected, unsigned status) { onAnswer(index, action, generation, connected, status); });
}

void Announcer::onAnswer(std::size_t index, Action action, std::uint64_t generation, bool connected, unsigned status)
{
    const bool accepted = connected && status == 200;
    ++(accepted ? m_announced : m_failed);
    Entry& entry = m_entries[index];
    entry.m_queued = false;
    if (generation == entry.m_generation) {
        entry.m_due = monotonicNow() + (accepted ? renewalPeriod : retryPeriod);
        if (accepted && action == Action::Leave)
            entry.m_action = Action::None;
        else if (accepted && action == Action::Register && entry.m_draining)
            entry.m_action = Action::Drain;
        else if (accepted)
            entry.m_action = Action::Renew;
        else if (connected && action == Action::Renew)
            entry.m_action = Action::Register;
        else if (connected && action == Action::Leave)
            entry.m_action = Action::None; // the daemon does not know the endpoint, so nothing is left to announce
        if (entry.m_action == Action::Drain || (entry.m_action == Action::Register && action == Action::Renew))
            entry.m_due = monotonicNow();
    }
    dispatch();
}

std::string Announcer::announcementBody(const Entry& entry)
{
    static constexpr const char* actionNames[] = { "none", "register", "renew", "drain", "leave" };
    const StubEndpoint& stub = entry.m_endpoint->stub();
    const EndpointRecord& record = stub.m_record;
    nlohmann::json json { { "action", actionNames[static_cast<int>(entry.m_action)] }, { "id", record.m_id.value() },
        { "incarnation", record.m_incarnation.value() } };
    if (entry.m_action == Action::Register) {
        json["service"] = record.m_service.value();
        json["address"] = record.m_address;
        json["port"] = record.m_port;
        json["data_centre"] = record.m_dataCentre.value();
        json["slots"] = record.m_slots;
        json["connections"] = record.m_connections;
        json["holdings"] = nlohmann::json::array();
        for (const ShardHolding& holding : record.m_holdings) {
            json["holdings"].push_back({ { "snapshot", holding.m_version.value() },
                { "layout", holding.m_layout.value() }, { "shard", holding.m_shard.value() } });
        }
        json["layouts"] = nlohmann::json::array();
        for (const SnapshotLayout& layout : stub.m_layouts) {
            json["layouts"].push_back({ { "snapshot", layout.m_key.m_version.value() },
                { "layout", layout.m_key.m_layout.value() }, { "weights", layout.m_shardWeights } });
        }
    }
    return json.dump();
}

} // namespace flamingo::bench
