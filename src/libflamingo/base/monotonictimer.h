#pragma once

#include "base/time.h"

#include <boost/asio/basic_waitable_timer.hpp>

namespace flamingo {

// Timer for points in time of monotonicNow(). One that was due during a suspension fires after it.
using MonotonicTimer = boost::asio::basic_waitable_timer<MonotonicClock>;

} // namespace flamingo
