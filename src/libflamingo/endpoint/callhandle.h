#pragma once

#include "base/strongvalue.h"

#include <cstdint>

namespace flamingo {

/** Identifies a started call of an EndpointClient; never reused by the same client. */
using CallHandle = StrongValue<struct CallHandleTag, std::uint64_t>;

} // namespace flamingo
