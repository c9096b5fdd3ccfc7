#pragma once

#include "daemon/daemonprotocols.h"
#include "settings/settings.h"

#include <functional>
#include <optional>
#include <string>

namespace flamingo {

/**
 * Runs a daemon until SIGTERM or SIGINT, or until it cannot go on, and returns the exit status of the process.
 *
 * On SIGHUP, and when the settings file has changed without a signal, the settings are read again; what may change
 * while the daemon runs is taken over. To be called once, from the main thread, before other threads start.
 */
int runDaemonProcess(const std::string& settingsFile, bool bootstrap, DaemonProtocols protocols);

/** Checks the settings file, prints what it finds, and returns the exit status. */
int checkSettingsFile(const std::string& settingsFile);

} // namespace flamingo
