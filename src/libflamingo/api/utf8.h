#pragma once

#include <string_view>

namespace flamingo {

/** Returns whether the bytes are valid UTF-8 (no overlong forms, surrogates or values above U+10FFFF). Thread-safe. */
bool isValidUtf8(std::string_view bytes);

} // namespace flamingo
