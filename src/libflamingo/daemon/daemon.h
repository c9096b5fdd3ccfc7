#pragma once

#include "api/apiserver.h"
#include "base/reason.h"
#include "daemon/announcer.h"
#include "daemon/controlloop.h"
#include "daemon/daemonmetrics.h"
#include "daemon/daemonprotocols.h"
#include "daemon/entryloop.h"
#include "daemon/forwardloop.h"
#include "daemon/statementexecutor.h"
#include "settings/settings.h"

#include <atomic>
#include <functional>
#include <memory>

namespace flamingo {

/**
 * A daemon with the roles that its settings enable.
 *
 * Thread safety: start(), reload() and shutDown() from one thread.
 */
class Daemon {
public:
    /** onFailure is called once, on any thread, if the daemon cannot continue. */
    Daemon(Settings settings, DaemonProtocols protocols, std::function<void(const Reason&)> onFailure);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /** Opens files and ports and starts the roles. Returns false and sets the reason if that fails. */
    bool start(Reason& reason);

    /** Applies the settings that may change while the daemon runs: the addresses of control VMs. */
    void reload(const Settings& settings);

    /**
     * Shuts down gracefully: fails the health check, refuses new work without running it, waits for requests in flight
     * for at most the grace period of the settings, ends the lease and stops.
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
    std::function<void(const Reason&)> m_onFailure;
    std::uint64_t m_incarnation;
    DaemonMetrics m_metrics;
    ControlLoop m_controlLoop;
    std::unique_ptr<EntryLoop> m_entryLoop;
    std::unique_ptr<ForwardLoop> m_forwardLoop;
    std::unique_ptr<StatementExecutor> m_statements;
    std::unique_ptr<Announcer> m_announcer;
    std::unique_ptr<ApiServer> m_api;
    std::atomic<bool> m_stopping { false };
};

} // namespace flamingo
