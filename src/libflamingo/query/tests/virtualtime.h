#pragma once

#include "base/time.h"

#include <functional>
#include <queue>
#include <vector>

namespace flamingo::testing {

/** Virtual clock that runs scheduled actions in order of time. Actions at the same time run in order of scheduling. */
class VirtualTime {
public:
    MonotonicTime now() const { return m_now; }

    void at(MonotonicTime time, std::function<void()> action)
    {
        m_queue.push({ std::max(time, m_now), m_sequence++, std::move(action) });
    }

    void after(Microseconds delay, std::function<void()> action) { at(m_now + delay, std::move(action)); }

    /** Runs the next action and returns true, or returns false if there is none or it is due after `until`. */
    bool runNext(MonotonicTime until = MonotonicTime::max())
    {
        if (m_queue.empty() || m_queue.top().m_time > until)
            return false;
        Entry next = std::move(const_cast<Entry&>(m_queue.top()));
        m_queue.pop();
        m_now = next.m_time;
        next.m_action();
        return true;
    }

private:
    struct Entry {
        MonotonicTime m_time;
        std::uint64_t m_sequence;
        std::function<void()> m_action;

        bool operator<(const Entry& other) const
        {
            return m_time != other.m_time ? m_time > other.m_time : m_sequence > other.m_sequence;
        }
    };
    MonotonicTime m_now = MonotonicTime {} + std::chrono::hours(1);
    std::uint64_t m_sequence = 0;
    std::priority_queue<Entry> m_queue;
};

} // namespace flamingo::testing
