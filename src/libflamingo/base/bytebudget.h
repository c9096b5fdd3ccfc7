#pragma once

#include <cstdint>
#include <functional>

namespace flamingo {

/**
 * Counts the bytes that a process holds for its peers against a limit.
 *
 * Holders count what they hold by HeldBytes. Not thread-safe; a budget and its holders belong to one event loop.
 */
class ByteBudget {
public:
    explicit ByteBudget(std::uint64_t limit)
        : m_limit(limit)
    {
    }
    ByteBudget(const ByteBudget&) = delete;
    ByteBudget& operator=(const ByteBudget&) = delete;

    std::uint64_t limit() const { return m_limit; }
    std::uint64_t held() const { return m_held; }
    bool isExceeded() const { return m_held > m_limit; }

    /**
     * Sets the function that is called whenever more is held while the limit is exceeded.
     *
     * It is called from within the holder, so it must only arrange for memory to be reclaimed later.
     */
    void onExceeded(std::function<void()> handler) { m_onExceeded = std::move(handler); }

private:
    friend class HeldBytes;

    void add(std::uint64_t bytes)
    {
        m_held += bytes;
        if (isExceeded() && m_onExceeded)
            m_onExceeded();
    }
    void subtract(std::uint64_t bytes) { m_held -= bytes; }

    std::uint64_t m_limit;
    std::uint64_t m_held = 0;
    std::function<void()> m_onExceeded;
};

} // namespace flamingo
