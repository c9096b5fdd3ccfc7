#pragma once

#include "base/reason.h"
#include "language/token.h"

#include <optional>
#include <string_view>
#include <vector>

namespace flamingo::detail {

/** Returns the tokens of the text, ended by one of kind End, or nothing and a reason. Thread-safe. */
std::optional<std::vector<Token>> splitTokens(std::string_view text, Reason& reason);

/** Returns whether the whole text is one token of kind Word. Thread-safe. */
bool isWord(std::string_view text);

/** Returns "line L, column C: " for the start of an error. Thread-safe. */
std::string position(const Token& token);

} // namespace flamingo::detail
