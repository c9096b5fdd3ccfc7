#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace flamingo::ctl {

/**
 * Formats a JSON array of objects as a table with a header line. Thread-safe.
 *
 * The columns are in the order in which they first appear. Control characters are replaced, so that data cannot control
 * the terminal.
 */
std::string printTable(const nlohmann::ordered_json& rows);

/** Formats an answer for people: the rows as a table, and one line for each other field. Thread-safe. */
std::string printAnswer(const nlohmann::ordered_json& answer);

} // namespace flamingo::ctl
