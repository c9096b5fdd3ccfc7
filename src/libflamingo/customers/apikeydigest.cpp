#include "customers/apikeydigest.h"

#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>

#include <array>
#include <stdexcept>
#include <string>

namespace flamingo {

namespace {

constexpr std::size_t digestBytes = 32;

} // namespace

ApiKeyDigest digestApiKey(std::string_view key)
{
    std::array<unsigned char, digestBytes> digest {};
    if (gnutls_hash_fast(GNUTLS_DIG_SHA256, key.data(), key.size(), digest.data()) != GNUTLS_E_SUCCESS)
        throw std::runtime_error("SHA-256 is not available");
    constexpr char digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(2 * digest.size());
    for (const unsigned char byte : digest) {
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 15U]);
    }
    return ApiKeyDigest(std::move(text));
}

} // namespace flamingo
