#pragma once

#include <cstddef>
#include <string>

namespace flamingo::detail {

enum class TokenKind {
    Word, // letters, digits, '_', '-' and '.'; starts with a letter or '_'
    Number, // digits with an optional fractional part
    Mixed, // starts with a digit, but is not a number: "200ms", "9f3c"
    String, // text in single quotes; m_text is without the quotes
    Symbol, // '=', ',' or ';'
    End, // end of the text
};

/** Lexical token of the query and command language. */
struct Token {
    TokenKind m_kind = TokenKind::End;
    std::string m_text;
    std::size_t m_line = 1; // line of the first character, counted from 1
    std::size_t m_column = 1; // column of the first character, counted in characters from 1
};

} // namespace flamingo::detail
