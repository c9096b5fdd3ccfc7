#include "base/hash.h"

#include <xxhash.h>

namespace flamingo {

std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed) { return XXH64(bytes.data(), bytes.size(), seed); }

Fingerprint requestFingerprint(const ServiceName& service, std::string_view kind, std::string_view body)
{
    const std::uint64_t serviceHash = hashBytes(service.value());
    const std::uint64_t kindHash = hashBytes(kind, serviceHash);
    return Fingerprint(hashBytes(body, kindHash));
}

} // namespace flamingo
