#pragma once

#include "base/monotonictimer.h"

#include "load/measurement.h"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace flamingo::bench {

using QuerySender = std::function<void(std::size_t index)>;

/** Calls the sender at each planned time, whether or not earlier queries have been answered. */
class OpenLoop {
public:
    OpenLoop(boost::asio::io_context& context, const std::vector<PlannedQuery>& plan, QuerySender sender)
        : m_plan(plan)
        , m_sender(std::move(sender))
        , m_timer(context)
    {
    }

    void start()
    {
        m_startedAt = monotonicNow();
        schedule();
    }

    MonotonicTime intendedTime(std::size_t index) const { return m_startedAt + m_plan[index].m_at; }

private:
    void schedule()
    {
        if (m_next == m_plan.size())
            return;
        m_timer.expires_at(intendedTime(m_next));
        m_timer.async_wait([this](const boost::system::error_code& error) {
            if (error)
                return;
            while (m_next < m_plan.size() && intendedTime(m_next) <= monotonicNow())
                m_sender(m_next++);
            schedule();
        });
    }

    const std::vector<PlannedQuery>& m_plan;
    QuerySender m_sender;
    MonotonicTimer m_timer;
    MonotonicTime m_startedAt;
    std::size_t m_next = 0;
};

} // namespace flamingo::bench
