#pragma once

#include "base/resultcode.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace flamingo::ctl {

/** Answer of a daemon to a statement or to a command status request. */
struct Answer {
    int m_code = 0; // as received; a newer daemon may send codes that this program does not know
    std::string m_name;
    std::string m_text;
    std::uint64_t m_revision = 0;
    bool m_inForce = false;
    std::uint32_t m_holdersConfirmed = 0; // lease holders that confirmed the revision
    std::uint32_t m_holdersTotal = 0; // all lease holders
    nlohmann::ordered_json m_body; // the complete answer
};

/** Parses the body of an HTTP response; returns nothing if it holds no answer of a daemon. Thread-safe. */
std::optional<Answer> parseAnswer(const std::string& body);

/** Creates an answer for an error that this program itself detected. Thread-safe. */
Answer localAnswer(ResultCode code, const std::string& text);

/** Returns the exit status for a result code: 0, 1, 3, 4 or 5. Thread-safe. */
int exitStatus(int code);

} // namespace flamingo::ctl
