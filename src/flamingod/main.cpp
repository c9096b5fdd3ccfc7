#include "base/log.h"
#include "base/logsettings.h"
#include "daemon/daemon.h"
#include "settings/settingsreader.h"

#include <docopt/docopt.h>

#include <csignal>
#include <iostream>

namespace {

constexpr char usage[] = R"(flamingod - query tier between callers and endpoints

Usage:
  flamingod --settings=FILE [--check] [--bootstrap]
  flamingod --help
  flamingod --version

Options:
  --settings=FILE  YAML file with the settings of this VM.
  --check          Check the settings and exit: 0 if they are valid, 2 if not.
  --bootstrap      Allow this VM's control role to form a new cluster with the other
                   listed members, if all of them have empty data folders.
  --help           Show this text.
  --version        Show the version.
)";

constexpr int exitFailed = 1;
constexpr int exitUsage = 2;

// Signals are taken by sigwait() in the main thread; all other threads inherit the blocked mask.
sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int run(flamingo::Settings settings)
{
    const sigset_t signals = blockSignals();
    std::atomic<bool> failed { false };
    flamingo::Reason reason;
    {
        flamingo::Daemon daemon(std::move(settings), [&failed](const flamingo::Reason&) {
            failed = true;
            kill(getpid(), SIGTERM);
        });
        if (!daemon.start(reason)) {
            FLAMINGO_LOG(Error, "cannot start", { "reason", reason.m_text });
            return exitFailed;
        }
        FLAMINGO_LOG(Info, "started");
        int signal = 0;
        sigwait(&signals, &signal);
        daemon.shutDown();
    }
    return failed ? exitFailed : 0;
}

} // namespace

int main(int argc, char** argv)
{
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc }, true, FLAMINGO_VERSION);
    flamingo::Reason reason;
    std::vector<std::string> warnings;
    auto settings = flamingo::readSettings(arguments["--settings"].asString(), reason, warnings);
    for (const std::string& warning : warnings)
        std::cerr << warning << '\n';
    if (!settings) {
        std::cerr << reason.m_text << '\n';
        return exitUsage;
    }
    if (arguments["--check"].asBool()) {
        std::cout << "settings are valid\n";
        return 0;
    }
    if (!flamingo::startLogging({ settings->m_logging.m_level, settings->m_logging.m_file }, reason)) {
        std::cerr << reason.m_text << '\n';
        return exitFailed;
    }
    if (arguments["--bootstrap"].asBool())
        settings->m_control.m_bootstrap = true;
    const int status = run(std::move(*settings));
    flamingo::stopLogging();
    return status;
}
