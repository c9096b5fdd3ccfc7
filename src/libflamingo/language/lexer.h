#pragma once

#include "base/reason.h"
#include "language/token.h"

#include <optional>
#include <string_view>
#include <vector>

namespace flamingo::detail {

/**
 * Returns the tokens of the text, ending with one of kind End. Thread-safe.
 *
 * On failure returns nothing and sets the reason to SyntaxError or InvalidUtf8.
 */
std::optional<std::vector<Token>> tokenize(std::string_view text, Reason& reason);

/** Returns whether the whole text is one token of kind Word. Thread-safe. */
bool isWord(std::string_view text);

/** Returns the position of the token as "line L, column C: ", the start of an error message. Thread-safe. */
std::string positionPrefix(const Token& token);

} // namespace flamingo::detail
