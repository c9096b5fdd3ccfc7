#pragma once

#include "consensus/configuration.h"
#include "consensus/logtypes.h"

#include <cstdint>

namespace flamingo {

/** Describes a snapshot of the application state, which replaces all log entries up to an index. */
struct SnapshotInfo {
    LogIndex m_index; // last entry that the snapshot contains; 0 if there is no snapshot
    Term m_term;
    Configuration m_configuration; // applies at m_index
    std::uint64_t m_size = 0; // bytes
    std::uint64_t m_checksum = 0; // xxHash of the bytes
};

} // namespace flamingo
