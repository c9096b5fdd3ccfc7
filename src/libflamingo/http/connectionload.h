#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace flamingo {

/** What a connection of a caller holds, and whom it waits for. */
struct ConnectionLoad {
    enum class WaitsFor {
        NextRequest, // idle: the caller has sent nothing of it
        RestOfRequest, // from the caller
        Answer, // from this process
        Reader, // the caller has not taken the whole answer
    };

    WaitsFor m_waitsFor = WaitsFor::NextRequest;
    MonotonicTime m_since; // when it began to wait for that
    std::uint64_t m_heldBytes = 0;
};

/**
 * Returns the position of the connection to close when too much memory is held, or nothing if closing one would free
 * nothing worth mentioning. Thread-safe.
 *
 * Those that wait for their callers come first, and of these the one that has waited longest: a caller that reads as
 * fast as its network allows is done long before. Otherwise the one that holds most is closed. Handles a crowd of
 * callers that read long answers slowly or hold back the end of their requests.
 */
std::optional<std::size_t> connectionToFreeMemory(const std::vector<ConnectionLoad>& connections);

/**
 * Returns the position of the connection to close so that a new one can be accepted, or nothing if none may be closed.
 * Thread-safe.
 *
 * The one that has been idle longest comes first, then the one that has waited longest for its caller, if it has waited
 * for some time. Handles a crowd of idle connections.
 */
std::optional<std::size_t> connectionToMakeRoom(const std::vector<ConnectionLoad>& connections, MonotonicTime now);

} // namespace flamingo
