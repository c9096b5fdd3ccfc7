#include "answer.h"

namespace flamingo::ctl {

using Json = nlohmann::ordered_json;

std::optional<Answer> parseAnswer(const std::string& body)
{
    Answer answer;
    answer.m_body = Json::parse(body, nullptr, false);
    const Json& json = answer.m_body;
    if (!json.is_object() || !json.contains("code") || !json["code"].is_number_integer())
        return std::nullopt;
    try {
        answer.m_code = json["code"].get<int>();
        answer.m_name = json.value("name", "");
        answer.m_text = json.value("text", "");
        answer.m_revision = json.value("revision", std::uint64_t(0));
        answer.m_inForce = json.value("in_force", false);
        const Json holders = json.value("holders", Json::object());
        answer.m_holdersConfirmed = holders.value("confirmed", 0U);
        answer.m_holdersTotal = holders.value("total", 0U);
    } catch (const Json::exception&) {
        return std::nullopt;
    }
    return answer;
}

Answer localAnswer(ResultCode code, const std::string& text)
{
    Answer answer;
    answer.m_code = static_cast<int>(code);
    answer.m_name = resultCodeName(code);
    answer.m_text = text;
    answer.m_body = { { "code", answer.m_code }, { "name", answer.m_name }, { "text", answer.m_text } };
    return answer;
}

int exitStatus(int code)
{
    switch (resultClass(static_cast<ResultCode>(code))) {
    case ResultClass::Success:
        return 0;
    case ResultClass::Failed:
        return 1;
    case ResultClass::NotRun:
        return 3;
    case ResultClass::UnknownOutcome:
        return 4;
    case ResultClass::BadInput:
        return 5;
    }
    return 1;
}

} // namespace flamingo::ctl
