#pragma once

#include "base/strongvalue.h"

#include <cstdint>
#include <string>

namespace flamingo {

// Identifiers that operators and callers choose, or that appear in answers and logs.
using VmId = StrongValue<struct VmIdTag, std::string>;
using DataCentreName = StrongValue<struct DataCentreNameTag, std::string>;
using ServiceName = StrongValue<struct ServiceNameTag, std::string>;
using CallerClass = StrongValue<struct CallerClassTag, std::string>;
using EndpointId = StrongValue<struct EndpointIdTag, std::string>;
using CustomerName = StrongValue<struct CustomerNameTag, std::string>;
using RequestId = StrongValue<struct RequestIdTag, std::string>;
using CommandId = StrongValue<struct CommandIdTag, std::string>;

// Random number that tells apart successive processes with the same name.
using Incarnation = StrongValue<struct IncarnationTag, std::uint64_t>;

// Counters that increase with the changes of the replicated state and of the configuration.
using Revision = StrongValue<struct RevisionTag, std::uint64_t>;
using ConfigurationVersion = StrongValue<struct ConfigurationVersionTag, std::uint64_t>;

// Snapshot of a service's index, a partitioning of the snapshot, and a shard of the partitioning.
using SnapshotVersion = StrongValue<struct SnapshotVersionTag, std::uint64_t>;
using LayoutId = StrongValue<struct LayoutIdTag, std::uint64_t>;
using ShardIndex = StrongValue<struct ShardIndexTag, std::uint32_t>;
// Number of an attempt among those that serve the same request.
using AttemptNumber = StrongValue<struct AttemptNumberTag, std::uint32_t>;

// Digest of an API key, in hexadecimal digits. The key itself is not kept.
using ApiKeyDigest = StrongValue<struct ApiKeyDigestTag, std::string>;
// Hash of the service, kind and body of a request.
using Fingerprint = StrongValue<struct FingerprintTag, std::uint64_t>;

} // namespace flamingo
