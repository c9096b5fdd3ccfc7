#pragma once

#include <cstddef>
#include <string>

namespace flamingo::detail {

enum class TokenKind {
    Word, // letters, digits, '_', '-', '.'; begins with a letter or '_'
    Number, // digits with an optional fraction
    Mixed, // begins with a digit and holds letters: "200ms", "9f3c"
    String, // in single quotes; the text is without them
    Symbol, // '=', ',' or ';'
    End,
};

/** Smallest unit of a statement's text. */
struct Token {
    TokenKind m_kind = TokenKind::End;
    std::string m_text;
    std::size_t m_line = 1;
    std::size_t m_column = 1; // in characters, from 1
};

} // namespace flamingo::detail
