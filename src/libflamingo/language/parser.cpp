#include "language/parser.h"

#include "base/nearestname.h"
#include "base/units.h"
#include "language/lexer.h"
#include "language/statementwords.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <functional>
#include <limits>
#include <map>
#include <string>
#include <utility>

namespace flamingo {

using detail::Token;
using detail::TokenKind;

namespace {

constexpr std::size_t maxNameBytes = 64;
constexpr std::size_t maxIdBytes = 128;
constexpr std::size_t maxTextBytes = 1024UL * 1024;
constexpr Milliseconds maxDuration { 3600000 };
constexpr std::uint32_t maxCount = 100000;
constexpr double maxExtraLoad = 10.0;

std::string upper(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::toupper(c); });
    return text;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::string join(const std::vector<std::string>& words)
{
    std::string text;
    for (std::size_t i = 0; i < words.size(); ++i)
        text += (i == 0 ? "" : i + 1 == words.size() ? " or " : ", ") + words[i];
    return text;
}

std::string describe(const Token& token)
{
    constexpr std::size_t maxShownBytes = 40;
    if (token.m_kind == TokenKind::End)
        return "the end";
    const std::string& text = token.m_text;
    return "'" + (text.size() > maxShownBytes ? text.substr(0, maxShownBytes) + "..." : text) + "'";
}

/** Exception internal to this file; parseStatements() catches it and passes on the reason. */
struct ParseError {
    Reason m_reason;
};

/** Recursive-descent parser. No grammar rule contains itself, so the depth of calls is bounded for any input. */
class Parser {
public:
    explicit Parser(std::vector<Token> tokens)
        : m_tokens(std::move(tokens))
    {
    }

    std::vector<Statement> run()
    {
        std::vector<Statement> statements;
        while (peek().m_kind != TokenKind::End) {
            if (takeSymbol(';'))
                continue;
            statements.push_back(statement());
            if (peek().m_kind != TokenKind::End && !takeSymbol(';'))
                fail(m_followSet);
        }
        return statements;
    }

private:
    const Token& peek() const { return m_tokens[m_position]; }

    Token take()
    {
        Token token = peek();
        if (token.m_kind != TokenKind::End)
            ++m_position;
        return token;
    }

    [[noreturn]] static void failAt(const Token& token, ResultCode code, const std::string& text)
    {
        throw ParseError { { code, detail::positionPrefix(token) + text } };
    }

    [[noreturn]] void fail(const std::vector<std::string>& expected) const
    {
        const bool isWord = peek().m_kind == TokenKind::Word;
        failAt(peek(), ResultCode::SyntaxError,
            "expected " + join(expected) + "; found " + describe(peek())
                + (isWord ? suggestion(peek().m_text, expected) : ""));
    }

    bool isKeyword(const std::string& keyword) const
    {
        return peek().m_kind == TokenKind::Word && upper(peek().m_text) == keyword;
    }

    bool takeKeyword(const std::string& keyword)
    {
        if (!isKeyword(keyword))
            return false;
        take();
        return true;
    }

    void expectKeyword(const std::string& keyword)
    {
        if (!takeKeyword(keyword))
            fail({ keyword });
    }

    bool takeSymbol(char symbol)
    {
        if (peek().m_kind != TokenKind::Symbol || peek().m_text[0] != symbol)
            return false;
        take();
        return true;
    }

    /** Takes one of the words and returns its index. */
    std::size_t takeOneOf(const std::vector<std::string>& words)
    {
        if (peek().m_kind == TokenKind::Word) {
            for (std::size_t i = 0; i < words.size(); ++i) {
                if (upper(words[i]) == upper(peek().m_text)) {
                    take();
                    return i;
                }
            }
        }
        fail(words);
    }

