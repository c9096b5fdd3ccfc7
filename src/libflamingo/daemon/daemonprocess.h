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
 * The settings are read again on SIGHUP and when the settings file has changed; only settings that may change while the
 * daemon runs are applied. To be called once, from the main thread, before other threads start.
 */
int runDaemonProcess(const std::string& settingsFile, bool bootstrap, DaemonProtocols protocols);

/** Checks the settings file, prints errors and warnings, and returns the exit status of the process. */
int checkSettingsFile(const std::string& settingsFile);

} // namespace flamingo
