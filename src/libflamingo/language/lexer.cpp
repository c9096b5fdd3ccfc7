#include "language/lexer.h"

#include <algorithm>

namespace flamingo::detail {

namespace {

bool isDigit(char c) { return c >= '0' && c <= '9'; }
bool isLetter(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_'; }

/** Returns the length in bytes of the UTF-8 character at the start of the text; 0 if it is invalid. */
std::size_t utf8Length(std::string_view text)
{
    const auto byte = [&text](std::size_t i) { return static_cast<unsigned char>(text[i]); };
    const unsigned char first = byte(0);
    if (first < 0x80)
        return 1;
    const std::size_t length = first >= 0xF0 ? 4 : first >= 0xE0 ? 3 : 2;
    if (first < 0xC2 || first > 0xF4 || text.size() < length)
        return 0;
    for (std::size_t i = 1; i < length; ++i) {
        if ((byte(i) & 0xC0U) != 0x80)
            return 0;
    }
    // Rejects overlong forms, surrogates and values beyond U+10FFFF.
    const unsigned char second = byte(1);
    if ((first == 0xE0 && second < 0xA0) || (first == 0xED && second > 0x9F) || (first == 0xF0 && second < 0x90)
        || (first == 0xF4 && second > 0x8F))
        return 0;
    return length;
}

class Lexer {
public:
    Lexer(std::string_view text, Reason& reason)
        : m_text(text)
        , m_reason(reason)
    {
    }

    std::optional<std::vector<Token>> run()
    {
        std::vector<Token> tokens;
        while (skipBlanks()) {
            Token token;
            token.m_line = m_line;
            token.m_column = m_column;
            if (!readToken(token))
                return std::nullopt;
            tokens.push_back(std::move(token));
        }
        if (m_failed)
            return std::nullopt;
        Token end;
        end.m_line = m_line;
        end.m_column = m_column;
        tokens.push_back(std::move(end));
        return tokens;
    }

private:
    bool atEnd() const { return m_position >= m_text.size(); }
    char peek(std::size_t ahead = 0) const
    {
        return m_position + ahead < m_text.size() ? m_text[m_position + ahead] : '\0';
    }

    bool fail(ResultCode code, const std::string& text)
    {
        Token here;
        here.m_line = m_line;
        here.m_column = m_column;
        m_reason = { code, positionPrefix(here) + text };
        m_failed = true;
        return false;
    }

    /** Consumes one character; returns false and sets the reason if it is invalid. */
    bool advance()
    {
        const std::size_t bytes = utf8Length(m_text.substr(m_position));
        if (bytes == 0)
            return fail(ResultCode::InvalidUtf8, "invalid UTF-8");
        const char c = peek();
        const bool isControl = static_cast<unsigned char>(c) < 0x20 && c != '\n' && c != '\t' && c != '\r';
        if (isControl || c == 0x7f)
            return fail(ResultCode::SyntaxError, "control character that is not allowed");
        m_position += bytes;
        if (c == '\n') {
            ++m_line;
            m_column = 1;
        } else {
            ++m_column;
        }
        return true;
    }

    /** Skips white space and comments; returns false at the end of the text or on an error. */
    bool skipBlanks()
    {
        while (!atEnd()) {
            const char c = peek();
            if (c == '-' && peek(1) == '-') {
                while (!atEnd() && peek() != '\n') {
                    if (!advance())
                        return false;
                }
            } else if (c == ' ' || c == '\t' || c == '\n' || c == '\r') {
                advance();
            } else {
                return true;
            }
        }
        return false;
    }

    bool readToken(Token& token)
    {
        const char c = peek();
        if (c == '\'')
            return readString(token);
        if (c == '=' || c == ',' || c == ';') {
            token.m_kind = TokenKind::Symbol;
            token.m_text = c;
            return advance();
        }
        if (isDigit(c) || isLetter(c)) {
            readWord(token);
            return true;
        }
        if (utf8Length(m_text.substr(m_position)) == 0)
            return fail(ResultCode::InvalidUtf8, "invalid UTF-8");
        return fail(ResultCode::SyntaxError,
            "expected a word, a number, a text in single quotes, '=', ',' or ';'; found '"
                + std::string(m_text.substr(m_position, utf8Length(m_text.substr(m_position)))) + "'");
    }

    void readWord(Token& token)
    {
        const std::size_t start = m_position;
        const auto continues = [this] {
            const char c = peek();
            if (isDigit(c) || isLetter(c))
                return true;
            // A hyphen or dot belongs to the word only inside it, so that "a--b" starts a comment.
            return (c == '-' || c == '.') && (isDigit(peek(1)) || isLetter(peek(1)));
        };
        while (continues())
            advance();
        token.m_text = std::string(m_text.substr(start, m_position - start));
        const auto dots = std::count(token.m_text.begin(), token.m_text.end(), '.');
        const bool isNumber = token.m_text.find_first_not_of("0123456789.") == std::string::npos && dots <= 1;
        token.m_kind = isLetter(token.m_text[0]) ? TokenKind::Word : isNumber ? TokenKind::Number : TokenKind::Mixed;
    }

    bool readString(Token& token)
    {
        token.m_kind = TokenKind::String;
        advance();
        while (true) {
            if (atEnd()) {
                m_reason = { ResultCode::SyntaxError,
                    positionPrefix(token) + "the text that starts here has no closing quote; expected '" };
                m_failed = true;
                return false;
            }
            if (peek() == '\'') {
                advance();
                if (peek() != '\'')
                    return true;
            }
            const std::size_t start = m_position;
            if (!advance())
                return false;
            token.m_text += m_text.substr(start, m_position - start);
        }
    }

    std::string_view m_text;
    Reason& m_reason;
    std::size_t m_position = 0;
    std::size_t m_line = 1;
    std::size_t m_column = 1;
    bool m_failed = false;
};

} // namespace

std::optional<std::vector<Token>> tokenize(std::string_view text, Reason& reason) { return Lexer(text, reason).run(); }

bool isWord(std::string_view text)
{
    Reason reason;
    if (text.empty() || !isLetter(text[0]) || text.find_first_of(" \t\r\n;") != std::string_view::npos)
        return false;
    const auto tokens = tokenize(text, reason);
    return tokens && tokens->size() == 2 && tokens->front().m_kind == TokenKind::Word && tokens->front().m_text == text;
}

std::string positionPrefix(const Token& token)
{
    return "line " + std::to_string(token.m_line) + ", column " + std::to_string(token.m_column) + ": ";
}

} // namespace flamingo::detail
