#pragma once

#include <cstdint>
#include <vector>

namespace flamingo {

/** Returns the rendezvous score of a key for a candidate; the highest score ranks first. Thread-safe. */
std::uint64_t rendezvousScore(std::uint64_t keyHash, std::uint64_t candidateHash);

/**
 * Returns how many connections a VM may have to an endpoint. Thread-safe.
 *
 * vmHashes holds the hashes of the names of all VMs that share the limit, including VMs that left recently,
 * since a frozen process keeps its sockets. With at least as many connections as VMs, each VM gets
 * limit / VMs. With fewer, the VMs are ranked by rendezvous hashing for this endpoint: the first ones
 * get one connection each and the rest none. So the limit holds, and each VM reaches some of the
 * endpoints; an endpoint to which a VM has no connections is not a replica for that VM. A VM that joins can
 * only lower the ranks of others, so no share rises before the admission of that VM is in force everywhere. A VM that
 * is not listed gets no connections.
 */
std::uint32_t connectionShare(
    std::uint32_t limit, std::uint64_t vmHash, const std::vector<std::uint64_t>& vmHashes, std::uint64_t endpointHash);

} // namespace flamingo
