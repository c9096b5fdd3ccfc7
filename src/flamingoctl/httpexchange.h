#pragma once

#include "base/time.h"

#include <string>

namespace flamingo::ctl {

/** How far an exchange with a daemon got. */
enum class ExchangeOutcome {
    NotSent, // provably no byte of the request left
    NoAnswer, // sent, at least in part, and no whole answer came
    Answered,
};

struct ExchangeResult {
    ExchangeOutcome m_outcome = ExchangeOutcome::NotSent;
    unsigned m_status = 0;
    std::string m_body;
    std::string m_text; // error for people
};

/**
 * Makes one HTTP request on a new connection. Blocks until the answer or the deadline. Thread-safe.
 *
 * The server is "address:port"; the address may be a name. Nothing is sent twice.
 */
ExchangeResult exchange(const std::string& server, const std::string& method, const std::string& target,
    const std::string& body, MonotonicTime deadline);

} // namespace flamingo::ctl
