#include "daemon/controlloop.h"

#include <boost/asio/post.hpp>

#include <future>

namespace flamingo {

namespace {

constexpr Milliseconds tickInterval { 20 };

} // namespace

ControlLoop::ControlLoop()
    : m_work(boost::asio::make_work_guard(m_io))
    , m_ticker(m_io)
{
}

ControlLoop::~ControlLoop() { stop(); }

bool ControlLoop::addControlRole(
    ControlRoleSettings settings, std::function<void(const Reason&)> onFailure, Reason& reason)
{
    m_role = std::make_unique<ControlRole>(m_io, std::move(settings), std::move(onFailure));
    return m_role->start(monotonicNow(), reason);
}

void ControlLoop::addEntryLink(ControlClientSettings settings,
    std::function<void(std::shared_ptr<const PublishedState>, const std::vector<Change>*)> onState)
{
    m_link = std::make_unique<ControlLink>(m_io, std::move(settings), std::move(onState));
    initialiseProxy();
}

bool ControlLoop::addMetrics(const SocketAddress& address, std::function<std::string()> text, Reason& reason)
{
    m_metricsServer
        = std::make_unique<HttpServer>(m_io, [text = std::move(text)](const std::shared_ptr<HttpExchange>& exchange) {
              exchange->respond({ 200, { { "Content-Type", "text/plain; version=0.0.4" } }, text() });
          });
    return m_metricsServer->start(address, reason);
}

void ControlLoop::setControlAddresses(std::vector<std::string> addresses)
{
    boost::asio::post(m_io, [this, addresses = std::move(addresses)]() mutable {
        if (m_link)
            m_link->client().setControlAddresses(std::move(addresses));
    });
}

void ControlLoop::stopApi()
{
    boost::asio::post(m_io, [this] {
        if (m_role)
            m_role->stopApi();
    });
}

void ControlLoop::initialiseProxy()
{
    m_proxy.m_lease = m_link->client().leaseView();
    m_proxy.m_submit = [this](Command command, Milliseconds timeout, CommandHandler handler) {
        boost::asio::post(m_io, [this, command = std::move(command), timeout, handler = std::move(handler)]() mutable {
            m_link->client().submit(std::move(command), timeout, std::move(handler), monotonicNow());
        });
    };
    m_proxy.m_queryStatus = [this](Revision revision, Milliseconds timeout, StatusHandler handler) {
        boost::asio::post(m_io, [this, revision, timeout, handler = std::move(handler)]() mutable {
            m_link->client().queryStatus(revision, timeout, std::move(handler), monotonicNow());
        });
    };
    m_proxy.m_administer = [this](AdminRequest request, Milliseconds timeout, AdminHandler handler) {
        boost::asio::post(m_io, [this, request = std::move(request), timeout, handler = std::move(handler)]() mutable {
            m_link->client().administer(std::move(request), timeout, std::move(handler), monotonicNow());
        });
    };
    m_proxy.m_noteRenewal = [this](EndpointId endpoint) {
        boost::asio::post(
            m_io, [this, endpoint = std::move(endpoint)] { m_link->client().reportEndpointRenewal(endpoint); });
    };
}

void ControlLoop::run()
{
    scheduleTick();
    m_thread = std::thread([this] { m_io.run(); });
}

void ControlLoop::scheduleTick()
{
    m_ticker.expires_after(tickInterval);
    m_ticker.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        const MonotonicTime now = monotonicNow();
        if (m_role)
            m_role->tick(now);
        if (m_link)
            m_link->tick(now);
        scheduleTick();
    });
}

void ControlLoop::announceLeave()
{
    boost::asio::post(m_io, [this] {
        if (m_link)
            m_link->client().leave(monotonicNow());
    });
}

void ControlLoop::leave(Milliseconds timeout)
{
    if (!m_link || !m_thread.joinable())
        return;
    boost::asio::post(m_io, [this] { m_link->client().leave(monotonicNow()); });
    const MonotonicTime until = monotonicNow() + timeout;
    while (monotonicNow() < until) {
        const auto left = std::make_shared<std::promise<bool>>();
        boost::asio::post(m_io, [this, left] { left->set_value(m_link->client().hasLeft()); });
        if (left->get_future().get())
            return;
        std::this_thread::sleep_for(tickInterval);
    }
}

void ControlLoop::stop()
{
    if (m_thread.joinable()) {
        boost::asio::post(m_io, [this] {
            m_ticker.cancel();
            if (m_role)
                m_role->stop();
            m_io.stop();
        });
        m_thread.join();
    }
    m_metricsServer.reset();
    m_link.reset();
    m_role.reset();
}

bool ControlLoop::withControlRole(const std::function<void(ControlRole&)>& function)
{
    if (!m_role || !m_thread.joinable())
        return false;
    // The promise is shared, since the loop may still be inside set_value() when this thread continues.
    const auto done = std::make_shared<std::promise<void>>();
    boost::asio::post(m_io, [this, &function, done] {
        function(*m_role);
        done->set_value();
    });
    done->get_future().get();
    return true;
}

} // namespace flamingo
