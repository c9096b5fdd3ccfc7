#pragma once

#include "answer.h"
#include "base/time.h"
#include "language/statement.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace flamingo::ctl {

/** Options for running statements. */
struct RunOptions {
    std::vector<std::string> m_servers; // in the order in which they are tried
    std::optional<std::string> m_commandId; // generated if absent
    std::optional<std::uint64_t> m_expectedVersion;
    bool m_wait = true; // whether to wait until a change is in force
    Milliseconds m_timeout { 30000 }; // limit for each statement
};

/** Sends statements to the daemons, one after another. Not thread-safe. */
class StatementRunner {
public:
    /** The options must name at least one server. */
    explicit StatementRunner(RunOptions options);

    /**
     * Runs one statement and returns its final answer. Blocks, at most for the timeout.
     *
     * The next server is tried if nothing was sent or run, or if a resend is safe: a change has a command id, and lists
     * and queries change nothing. A SEND that may have run is never sent a second time.
     */
    Answer run(const Statement& statement);

private:
    std::optional<Answer> tryServer(
        const std::string& server, const Statement& statement, const std::string& body, MonotonicTime deadline);
    Answer waitInForce(Answer answer, MonotonicTime deadline);
    std::string requestBody(const Statement& statement) const;

    RunOptions m_options;
    std::size_t m_currentServer = 0; // index of the server that answered last, which is tried first
    bool m_mayHaveRun = false; // an attempt at the current statement ended with an unknown outcome
    std::string m_lastError;
};

/** Returns a new unique command id. Thread-safe. */
std::string generateCommandId();

} // namespace flamingo::ctl
