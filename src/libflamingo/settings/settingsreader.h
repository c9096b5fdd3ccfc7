#pragma once

#include "base/reason.h"
#include "settings/settings.h"

#include <optional>
#include <string>
#include <vector>

namespace flamingo {

/**
 * Reads the settings from YAML text. Thread-safe.
 *
 * On failure returns nothing and sets the reason to InvalidSettings with all errors, one per line, each
 * with the file name, line, key, what was found and what is allowed. Appends any warnings to the given list.
 */
std::optional<Settings> parseSettings(
    const std::string& text, const std::string& fileName, Reason& reason, std::vector<std::string>& warnings);

/** Reads the settings from a file in the same way as parseSettings(). Thread-safe. */
std::optional<Settings> readSettings(const std::string& fileName, Reason& reason, std::vector<std::string>& warnings);

} // namespace flamingo
