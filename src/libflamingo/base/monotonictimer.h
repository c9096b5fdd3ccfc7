#pragma once

#include "base/time.h"

#include <boost/asio/basic_waitable_timer.hpp>

namespace flamingo {

// Timer on MonotonicClock. A timer that expires while the VM is suspended fires when the VM resumes.
using MonotonicTimer = boost::asio::basic_waitable_timer<MonotonicClock>;

} // namespace flamingo
