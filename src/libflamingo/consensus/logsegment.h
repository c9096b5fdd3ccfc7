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
// The first index of the write tells apart a torn write from damage: records of one write may reach the disk in
// any order until it is synced, but a record of a later write proves that the writes before it were synced.

/** A segment as read from disk. */
struct SegmentContents {
    std::vector<LogEntryPtr> m_entries;
    std::vector<std::uint64_t> m_offsets; // of each entry's record
    std::uint64_t m_goodBytes = 0; // length up to the first record that is not whole; 0 if the header is not
    bool m_torn = false; // bytes after m_goodBytes were left by an unfinished write
};

/** Returns the header of a segment. Thread-safe. */
std::string encodeSegmentHeader(LogIndex firstIndex);

/** Returns the record of an entry that is written together with the entries from batchFirst on. Thread-safe. */
std::string encodeRecord(const LogEntry& entry, LogIndex batchFirst);

/** Reads a segment; nothing and a reason if it is damaged other than by an unfinished last write. Thread-safe. */
std::optional<SegmentContents> readSegment(
    std::string_view bytes, LogIndex firstIndex, const std::string& path, Reason& reason);

} // namespace flamingo
