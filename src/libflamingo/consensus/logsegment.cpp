#include "consensus/logsegment.h"

#include "base/hash.h"
#include "consensus/fileio.h"
#include "consensus/raftcodec.h"

namespace flamingo {

namespace {

constexpr std::string_view kMagic = "FLMLOG01";
constexpr std::size_t kNumberSize = 8;
constexpr std::size_t kHeaderSize = 3 * kNumberSize;
constexpr std::size_t kLengthSize = 4;
constexpr std::size_t kRecordHeaderSize = kLengthSize + kNumberSize;
constexpr std::size_t kPayloadHeaderSize = 3 * kNumberSize + 1;
constexpr std::size_t kMaxPayloadSize = std::size_t(16) << 20U;

enum RecordKind : char {
    NoopRecord = 0,
    ConfigurationRecord = 1,
    ApplicationRecord = 2,
};

/** A record of the segment, without its header. */
struct Record {
    std::string_view m_payload;
    LogIndex m_index;
    LogIndex m_batchFirst; // first entry of the same write
    std::size_t m_end = 0; // offset in the segment after the record
};

/** Returns the record at the offset if it is complete and its checksum matches. */
std::optional<Record> recordAt(std::string_view bytes, std::size_t offset)
{
    if (offset > bytes.size() || bytes.size() - offset < kRecordHeaderSize + kPayloadHeaderSize)
        return std::nullopt;
    const std::uint64_t length = numberAt(bytes, offset, kLengthSize);
    if (length < kPayloadHeaderSize || length > kMaxPayloadSize || length > bytes.size() - offset - kRecordHeaderSize)
        return std::nullopt;
    Record record;
    record.m_payload = bytes.substr(offset + kRecordHeaderSize, length);
    if (hashBytes(record.m_payload) != numberAt(bytes, offset + kLengthSize, kNumberSize))
        return std::nullopt;
    record.m_index = LogIndex(numberAt(record.m_payload, 0, kNumberSize));
    record.m_batchFirst = LogIndex(numberAt(record.m_payload, 2 * kNumberSize, kNumberSize));
    record.m_end = offset + kRecordHeaderSize + length;
    return record;
}

std::optional<LogEntryPtr> decodeEntry(const Record& record, Reason& reason)
{
    LogEntry entry;
    entry.m_index = record.m_index;
    entry.m_term = Term(numberAt(record.m_payload, kNumberSize, kNumberSize));
    const std::string_view body = record.m_payload.substr(kPayloadHeaderSize);
    switch (record.m_payload[kPayloadHeaderSize - 1]) {
    case NoopRecord:
        break;
    case ConfigurationRecord: {
        auto configuration = decodeConfiguration(body, reason);
        if (!configuration)
            return std::nullopt;
        entry.m_body = std::move(*configuration);
        break;
    }
    case ApplicationRecord:
        entry.m_body = std::string(body);
        break;
    default:
        reason = Reason { ResultCode::StorageFailed, "the kind of the log record is unknown" };
        return std::nullopt;
    }
    return std::make_shared<const LogEntry>(std::move(entry));
}

/** Returns whether the bytes from the offset on contain a record of a later write than the invalid entry. */
bool laterWriteFollows(std::string_view bytes, std::size_t from, LogIndex invalidEntry)
{
    for (std::size_t offset = from; offset < bytes.size(); ++offset) {
        const auto record = recordAt(bytes, offset);
        if (record && record->m_batchFirst > invalidEntry && record->m_index >= record->m_batchFirst)
            return true;
    }
    return false;
}

std::nullopt_t damaged(const std::string& path, std::size_t offset, const std::string& what, Reason& reason)
{
    reason = Reason { ResultCode::StorageFailed,
        path + ": " + what + " at byte " + std::to_string(offset)
            + "; the file is damaged. Move the data folder away, so that this VM can rejoin with an empty one" };
    return std::nullopt;
}

} // namespace

std::string encodeSegmentHeader(LogIndex firstIndex)
{
    std::string header(kMagic);
    appendNumber(header, firstIndex.value(), kNumberSize);
    appendNumber(header, hashBytes(header), kNumberSize);
    return header;
}

std::string encodeRecord(const LogEntry& entry, LogIndex batchFirst)
{
    std::string payload;
    appendNumber(payload, entry.m_index.value(), kNumberSize);
    appendNumber(payload, entry.m_term.value(), kNumberSize);
    appendNumber(payload, batchFirst.value(), kNumberSize);
    if (const auto* bytes = std::get_if<std::string>(&entry.m_body)) {
        payload.push_back(ApplicationRecord);
        payload += *bytes;
    } else if (const auto* configuration = std::get_if<Configuration>(&entry.m_body)) {
        payload.push_back(ConfigurationRecord);
        payload += encodeConfiguration(*configuration);
    } else
        payload.push_back(NoopRecord);
    std::string record;
    appendNumber(record, payload.size(), kLengthSize);
    appendNumber(record, hashBytes(payload), kNumberSize);
    return record + payload;
}

std::optional<SegmentContents> readSegment(
    std::string_view bytes, LogIndex firstIndex, const std::string& path, Reason& reason)
{
    SegmentContents contents;
    if (bytes.substr(0, kHeaderSize) != encodeSegmentHeader(firstIndex)) {
        if (laterWriteFollows(bytes, 0, firstIndex))
            return damaged(path, 0, "the segment header is invalid", reason);
        contents.m_torn = true;
        return contents;
    }
    std::size_t offset = kHeaderSize;
    LogIndex expected = firstIndex;
    while (offset < bytes.size()) {
        const auto record = recordAt(bytes, offset);
        if (!record || record->m_index != expected) {
            const std::string what = "record " + std::to_string(expected.value()) + " is invalid";
            if (record || laterWriteFollows(bytes, offset + 1, expected))
                return damaged(path, offset, what, reason);
            contents.m_torn = true;
            break;
        }
        auto entry = decodeEntry(*record, reason);
        if (!entry)
            return damaged(path, offset, reason.m_text, reason);
        contents.m_entries.push_back(std::move(*entry));
        contents.m_offsets.push_back(offset);
        offset = record->m_end;
        expected = expected + 1;
    }
    contents.m_validBytes = offset;
    return contents;
}

} // namespace flamingo
