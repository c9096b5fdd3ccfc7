#pragma once

#include "base/time.h"

#include <string>

namespace flamingo::ctl {

/** How far an exchange with a daemon got. */
enum class ExchangeOutcome {
    NotSent, // certainly no byte of the request was sent
    NoAnswer, // sent, at least in part, and no complete answer arrived
    Answered,
};

/** Outcome and response of an exchange. */
struct ExchangeResult {
    ExchangeOutcome m_outcome = ExchangeOutcome::NotSent;
    unsigned m_status = 0; // HTTP status
    std::string m_body;
    std::string m_text; // error message for people
};

/**
 * Sends one HTTP request on a new connection. Blocks until the answer arrives or the deadline passes. Thread-safe.
 *
 * The server is "address:port", where the address may be a host name. The request is sent at most once.
 */
ExchangeResult exchange(const std::string& server, const std::string& method, const std::string& target,
    const std::string& body, MonotonicTime deadline);

} // namespace flamingo::ctl
