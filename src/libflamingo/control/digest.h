#pragma once

#include "control/command.h"
#include "control/publishedstate.h"

#include <cstdint>

namespace flamingo {

// The functions below are pure and thread-safe.

/** Returns the hash of one record. Records of different types with equal bytes have different hashes. */
std::uint64_t recordHash(const ServiceDefinition& record);
std::uint64_t recordHash(const EndpointRecord& record);
std::uint64_t recordHash(const SnapshotLayout& record);
std::uint64_t recordHash(const VmRecord& record);
std::uint64_t recordHash(const QuarantineRecord& record);
std::uint64_t recordHash(const Route& record);
std::uint64_t recordHash(const RoutedService& record);
std::uint64_t recordHash(const Customer& record);

/** Returns the hash that a drain of the endpoint by an operator adds to the record sum. */
std::uint64_t operatorDrainHash(const EndpointId& endpoint);

/** Returns the hash that the evacuation of the data centre adds to the record sum. */
std::uint64_t evacuationHash(const DataCentreName& dataCentre);

/** Returns the digest of the whole state from its record sum, revision and configuration version. */
std::uint64_t publishedDigest(const PublishedState& state);

/** Computes the record sum from all records, in time proportional to their number. */
std::uint64_t computeRecordSum(const PublishedState& state);

/** Returns a hash of the body and the expected version, which identifies resends of a command. */
std::uint64_t commandHash(const Command& command);

} // namespace flamingo
