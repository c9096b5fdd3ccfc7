#include "daemon/daemonprocess.h"

#include "base/log.h"
#include "base/logsettings.h"
#include "daemon/daemon.h"
#include "settings/settingsreader.h"

#include <atomic>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace flamingo {

namespace {

constexpr int exitFailed = 1;
constexpr int exitUsage = 2;
// A settings file that changed without a signal is noticed after this time.
constexpr timespec settingsPoll { 2, 0 };

// Signals are taken by the main thread alone; all other threads inherit the blocked mask.
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

std::string contentOf(const std::string& fileName)
{
    std::ifstream file(fileName);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::optional<Settings> readAndReport(const std::string& settingsFile)
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
        FLAMINGO_LOG(Warning, "settings were not reloaded", { "reason", reason.m_text });
        return;
    }
    daemon.reload(*settings);
    FLAMINGO_LOG(
        Info, "settings reloaded", { "control_addresses", std::to_string(settings->m_controlAddresses.size()) });
}

/** Waits for the signal to stop, and reloads the settings meanwhile. */
void waitForStop(Daemon& daemon, const std::string& settingsFile, const sigset_t& signals)
{
    std::string content = contentOf(settingsFile);
    while (true) {
        const int signal = sigtimedwait(&signals, nullptr, &settingsPoll);
        if (signal == SIGTERM || signal == SIGINT)
            return;
        std::string now = contentOf(settingsFile);
        if (signal != SIGHUP && now == content)
            continue;
        content = std::move(now);
        reload(daemon, settingsFile);
    }
}

} // namespace

int runDaemonProcess(const std::string& settingsFile, bool bootstrap, DaemonProtocols protocols)
{
    auto settings = readAndReport(settingsFile);
    if (!settings)
        return exitUsage;
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
            FLAMINGO_LOG(Error, "cannot start", { "reason", reason.m_text });
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
    if (!readAndReport(settingsFile))
        return exitUsage;
    std::cout << "settings are valid\n";
    return 0;
}

} // namespace flamingo
