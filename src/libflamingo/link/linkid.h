#pragma once

#include "base/strongvalue.h"

#include <cstdint>

namespace flamingo {

// Identifies an accepted link; unique within one LinkServer and never reused.
using LinkId = StrongValue<struct LinkIdTag, std::uint64_t>;

} // namespace flamingo
