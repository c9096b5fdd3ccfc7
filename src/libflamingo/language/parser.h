#pragma once

#include "base/reason.h"
#include "language/statement.h"

#include <optional>
#include <string_view>
#include <vector>

namespace flamingo {

/**
 * Parses statements that are separated by semicolons; empty ones are skipped. Thread-safe.
 *
 * On failure returns nothing and sets the reason: SyntaxError, InvalidField or InvalidUtf8, with line
 * and column, what was expected and what was found; or BodyTooLarge. If the text is invalid, none of its
 * statements may be executed.
 */
std::optional<std::vector<Statement>> parseStatements(std::string_view text, Reason& reason);

/** Parses a text that must hold exactly one statement; fails as parseStatements() does. Thread-safe. */
std::optional<Statement> parseStatement(std::string_view text, Reason& reason);

} // namespace flamingo
