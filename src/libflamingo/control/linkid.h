#pragma once

#include "base/strongvalue.h"

#include <cstdint>

namespace flamingo {

// Number of a link, never reused within one process. The same type as in link/linkid.h.
using LinkId = StrongValue<struct LinkIdTag, std::uint64_t>;

} // namespace flamingo
