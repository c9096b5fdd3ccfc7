#include "daemon/daemonprocess.h"

#include "base/log.h"
#include "base/logsettings.h"
#include "daemon/daemon.h"
#include "settings/settingsreader.h"

#include <atomic>
#include <csignal>
#include <fstream>
#include <iostream>
#include <malloc.h>
#include <sstream>

namespace flamingo {

namespace {

constexpr int exitFailed = 1;
constexpr int exitUsage = 2;
// Interval at which the settings file is checked for changes that no SIGHUP announced.
constexpr timespec settingsPollInterval { 2, 0 };

// Blocks the signals that only the main thread waits for; threads started later inherit the mask. Ignores SIGPIPE.
sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : { SIGTERM, SIGINT, SIGHUP })
        sigaddset(&signals, signal);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

/**
 * Makes the allocator return each buffer of this size or more to the system once it is freed.
 *
 * By default glibc raises its threshold up to the size of the largest buffer freed. Long answers would then be taken
 * from the heap, where any smaller buffer behind them keeps their memory resident after their callers have left.
 */
void returnLargeBuffersToSystem()
{
    constexpr int thresholdBytes = 131072; // the initial threshold of glibc
    mallopt(M_MMAP_THRESHOLD, thresholdBytes);
}

std::string readFile(const std::string& fileName)
{
    std::ifstream file(fileName);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::optional<Settings> readSettingsAndReport(const std::string& settingsFile)
{
    Reason reason;
    std::vector<std::string> warnings;
    auto settings = readSettings(settingsFile, reason, warnings);
    for (const std::string& warning : warnings)
        std::cerr << warning << '\n';
    if (!settings)
        std::cerr << reason.m_text << '\n';
    return settings;
}

void reload(Daemon& daemon, const std::string& settingsFile)
{
    Reason reason;
    std::vector<std::string> warnings;
    const auto settings = readSettings(settingsFile, reason, warnings);
    if (!settings) {
        FLAMINGO_LOG(Warning, "settings reload failed", { "reason", reason.m_text });
        return;
    }
    daemon.reload(*settings);
    FLAMINGO_LOG(
        Info, "settings reloaded", { "control_addresses", std::to_string(settings->m_controlAddresses.size()) });
}

/** Waits for SIGTERM or SIGINT; reloads the settings meanwhile. */
void waitForStop(Daemon& daemon, const std::string& settingsFile, const sigset_t& signals)
{
    std::string content = readFile(settingsFile);
    while (true) {
        const int signal = sigtimedwait(&signals, nullptr, &settingsPollInterval);
        if (signal == SIGTERM || signal == SIGINT)
            return;
        std::string newContent = readFile(settingsFile);
        if (signal != SIGHUP && newContent == content)
            continue;
        content = std::move(newContent);
        reload(daemon, settingsFile);
    }
}

} // namespace

int runDaemonProcess(const std::string& settingsFile, bool bootstrap, DaemonProtocols protocols)
{
    auto settings = readSettingsAndReport(settingsFile);
    if (!settings)
        return exitUsage;
    returnLargeBuffersToSystem();
    if (bootstrap)
        settings->m_control.m_bootstrap = true;
    const sigset_t signals = blockSignals();
    Reason reason;
    if (!startLogging({ settings->m_logging.m_level, settings->m_logging.m_file }, reason)) {
        std::cerr << reason.m_text << '\n';
        return exitFailed;
    }
    std::atomic<bool> failed { false };
    {
        Daemon daemon(std::move(*settings), protocols, [&failed](const Reason&) {
            failed = true;
            kill(getpid(), SIGTERM);
        });
        if (!daemon.start(reason)) {
            FLAMINGO_LOG(Error, "daemon start failed", { "reason", reason.m_text });
            failed = true;
        } else {
            FLAMINGO_LOG(Info, "started");
            waitForStop(daemon, settingsFile, signals);
            daemon.shutDown();
        }
    }
    stopLogging();
    return failed ? exitFailed : 0;
}

int checkSettingsFile(const std::string& settingsFile)
{
    if (!readSettingsAndReport(settingsFile))
        return exitUsage;
    std::cout << "settings are valid\n";
    return 0;
}

} // namespace flamingo
