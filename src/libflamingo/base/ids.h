#pragma once

#include "base/strongvalue.h"

#include <cstdint>
#include <string>

namespace flamingo {

// Names that people choose or see.
using VmId = StrongValue<struct VmIdTag, std::string>;
using DataCentreName = StrongValue<struct DataCentreNameTag, std::string>;
using ServiceName = StrongValue<struct ServiceNameTag, std::string>;
using CallerClass = StrongValue<struct CallerClassTag, std::string>;
using EndpointId = StrongValue<struct EndpointIdTag, std::string>;
using RequestId = StrongValue<struct RequestIdTag, std::string>;
using CommandId = StrongValue<struct CommandIdTag, std::string>;

// Random number that changes whenever a process starts anew under the same name.
using Incarnation = StrongValue<struct IncarnationTag, std::uint64_t>;

// Positions in the history of the system.
using Revision = StrongValue<struct RevisionTag, std::uint64_t>;
using ConfigurationVersion = StrongValue<struct ConfigurationVersionTag, std::uint64_t>;

// Parts of an index.
using SnapshotVersion = StrongValue<struct SnapshotVersionTag, std::uint64_t>;
using LayoutId = StrongValue<struct LayoutIdTag, std::uint64_t>;
using ShardIndex = StrongValue<struct ShardIndexTag, std::uint32_t>;
using AttemptNumber = StrongValue<struct AttemptNumberTag, std::uint32_t>;

// Hash of service, kind and body of a request.
using Fingerprint = StrongValue<struct FingerprintTag, std::uint64_t>;

} // namespace flamingo
