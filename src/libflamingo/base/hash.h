#pragma once

#include "base/ids.h"

#include <cstdint>
#include <string_view>

namespace flamingo {

/** Returns the 64-bit xxHash of the bytes. Thread-safe. */
std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed = 0);

/**
 * Returns the fingerprint under which a request's crashes are counted. Thread-safe.
 *
 * Equal for equal service, kind and body, whichever caller or VM sends it.
 */
Fingerprint requestFingerprint(const ServiceName& service, std::string_view kind, std::string_view body);

} // namespace flamingo
