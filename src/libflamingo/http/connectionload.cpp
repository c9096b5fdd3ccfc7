#include "http/connectionload.h"

namespace flamingo {

namespace {

using WaitsFor = ConnectionLoad::WaitsFor;

// Closing a connection that holds less frees nothing worth mentioning.
constexpr std::uint64_t minFreedBytes = 8192;
// A caller with a slow network sends a request or takes an answer of the usual size within this time.
constexpr Milliseconds minWaitForCaller { 1000 };

bool waitsForCaller(const ConnectionLoad& connection)
{
    return connection.m_waitsFor == WaitsFor::RestOfRequest || connection.m_waitsFor == WaitsFor::Reader;
}

/** Returns the position of the best of the connections that fulfil the condition. */
template <typename Condition, typename Better>
std::optional<std::size_t> choose(
    const std::vector<ConnectionLoad>& connections, const Condition& condition, const Better& isBetter)
{
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < connections.size(); ++index) {
        if (condition(connections[index]) && (!best || isBetter(connections[index], connections[*best])))
            best = index;
    }
    return best;
}

bool waitsLonger(const ConnectionLoad& a, const ConnectionLoad& b) { return a.m_since < b.m_since; }

bool holdsMore(const ConnectionLoad& a, const ConnectionLoad& b) { return a.m_heldBytes > b.m_heldBytes; }

} // namespace

std::optional<std::size_t> connectionToFreeMemory(const std::vector<ConnectionLoad>& connections)
{
    const auto isLarge = [](const ConnectionLoad& connection) { return connection.m_heldBytes >= minFreedBytes; };
    const auto isSlow
        = [&isLarge](const ConnectionLoad& connection) { return isLarge(connection) && waitsForCaller(connection); };
    const auto slowest = choose(connections, isSlow, waitsLonger);
    return slowest ? slowest : choose(connections, isLarge, holdsMore);
}

std::optional<std::size_t> connectionToMakeRoom(const std::vector<ConnectionLoad>& connections, MonotonicTime now)
{
    const auto isIdle = [](const ConnectionLoad& connection) { return connection.m_waitsFor == WaitsFor::NextRequest; };
    const auto isSlow = [now](const ConnectionLoad& connection) {
        return waitsForCaller(connection) && now - connection.m_since >= minWaitForCaller;
    };
    const auto idlest = choose(connections, isIdle, waitsLonger);
    return idlest ? idlest : choose(connections, isSlow, waitsLonger);
}

} // namespace flamingo
