#pragma once

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>

namespace flamingo {

/** Runs actions in virtual time, those of the same time in the order in which they were added. */
class EventQueue {
public:
    MonotonicTime now() const { return m_now; }

    void at(MonotonicTime time, std::function<void()> action)
    {
        m_events.push({ time, ++m_lastEvent, std::move(action) });
    }

    /** Runs all actions, those that others add included. */
    void run()
    {
        while (!m_events.empty()) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.m_at;
            event.m_action();
        }
    }

private:
    struct Event {
        MonotonicTime m_at;
        std::uint64_t m_order;
        std::function<void()> m_action;

        friend bool operator<(const Event& a, const Event& b)
        {
            return a.m_at != b.m_at ? a.m_at > b.m_at : a.m_order > b.m_order;
        }
    };

    MonotonicTime m_now { std::chrono::hours(1) };
    std::priority_queue<Event> m_events;
    std::uint64_t m_lastEvent = 0;
};

} // namespace flamingo
