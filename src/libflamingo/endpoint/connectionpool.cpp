#include "endpoint/connectionpool.h"

#include <algorithm>

namespace flamingo::detail {

namespace {

// A connection that connected or answered within this time is assumed to work.
constexpr Milliseconds recentActivityPeriod { 3000 };

} // namespace

HttpConnection* findIdle(const ConnectionPool& pool, bool recentlyActive)
{
    if (pool.m_idle.empty())
        return nullptr;
    HttpConnection* newest = pool.m_idle.back();
    if (recentlyActive && monotonicNow() - newest->ownerData().m_lastActiveAt > recentActivityPeriod)
        return nullptr;
    return newest;
}

void removeIdle(ConnectionPool& pool, const HttpConnection& connection)
{
    pool.m_idle.erase(std::remove(pool.m_idle.begin(), pool.m_idle.end(), &connection), pool.m_idle.end());
}

} // namespace flamingo::detail
