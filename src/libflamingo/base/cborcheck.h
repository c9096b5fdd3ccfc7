#pragma once

#include <cstddef>
#include <string_view>

namespace flamingo {

/**
 * Returns whether the bytes are one well-formed CBOR item of definite length within the limits. Thread-safe.
 *
 * nlohmann's CBOR parser recurses for each nested array, so a frame of a few megabytes of array headers would
 * exhaust the stack; frames from the network are checked with this function first.
 */
bool isBoundedCbor(std::string_view bytes, std::size_t maxDepth, std::size_t maxItems);

} // namespace flamingo
