#pragma once

#include "daemon/controllink.h"
#include "daemon/controlloopproxy.h"
#include "daemon/controlrole.h"
#include "http/httpserver.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <thread>

namespace flamingo {

/**
 * The control loop of a daemon and its thread: runs the control role, the entry link to the control VMs, or both.
 *
 * It is separate from the entry loop because it blocks on writes to disk.
 * Thread safety: proxy() and its functions, and withControlRole(), from any thread; the rest from one thread.
 */
class ControlLoop {
public:
    ControlLoop();
    ~ControlLoop();
    ControlLoop(const ControlLoop&) = delete;
    ControlLoop& operator=(const ControlLoop&) = delete;

    /**
     * Adds the control role and opens its port. Returns false and sets the reason if that fails.
     *
     * onFailure is called on the control loop if the role cannot continue. Precondition: before run().
     */
    bool addControlRole(ControlRoleSettings settings, std::function<void(const Reason&)> onFailure, Reason& reason);

    /**
     * Adds the link of the entry role or the routes role to the control VMs.
     *
     * onState is called on the control loop and must make the state visible to all new work before it returns.
     * Precondition: before run().
     */
    void addEntryLink(ControlClientSettings settings,
        std::function<void(std::shared_ptr<const PublishedState>, const std::vector<Change>*)> onState);

    /**
     * Serves metrics over HTTP; text is called on the control loop for each request.
     *
     * Returns false and sets the reason if the port cannot be opened. Precondition: before run().
     */
    bool addMetrics(const SocketAddress& address, std::function<std::string()> text, Reason& reason);

    /** Replaces the addresses of control VMs that the entry link connects to. */
    void setControlAddresses(std::vector<std::string> addresses);

    /** Makes the control role stop accepting calls over HTTP. */
    void stopApi();

    /** Starts the thread. */
    void run();

    /** Tells the leader that this VM leaves, so that other VMs send it no more calls; returns without waiting. */
    void announceLeave();

    /** Asks the leader to end this VM's lease; returns once it has ended, or after the timeout. */
    void leave(Milliseconds timeout);

    /** Stops the loop and joins the thread. */
    void stop();

    /** Returns the functions of the loop that other threads may call. Precondition: addEntryLink() was called. */
    const ControlLoopProxy& proxy() const { return m_proxy; }

    /** Runs the function on the control loop and waits for it; returns false without a running control role. */
    bool withControlRole(const std::function<void(ControlRole&)>& function);

private:
    void scheduleTick();
    void initialiseProxy();

    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    boost::asio::steady_timer m_ticker;
    std::unique_ptr<ControlRole> m_role;
    std::unique_ptr<ControlLink> m_link;
    std::unique_ptr<HttpServer> m_metricsServer;
    ControlLoopProxy m_proxy;
    std::thread m_thread;
};

} // namespace flamingo