    /** Takes a name. Names are also used in HTTP headers and metric labels, hence the restricted characters. */
    std::string name(const std::string& what)
    {
        const Token token = peek();
        if (token.m_kind != TokenKind::Word && token.m_kind != TokenKind::Mixed && token.m_kind != TokenKind::String)
            fail({ what });
        take();
        const bool isValid = !token.m_text.empty() && token.m_text.size() <= maxNameBytes
            && std::all_of(token.m_text.begin(), token.m_text.end(),
                [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.'; });
        if (!isValid)
            failAt(token, ResultCode::InvalidField,
                what + " must have 1 to 64 letters, digits, '-', '_' or '.'; found " + describe(token));
        return token.m_text;
    }

    std::string id(const std::string& what)
    {
        const Token token = peek();
        if (token.m_kind != TokenKind::String)
            fail({ what + " in single quotes" });
        take();
        const bool isValid = !token.m_text.empty() && token.m_text.size() <= maxIdBytes
            && std::all_of(token.m_text.begin(), token.m_text.end(), [](unsigned char c) { return c > 0x20; });
        if (!isValid)
            failAt(token, ResultCode::InvalidField,
                what + " must have 1 to 128 bytes without blanks; found " + describe(token));
        return token.m_text;
    }

    std::string text(const std::string& what)
    {
        if (peek().m_kind != TokenKind::String)
            fail({ what + " in single quotes" });
        return take().m_text;
    }

    Milliseconds duration()
    {
        const std::string expected = "a duration such as 200 ms or 1.5 s";
        const Token token = peek();
        std::optional<Milliseconds> value;
        if (token.m_kind == TokenKind::Mixed) {
            value = parseDuration(lower(token.m_text));
        } else if (token.m_kind == TokenKind::Number) {
            take();
            if (peek().m_kind != TokenKind::Word)
                fail({ "ms", "s", "min", "h" });
            value = makeDuration(token.m_text, lower(peek().m_text));
            if (!value)
                fail({ "ms", "s", "min", "h" });
        }
        if (!value)
            fail({ expected });
        take();
        if (value->count() < 1 || *value > maxDuration)
            failAt(token, ResultCode::InvalidField, "a duration must be from 1 ms to 1 h");
        return *value;
    }

    double fraction(const std::string& what, double maximum)
    {
        const Token token = peek();
        if (token.m_kind != TokenKind::Number)
            fail({ what + " as a number from 0 to " + std::to_string(static_cast<int>(maximum)) });
        take();
        double value = 0;
        const char* end = token.m_text.data() + token.m_text.size();
        const auto result = std::from_chars(token.m_text.data(), end, value);
        if (result.ec != std::errc() || result.ptr != end || !(value >= 0 && value <= maximum))
            failAt(token, ResultCode::InvalidField,
                what + " must be from 0 to " + std::to_string(static_cast<int>(maximum)) + "; found "
                    + describe(token));
        return value;
    }

    std::uint32_t count(const std::string& what)
    {
        const Token token = peek();
        if (token.m_kind != TokenKind::Number)
            fail({ what + " as a whole number" });
        take();
        std::uint32_t value = 0;
        const char* end = token.m_text.data() + token.m_text.size();
        const auto result = std::from_chars(token.m_text.data(), end, value);
        if (result.ec != std::errc() || result.ptr != end || value < 1 || value > maxCount)
            failAt(token, ResultCode::InvalidField,
                what + " must be a whole number from 1 to " + std::to_string(maxCount) + "; found " + describe(token));
        return value;
    }

    Statement statement()
    {
        m_followSet = { "';'", "the end" };
        switch (takeOneOf(detail::statementVerbs)) {
        case 0:
            return serviceStatement<CreateService>();
        case 1:
            return serviceStatement<AlterService>();
        case 2:
            expectKeyword("SERVICE");
            return DropService { ServiceName(name("a service name")) };
        case 3:
            return declare();
        case 4:
            expectKeyword("ENDPOINT");
            return DrainEndpoint { EndpointId(id("an endpoint id")) };
        case 5:
            return restore();
        case 6:
            expectKeyword("QUARANTINE");
            return LiftQuarantine { fingerprint() };
        case 7: {
            expectKeyword("MEMBER");
            VmId vm(id("a VM id"));
            expectKeyword("AT");
            return AddMember { std::move(vm), id("an address such as '10.0.0.1:8401'") };
        }
        case 8:
            expectKeyword("MEMBER");
            return RemoveMember { id("a member id") };
        case 9:
            return show();
        case 10:
            return query();
        case 11:
            return send();
        default:
            expectKeyword("DATA");
            return evacuation(true);
        }
    }

    Statement restore()
    {
        if (takeOneOf({ "ENDPOINT", "DATA" }) == 0)
            return RestoreEndpoint { EndpointId(id("an endpoint id")) };
        return evacuation(false);
    }

    Statement evacuation(bool evacuated)
    {
        expectKeyword("CENTRE");
        return SetEvacuation { DataCentreName(id("a data centre")), evacuated };
    }

    template <typename Body> Statement serviceStatement()
    {
        expectKeyword("SERVICE");
        Body body;
        body.m_service = ServiceName(name("a service name"));
        if (!takeKeyword("WITH")) {
            if (std::is_same_v<Body, AlterService>)
                fail({ "WITH" });
            m_followSet = { "WITH", "';'", "the end" };
            return body;
        }
        do
            option(body.m_patch);
        while (takeSymbol(','));
        m_followSet = { "','", "';'", "the end" };
        return body;
    }

    void option(ServicePatch& patch)
    {
        const Token token = peek();
        const std::size_t index = takeOneOf(detail::serviceOptions);
        if (!takeSymbol('='))
            fail({ "'='" });
        const auto set = [&token](auto& field, auto value) {
            if (field)
                failAt(token, ResultCode::SyntaxError, "option '" + lower(token.m_text) + "' is given twice");
            field = value;
        };
        switch (index) {
        case 0:
            set(patch.m_snapshotPolicy,
                takeOneOf({ "newest", "fullest" }) == 0 ? SnapshotPolicy::Newest : SnapshotPolicy::Fullest);
            break;
        case 1:
            set(patch.m_preference,
                takeOneOf({ "early", "full" }) == 0 ? AnswerPreference::Early : AnswerPreference::Full);
            break;
        case 2:
            set(patch.m_coverageFloor, fraction("the floor", 1.0));
            break;
        case 3:
            set(patch.m_deadline, duration());
            break;
        case 4:
            set(patch.m_patience, duration());
            break;
        case 5:
            set(patch.m_extraLoadBudget, fraction("the extra load", maxExtraLoad));
            break;
        case 6:
            set(patch.m_connectionsPerEndpoint, count("the number of connections"));
            break;
        case 7:
            set(patch.m_slotsPerEndpoint, count("the number of slots"));
            break;
        default:
            set(patch.m_canary, takeOneOf({ "on", "off" }) == 0);
        }
    }

    Statement declare()
    {
        expectKeyword("REQUEST");
        const Token token = peek();
        const std::string kind = name("a request kind");
        if (kind == "query")
            failAt(token, ResultCode::InvalidField, "the kind 'query' is always idempotent and is not declared");
        expectKeyword("ON");
        expectKeyword("SERVICE");
        AlterService body;
        body.m_service = ServiceName(name("a service name"));
        body.m_patch.m_declaredKinds[kind]
            = takeOneOf({ "IDEMPOTENT", "NON-IDEMPOTENT" }) == 0 ? Idempotence::Idempotent : Idempotence::NonIdempotent;
        return body;
    }

    Fingerprint fingerprint()
    {
        const Token token = peek();
        const std::string expected = "the quarantine's id of 1 to 16 hexadecimal digits";
        if (token.m_kind == TokenKind::Symbol || token.m_kind == TokenKind::End)
            fail({ expected });
        std::uint64_t value = 0;
        const char* end = token.m_text.data() + token.m_text.size();
        constexpr int hexadecimal = 16;
        const auto result = std::from_chars(token.m_text.data(), end, value, hexadecimal);
        if (result.ec != std::errc() || result.ptr != end || token.m_text[0] == '-')
            fail({ expected });
        take();
        return Fingerprint(value);
    }

    Statement show()
    {
        ShowStatement body;
        body.m_subject = static_cast<ShowSubject>(takeOneOf(detail::showSubjects));
        const bool hasService = body.m_subject == ShowSubject::Endpoints || body.m_subject == ShowSubject::Claims;
        if (hasService && takeKeyword("OF"))
            body.m_service = ServiceName(name("a service name"));
        else if (hasService)
            m_followSet = { "OF", "';'", "the end" };
        return body;
    }

    Statement query()
    {
        QueryStatement body;
        body.m_service = ServiceName(name("a service name"));
        body.m_body = text("the query");
        clauses({ { "DEADLINE", [&] { body.m_deadline = duration(); } },
            { "FLOOR", [&] { body.m_floor = fraction("the floor", 1.0); } },
            { "LIMIT", [&] { body.m_limit = count("the limit"); } },
            { "CLASS", [&] { body.m_callerClass = CallerClass(name("a caller class")); } } });
        return body;
    }

    Statement send()
    {
        SendStatement body;
        body.m_kind = name("a request kind");
        expectKeyword("TO");
        body.m_service = ServiceName(name("a service name"));
        expectKeyword("ID");
        body.m_request = RequestId(id("the request id"));
        body.m_body = text("the body");
        clauses({ { "DEADLINE", [&] { body.m_deadline = duration(); } },
            { "CLASS", [&] { body.m_callerClass = CallerClass(name("a caller class")); } } });
        return body;
    }

    /** Takes optional clauses in any order, each at most once. */
    void clauses(std::vector<std::pair<std::string, std::function<void()>>> known)
    {
        bool found = true;
        while (found) {
            found = false;
            for (auto clause = known.begin(); clause != known.end(); ++clause) {
                if (!takeKeyword(clause->first))
                    continue;
                clause->second();
                known.erase(clause);
                found = true;
                break;
            }
        }
        m_followSet.clear();
        for (const auto& clause : known)
            m_followSet.push_back(clause.first);
        m_followSet.insert(m_followSet.end(), { "';'", "the end" });
    }

    std::vector<Token> m_tokens;
    std::size_t m_position = 0;
    std::vector<std::string> m_followSet; // descriptions of what may follow the current statement, for errors
};

} // namespace

std::optional<std::vector<Statement>> parseStatements(std::string_view text, Reason& reason)
{
    if (text.size() > maxTextBytes) {
        reason = { ResultCode::BodyTooLarge, "the text of the statements is longer than the allowed 1 MiB" };
        return std::nullopt;
    }
    auto tokens = detail::tokenize(text, reason);
    if (!tokens)
        return std::nullopt;
    try {
        return Parser(std::move(*tokens)).run();
    } catch (ParseError& error) {
        reason = std::move(error.m_reason);
        return std::nullopt;
    }
}

std::optional<Statement> parseStatement(std::string_view text, Reason& reason)
{
    auto statements = parseStatements(text, reason);
    if (!statements)
        return std::nullopt;
    if (statements->size() != 1) {
        reason = { ResultCode::SyntaxError,
            "line 1, column 1: expected one statement; found " + std::to_string(statements->size()) };
        return std::nullopt;
    }
    return std::move(statements->front());
}

} // namespace flamingo
