#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace flamingo::test {

/** Result of one HTTP call. */
struct HttpReply {
    bool m_connected = false; // if false, the server cannot have received the call
    unsigned m_status = 0; // HTTP status; 0 if no complete answer arrived
    nlohmann::json m_body;

    /** Returns the result code in the answer, or -1 if there is none. */
    int code() const { return m_body.is_object() ? m_body.value("code", -1) : -1; }
};

/** Sends one HTTP call on a new connection and waits for the answer, at most until the limit. Thread-safe. */
HttpReply httpCall(const std::string& address, std::uint16_t port, const std::string& method, const std::string& target,
    const std::string& body = {}, std::chrono::milliseconds limit = std::chrono::seconds(30));

} // namespace flamingo::test
