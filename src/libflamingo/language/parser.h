#pragma once

#include "base/reason.h"
#include "language/statement.h"

#include <optional>
#include <string_view>
#include <vector>

namespace flamingo {

/**
 * Returns the statements of the text, separated by semicolons; empty ones are skipped. Thread-safe.
 *
 * On failure returns nothing and sets the reason: SyntaxError, InvalidField or InvalidUtf8, with line
 * and column, what was expected and what was found. No statement of a text that fails may be run.
 */
std::optional<std::vector<Statement>> parseStatements(std::string_view text, Reason& reason);

/** Returns the single statement of the text; otherwise as parseStatements. Thread-safe. */
std::optional<Statement> parseStatement(std::string_view text, Reason& reason);

} // namespace flamingo
