#pragma once

#include "base/ids.h"

#include <cstdint>
#include <string_view>

namespace flamingo {

/** Returns the 64-bit xxHash of the bytes. Thread-safe. */
std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed = 0);

/**
 * Returns the fingerprint by which the endpoint crashes that a request causes are counted. Thread-safe.
 *
 * Requests with equal service, kind and body have equal fingerprints, whichever caller or VM sends them.
 */
Fingerprint requestFingerprint(const ServiceName& service, std::string_view kind, std::string_view body);

} // namespace flamingo
