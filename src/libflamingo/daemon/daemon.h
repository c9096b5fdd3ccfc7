#pragma once

#include "api/apiserver.h"
#include "base/reason.h"
#include "daemon/announcer.h"
#include "daemon/controlloop.h"
#include "daemon/daemonprotocols.h"
#include "daemon/entryloop.h"
#include "daemon/entrymetrics.h"
#include "daemon/forwardloop.h"
#include "daemon/statementexecutor.h"
#include "settings/settings.h"

#include <atomic>
#include <functional>
#include <memory>

namespace flamingo {

/**
 * One daemon with the roles that its settings give it.
 *
 * Thread safety: start(), shutDown() and stop() from one thread.
 */
class Daemon {
public:
    /** The handler is called once, on any thread, if the daemon cannot go on. */
    Daemon(Settings settings, DaemonProtocols protocols, std::function<void(const Reason&)> failed);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /** Opens files and ports and starts the roles. Returns false and a reason if that fails. */
    bool start(Reason& reason);

    /** Takes over what may change while the daemon runs: the addresses of control VMs. */
    void reload(const Settings& settings);

    /**
     * Shuts down gracefully: fails the health check, refuses new work as not run, waits for requests in
     * flight as long as the settings allow, gives up the lease and stops.
     */
    void shutDown();

private:
    bool startControl(Reason& reason);
    bool startEntry(Reason& reason);
    bool startRoutes(Reason& reason);
    bool startMetrics(Reason& reason);
    ControlClientSettings clientSettings(const std::string& callerAddress) const;
    ApiHandlers handlers();
    HealthAnswer health() const;
    std::string metrics();
    std::optional<Reason> refusalWithoutLease() const;

    Settings m_settings;
    DaemonProtocols m_protocols;
    std::function<void(const Reason&)> m_failed;
    std::uint64_t m_incarnation;
    EntryMetrics m_metrics;
    ControlLoop m_control;
    std::unique_ptr<EntryLoop> m_entry;
    std::unique_ptr<ForwardLoop> m_routes;
    std::unique_ptr<StatementExecutor> m_statements;
    std::unique_ptr<Announcer> m_announcer;
    std::unique_ptr<ApiServer> m_api;
    std::atomic<bool> m_stopping { false };
};

} // namespace flamingo
