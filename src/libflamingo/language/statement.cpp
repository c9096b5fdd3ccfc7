#include "language/statement.h"

#include "base/units.h"
#include "language/lexer.h"
#include "language/statementwords.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace flamingo {

namespace {

std::string quoted(const std::string& text)
{
    std::string result = "'";
    for (const char c : text) {
        result += c;
        if (c == '\'')
            result += c;
    }
    return result + "'";
}

std::string wordOrQuoted(const std::string& text) { return detail::isWord(text) ? text : quoted(text); }

std::string formatNumber(double value)
{
    std::array<char, 400> digits; // the smallest positive double takes 326 characters
    const auto result = std::to_chars(digits.data(), digits.data() + digits.size(), value, std::chars_format::fixed);
    return { digits.data(), result.ptr };
}

std::string options(const ServicePatch& patch)
{
    std::string text;
    const auto add = [&text](const char* option, const std::string& value) {
        text += (text.empty() ? "" : ", ") + std::string(option) + " = " + value;
    };
    if (patch.m_snapshotPolicy)
        add("snapshot", *patch.m_snapshotPolicy == SnapshotPolicy::Newest ? "newest" : "fullest");
    if (patch.m_preference)
        add("prefer", *patch.m_preference == AnswerPreference::Early ? "early" : "full");
    if (patch.m_coverageFloor)
        add("floor", formatNumber(*patch.m_coverageFloor));
    if (patch.m_deadline)
        add("deadline", printDuration(*patch.m_deadline));
    if (patch.m_patience)
        add("patience", printDuration(*patch.m_patience));
    if (patch.m_extraLoadBudget)
        add("extra_load", formatNumber(*patch.m_extraLoadBudget));
    if (patch.m_connectionsPerEndpoint)
        add("connections", std::to_string(*patch.m_connectionsPerEndpoint));
    if (patch.m_slotsPerEndpoint)
        add("slots", std::to_string(*patch.m_slotsPerEndpoint));
    if (patch.m_canary)
        add("canary", *patch.m_canary ? "on" : "off");
    return text;
}

std::string serviceStatement(const char* verb, const ServiceName& serviceName, const ServicePatch& patch)
{
    const std::string list = options(patch);
    return std::string(verb) + " SERVICE " + wordOrQuoted(serviceName.value()) + (list.empty() ? "" : " WITH " + list);
}

struct Printer {
    std::string operator()(const CreateService& s) const { return serviceStatement("CREATE", s.m_service, s.m_patch); }
    std::string operator()(const AlterService& s) const
    {
        const auto& kinds = s.m_patch.m_declaredKinds;
        if (kinds.empty())
            return serviceStatement("ALTER", s.m_service, s.m_patch);
        return "DECLARE REQUEST " + wordOrQuoted(kinds.begin()->first) + " ON SERVICE "
            + wordOrQuoted(s.m_service.value())
            + (kinds.begin()->second == Idempotence::Idempotent ? " IDEMPOTENT" : " NON-IDEMPOTENT");
    }
    std::string operator()(const DropService& s) const { return "DROP SERVICE " + wordOrQuoted(s.m_service.value()); }
    std::string operator()(const DrainEndpoint& s) const { return "DRAIN ENDPOINT " + quoted(s.m_endpoint.value()); }
    std::string operator()(const RestoreEndpoint& s) const
    {
        return "RESTORE ENDPOINT " + quoted(s.m_endpoint.value());
    }
    std::string operator()(const SetEvacuation& s) const
    {
        return (s.m_evacuated ? "EVACUATE DATA CENTRE " : "RESTORE DATA CENTRE ") + quoted(s.m_dataCentre.value());
    }
    std::string operator()(const LiftQuarantine& s) const
    {
        return "LIFT QUARANTINE " + printFingerprint(s.m_fingerprint);
    }
    std::string operator()(const AddMember& s) const
    {
        return "ADD MEMBER " + quoted(s.m_vm.value()) + " AT " + quoted(s.m_address);
    }
    std::string operator()(const RemoveMember& s) const { return "REMOVE MEMBER " + quoted(s.m_member); }
    std::string operator()(const ShowStatement& s) const
    {
        return "SHOW " + detail::showSubjects[static_cast<std::size_t>(s.m_subject)]
            + (s.m_service ? " OF " + wordOrQuoted(s.m_service->value()) : "");
    }
    std::string operator()(const QueryStatement& s) const
    {
        return "QUERY " + wordOrQuoted(s.m_service.value()) + " " + quoted(s.m_body)
            + (s.m_deadline ? " DEADLINE " + printDuration(*s.m_deadline) : "")
            + (s.m_floor ? " FLOOR " + formatNumber(*s.m_floor) : "")
            + (s.m_limit ? " LIMIT " + std::to_string(*s.m_limit) : "")
            + (s.m_callerClass ? " CLASS " + wordOrQuoted(s.m_callerClass->value()) : "");
    }
    std::string operator()(const SendStatement& s) const
    {
        return "SEND " + wordOrQuoted(s.m_kind) + " TO " + wordOrQuoted(s.m_service.value()) + " ID "
            + quoted(s.m_request.value()) + " " + quoted(s.m_body)
            + (s.m_deadline ? " DEADLINE " + printDuration(*s.m_deadline) : "")
            + (s.m_callerClass ? " CLASS " + wordOrQuoted(s.m_callerClass->value()) : "");
    }
};

} // namespace

bool changesConfiguration(const Statement& statement)
{
    return !std::holds_alternative<ShowStatement>(statement) && !std::holds_alternative<QueryStatement>(statement)
        && !std::holds_alternative<SendStatement>(statement) && !std::holds_alternative<AddMember>(statement)
        && !std::holds_alternative<RemoveMember>(statement);
}

std::string printStatement(const Statement& statement) { return std::visit(Printer(), statement); }

std::string printFingerprint(Fingerprint fingerprint)
{
    std::array<char, 17> text;
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(fingerprint.value()));
    return text.data();
}

} // namespace flamingo
