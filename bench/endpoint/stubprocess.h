#pragma once

#include "endpoint/announcer.h"
#include "endpoint/executionlog.h"
#include "endpoint/logicalendpoint.h"
#include "endpoint/scenario.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace flamingo::bench {

class AdminServer;

/** Runs all endpoints of a scenario, announces them and serves the admin port. Not thread-safe. */
class StubProcess {
public:
    /** Starts to listen and announce. Throws if an address cannot be bound. */
    StubProcess(boost::asio::io_context& context, const Scenario& scenario);
    ~StubProcess();

    StubProcess(const StubProcess&) = delete;
    StubProcess& operator=(const StubProcess&) = delete;

    /** Answers a request to the admin port. */
    std::string handle(const std::string& method, const std::string& target, const std::string& body, unsigned& status);

    /** Announces that all endpoints leave, then calls the function. */
    void leave(std::function<void()> done);

    std::uint16_t adminPort() const;
    std::vector<std::unique_ptr<LogicalEndpoint>>& endpoints() { return m_endpoints; }
    const ExecutionLog& log() const { return m_log; }

private:
    void onCrash(LogicalEndpoint& endpoint);
    void restart(LogicalEndpoint& endpoint);
    std::string counters(bool withRequests) const;

    boost::asio::io_context& m_context;
    bool m_exitOnCrash;
    ExecutionLog m_log;
    std::vector<std::unique_ptr<LogicalEndpoint>> m_endpoints;
    Announcer m_announcer;
    std::unique_ptr<AdminServer> m_admin;
    std::shared_ptr<int> m_lifetime = std::make_shared<int>(); // disables pending restarts once destroyed
};

} // namespace flamingo::bench
