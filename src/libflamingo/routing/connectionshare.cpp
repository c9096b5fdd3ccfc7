#include "routing/connectionshare.h"

#include <algorithm>

namespace flamingo {

std::uint64_t rendezvousScore(std::uint64_t keyHash, std::uint64_t candidateHash)
{
    // Finalizer of splitmix64: each input bit affects all bits of the result.
    std::uint64_t mixed = keyHash + 0x9E3779B97F4A7C15ULL * candidateHash;
    mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
    return mixed ^ (mixed >> 31U);
}

std::uint32_t connectionShare(
    std::uint32_t limit, std::uint64_t vmHash, const std::vector<std::uint64_t>& vmHashes, std::uint64_t endpointHash)
{
    if (std::find(vmHashes.begin(), vmHashes.end(), vmHash) == vmHashes.end())
        return 0;
    if (limit >= vmHashes.size())
        return limit / static_cast<std::uint32_t>(vmHashes.size());
    const std::uint64_t own = rendezvousScore(endpointHash, vmHash);
    const auto ahead = std::count_if(vmHashes.begin(), vmHashes.end(), [&](std::uint64_t other) {
        const std::uint64_t score = rendezvousScore(endpointHash, other);
        return score > own || (score == own && other < vmHash);
    });
    return static_cast<std::uint64_t>(ahead) < limit ? 1 : 0;
}

} // namespace flamingo
