#pragma once

#include "base/reason.h"
#include "consensus/logentry.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace flamingo {

// Format of a log segment: a header, then one record for each entry. All numbers are little-endian.
//   header: magic (8 bytes), index of the first entry (8), xxHash of the 16 bytes before (8)
//   record: payload length (4), xxHash of the payload (8), payload
//   payload: index (8), term (8), index of the first entry of the same write (8), kind (1), body
// The index of the first entry of the same write distinguishes a torn write from a damaged file. Until a write is
// synced, its records may reach the disk in any order; a record of a later write proves that all earlier writes were
// synced.

/** A segment as read from disk. */
struct SegmentContents {
    std::vector<LogEntryPtr> m_entries;
    std::vector<std::uint64_t> m_offsets; // of each entry's record
    std::uint64_t m_validBytes = 0; // length before the first invalid record; 0 if the header is invalid
    bool m_torn = false; // an unfinished write left the bytes after m_validBytes
};

/** Returns the header of a segment. Thread-safe. */
std::string encodeSegmentHeader(LogIndex firstIndex);

/** Returns the record of an entry in a write that starts with the entry batchFirst. Thread-safe. */
std::string encodeRecord(const LogEntry& entry, LogIndex batchFirst);

/**
 * Decodes a segment. Thread-safe.
 *
 * Tolerates an unfinished last write; returns nothing and sets the reason for any other damage.
 */
std::optional<SegmentContents> readSegment(
    std::string_view bytes, LogIndex firstIndex, const std::string& path, Reason& reason);

} // namespace flamingo
