#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace flamingo::ctl {

/**
 * Returns a JSON array of objects as a table with a head line. Thread-safe.
 *
 * Columns stand in the order in which they first appear. Control characters are replaced, so that
 * data cannot act on the terminal.
 */
std::string printTable(const nlohmann::ordered_json& rows);

/** Returns an answer for people: rows as a table, the other fields one a line. Thread-safe. */
std::string printAnswer(const nlohmann::ordered_json& answer);

} // namespace flamingo::ctl
