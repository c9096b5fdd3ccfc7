#pragma once

#include <cstdint>
#include <vector>

namespace flamingo {

/** Returns the rendezvous score of a key for a candidate; the highest score ranks first. Thread-safe. */
std::uint64_t rendezvousScore(std::uint64_t keyHash, std::uint64_t candidateHash);

/**
 * Returns how many connections a VM may have to an endpoint. Thread-safe.
 *
 * The hashes of the names of all VMs that count are listed, also of those that left a short time ago,
 * since a frozen process keeps its sockets. With at least as many connections as VMs each VM gets
 * limit / VMs. With fewer, the VMs are ranked by rendezvous hashing for this endpoint: the first ones
 * get one connection each and the rest none, so that the limit holds and each VM reaches some of the
 * endpoints; an endpoint without a share is not a replica for the VM. A VM that joins only lowers the
 * rank of others, so that no share rises before the admission is in force everywhere. A VM that is not
 * listed gets none.
 */
std::uint32_t connectionShare(
    std::uint32_t limit, std::uint64_t vmHash, const std::vector<std::uint64_t>& vmHashes, std::uint64_t endpointHash);

} // namespace flamingo
