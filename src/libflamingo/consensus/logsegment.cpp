#include "consensus/logsegment.h"

#include "base/hash.h"
#include "consensus/fileio.h"
#include "consensus/raftcodec.h"

namespace flamingo {

namespace {

constexpr std::string_view kMagic = "FLMLOG01";
constexpr std::size_t kNumber = 8;
constexpr std::size_t kHeaderSize = 3 * kNumber;
constexpr std::size_t kLengthSize = 4;
constexpr std::size_t kRecordHead = kLengthSize + kNumber;
constexpr std::size_t kPayloadHead = 3 * kNumber + 1;
constexpr std::size_t kMaxPayload = std::size_t(16) << 20U;

enum RecordKind : char {
    NoopRecord = 0,
    ConfigurationRecord = 1,
    ApplicationRecord = 2,
};

struct Record {
    std::string_view m_payload;
    LogIndex m_index;
    LogIndex m_batchFirst;
    std::size_t m_end = 0;
};

/** Returns the record at the offset if it is whole and its checksum is right. */
std::optional<Record> recordAt(std::string_view bytes, std::size_t offset)
{
    if (offset > bytes.size() || bytes.size() - offset < kRecordHead + kPayloadHead)
        return std::nullopt;
    const std::uint64_t length = numberAt(bytes, offset, kLengthSize);
    if (length < kPayloadHead || length > kMaxPayload || length > bytes.size() - offset - kRecordHead)
        return std::nullopt;
    Record record;
    record.m_payload = bytes.substr(offset + kRecordHead, length);
    if (hashBytes(record.m_payload) != numberAt(bytes, offset + kLengthSize, kNumber))
        return std::nullopt;
    record.m_index = LogIndex(numberAt(record.m_payload, 0, kNumber));
    record.m_batchFirst = LogIndex(numberAt(record.m_payload, 2 * kNumber, kNumber));
    record.m_end = offset + kRecordHead + length;
    return record;
}

std::optional<LogEntryPtr> entryOf(const Record& record, Reason& reason)
{
    LogEntry entry;
    entry.m_index = record.m_index;
    entry.m_term = Term(numberAt(record.m_payload, kNumber, kNumber));
    const std::string_view body = record.m_payload.substr(kPayloadHead);
    switch (record.m_payload[kPayloadHead - 1]) {
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
        reason = Reason { ResultCode::StorageFailed, "unknown kind of log record" };
        return std::nullopt;
    }
    return std::make_shared<const LogEntry>(std::move(entry));
}

/** Returns whether a record that was written after the write of the broken entry follows. */
bool laterWriteFollows(std::string_view bytes, std::size_t from, LogIndex broken)
{
    for (std::size_t offset = from; offset < bytes.size(); ++offset) {
        const auto record = recordAt(bytes, offset);
        if (record && record->m_batchFirst > broken && record->m_index >= record->m_batchFirst)
            return true;
    }
    return false;
}

std::nullopt_t damaged(const std::string& path, std::size_t offset, const std::string& what, Reason& reason)
{
    reason = Reason { ResultCode::StorageFailed,
        path + ": " + what + " at byte " + std::to_string(offset)
            + "; the file is damaged. Move the data folder away to let this VM rejoin with an empty one" };
    return std::nullopt;
}

} // namespace

std::string encodeSegmentHeader(LogIndex firstIndex)
{
    std::string header(kMagic);
    appendNumber(header, firstIndex.value(), kNumber);
    appendNumber(header, hashBytes(header), kNumber);
    return header;
}

std::string encodeRecord(const LogEntry& entry, LogIndex batchFirst)
{
    std::string payload;
    appendNumber(payload, entry.m_index.value(), kNumber);
    appendNumber(payload, entry.m_term.value(), kNumber);
    appendNumber(payload, batchFirst.value(), kNumber);
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
    appendNumber(record, hashBytes(payload), kNumber);
    return record + payload;
}

std::optional<SegmentContents> readSegment(
    std::string_view bytes, LogIndex firstIndex, const std::string& path, Reason& reason)
{
    SegmentContents contents;
    if (bytes.substr(0, kHeaderSize) != encodeSegmentHeader(firstIndex)) {
        if (laterWriteFollows(bytes, 0, firstIndex))
            return damaged(path, 0, "the segment header is not valid", reason);
        contents.m_torn = true;
        return contents;
    }
    std::size_t offset = kHeaderSize;
    LogIndex expected = firstIndex;
    while (offset < bytes.size()) {
        const auto record = recordAt(bytes, offset);
        if (!record || record->m_index != expected) {
            const std::string what = "record " + std::to_string(expected.value()) + " is not valid";
            if (record || laterWriteFollows(bytes, offset + 1, expected))
                return damaged(path, offset, what, reason);
            contents.m_torn = true;
            break;
        }
        auto entry = entryOf(*record, reason);
        if (!entry)
            return damaged(path, offset, reason.m_text, reason);
        contents.m_entries.push_back(std::move(*entry));
        contents.m_offsets.push_back(offset);
        offset = record->m_end;
        expected = expected + 1;
    }
    contents.m_goodBytes = offset;
    return contents;
}

} // namespace flamingo
