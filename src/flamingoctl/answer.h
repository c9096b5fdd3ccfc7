#pragma once

#include "base/resultcode.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace flamingo::ctl {

/** Answer of a daemon to a statement, or to the question whether a command is in force. */
struct Answer {
    int m_code = 0; // as answered; a newer daemon may know codes that this program does not
    std::string m_name;
    std::string m_text;
    std::uint64_t m_revision = 0;
    bool m_inForce = false;
    std::uint32_t m_holdersConfirmed = 0;
    std::uint32_t m_holdersTotal = 0;
    nlohmann::ordered_json m_body; // the whole answer
};

/** Returns the answer in the body of an HTTP answer, or nothing if it is none. Thread-safe. */
std::optional<Answer> parseAnswer(const std::string& body);

/** Returns an answer made by this program for a failure to get one. Thread-safe. */
Answer localAnswer(ResultCode code, const std::string& text);

/** Returns the exit status for a result code: 0, 1, 3, 4 or 5. Thread-safe. */
int exitStatus(int code);

} // namespace flamingo::ctl
