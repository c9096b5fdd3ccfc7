#pragma once

#include "daemon/controllink.h"
#include "daemon/controlport.h"
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
 * The control loop of a daemon with its thread: the control role, the link of the entry role, or both.
 *
 * It is apart from the query loop because it waits for the disk.
 * Thread safety: port() and its functions, and withRole(), from any thread; the rest from one thread.
 */
class ControlLoop {
public:
    ControlLoop();
    ~ControlLoop();
    ControlLoop(const ControlLoop&) = delete;
    ControlLoop& operator=(const ControlLoop&) = delete;

    /** Adds the control role and opens its port. Precondition: before run(). */
    bool addControlRole(ControlRoleSettings settings, std::function<void(const Reason&)> failed, Reason& reason);

    /**
     * Adds the link of the entry role. The state handler runs on the control loop and returns only when
     * the state is visible to all new work. Precondition: before run().
     */
    void addEntryLink(ControlClientSettings settings,
        std::function<void(std::shared_ptr<const PublishedState>, const std::vector<Change>*)> onState);

    /** Serves the text as metrics over HTTP; it is made on the control loop. Precondition: before run(). */
    bool addMetrics(const SocketAddress& address, std::function<std::string()> text, Reason& reason);

    /** Replaces the addresses at which the entry link looks for control VMs. */
    void setControlAddresses(std::vector<std::string> addresses);

    /** Has the control role stop taking calls over HTTP. */
    void stopApi();

    /** Starts the thread. */
    void run();

    /** Tells the leader that this VM leaves, so that other VMs send it no more calls; returns at once. */
    void announceLeave();

    /** Has the leader end this VM's lease; returns when it has, or after the timeout. */
    void leave(Milliseconds timeout);

    /** Stops the loop and joins the thread. */
    void stop();

    /** Returns what other threads may ask. Precondition: addEntryLink() was called. */
    const ControlPort& port() const { return m_port; }

    /** Runs the function on the control loop and waits for it; false if there is no control role or it is stopped. */
    bool withRole(const std::function<void(ControlRole&)>& function);

private:
    void scheduleTick();
    void makePort();

    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    boost::asio::steady_timer m_ticker;
    std::unique_ptr<ControlRole> m_role;
    std::unique_ptr<ControlLink> m_link;
    std::unique_ptr<HttpServer> m_metrics;
    ControlPort m_port;
    std::thread m_thread;
};

} // namespace flamingo
