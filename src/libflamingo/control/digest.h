#pragma once

#include "control/command.h"
#include "control/publishedstate.h"

#include <cstdint>

namespace flamingo {

// Each of these is a pure function and thread-safe.

/** Returns the hash of one record, different for equal bytes in records of different types. */
std::uint64_t recordHash(const ServiceDefinition& record);
std::uint64_t recordHash(const EndpointRecord& record);
std::uint64_t recordHash(const SnapshotLayout& record);
std::uint64_t recordHash(const VmRecord& record);
std::uint64_t recordHash(const QuarantineRecord& record);
std::uint64_t recordHash(const Route& record);
std::uint64_t recordHash(const RoutedService& record);

/** Returns the hash of the fact that an operator drains the endpoint. */
std::uint64_t operatorDrainHash(const EndpointId& endpoint);

/** Returns the digest of the whole state from its record sum, revision and configuration version. */
std::uint64_t publishedDigest(const PublishedState& state);

/** Returns the record sum computed from all records. Costs time in proportion to their number. */
std::uint64_t computeRecordSum(const PublishedState& state);

/** Returns a hash over the body and the expected version, by which resends are recognised. */
std::uint64_t commandHash(const Command& command);

} // namespace flamingo
