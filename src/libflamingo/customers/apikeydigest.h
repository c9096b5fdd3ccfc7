#pragma once

#include "base/ids.h"

#include <string_view>

namespace flamingo {

/**
 * Returns the SHA-256 digest by which an API key is stored and looked up. Thread-safe.
 *
 * Keys are random texts, so a digest without a salt does not reveal them.
 */
ApiKeyDigest digestApiKey(std::string_view key);

} // namespace flamingo
