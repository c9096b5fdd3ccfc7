#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace flamingo::test {

/** What came back for one HTTP call. */
struct HttpReply {
    bool m_connected = false; // otherwise the server cannot have seen the call
    unsigned m_status = 0; // 0 when no whole answer came
    nlohmann::json m_body;

    /** Returns the result code of the answer, or -1 without one. */
    int code() const { return m_body.is_object() ? m_body.value("code", -1) : -1; }
};

/** Sends one HTTP call on a connection of its own and waits for the answer up to the limit. Thread-safe. */
HttpReply httpCall(const std::string& address, std::uint16_t port, const std::string& method, const std::string& target,
    const std::string& body = {}, std::chrono::milliseconds limit = std::chrono::seconds(30));

} // namespace flamingo::test
