#include "consensus/logstorage.h"

#include <cerrno>
#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

namespace flamingo {

namespace {

constexpr std::uint64_t kMaxSegmentBytes = std::uint64_t(4) << 20U;

std::string segmentName(LogIndex first)
{
    constexpr std::size_t kDigits = 20;
    const std::string number = std::to_string(first.value());
    return "log-" + std::string(kDigits - number.size(), '0') + number + ".seg";
}

} // namespace

LogStorage::LogStorage(std::string folder, StorageHooks hooks)
    : m_folder(std::move(folder))
    , m_hooks(std::move(hooks))
{
}

std::unique_ptr<LogStorage> LogStorage::open(const std::string& folder, StorageHooks hooks, Reason& reason)
{
    std::unique_ptr<LogStorage> storage(new LogStorage(folder, std::move(hooks)));
    if (storage->load())
        return storage;
    reason = storage->m_reason;
    return nullptr;
}

bool LogStorage::fail(Reason reason)
{
    m_failed = true;
    m_reason = std::move(reason);
    return false;
}

std::vector<LogEntryPtr> LogStorage::takeEntries() { return std::move(m_entries); }

bool LogStorage::startSegment(LogIndex first)
{
    Reason reason;
    Segment segment;
    segment.m_path = m_folder + "/" + segmentName(first);
    segment.m_first = first;
    FileHandle file = openFile(segment.m_path, O_WRONLY | O_CREAT | O_EXCL, reason);
    const std::string header = encodeSegmentHeader(first);
    // The sync of the first records also makes the header durable.
    if (!file.isOpen() || !writeAll(file.descriptor(), header, m_hooks, segment.m_path, reason)
        || !syncFolder(m_folder, m_hooks, reason))
        return fail(reason);
    segment.m_size = header.size();
    m_tail = std::move(file);
    m_segments.push_back(std::move(segment));
    m_startNewSegment = false;
    return true;
}

bool LogStorage::append(const std::vector<LogEntryPtr>& entries)
{
    if (!usable())
        return false;
    if (entries.empty())
        return true;
    const LogIndex first = entries.front()->m_index;
    if (!m_segments.empty() && endOf(m_segments.back()) != first && !m_startNewSegment)
        return fail({ ResultCode::InternalError, "the appended entries do not continue the log" });
    if (m_startNewSegment || m_segments.back().m_size >= kMaxSegmentBytes) {
        if (!startSegment(first))
            return false;
    }
    Segment& segment = m_segments.back();
    std::string bytes;
    for (const LogEntryPtr& entry : entries) {
        segment.m_offsets.push_back(segment.m_size + bytes.size());
        segment.m_terms.push_back(entry->m_term);
        bytes += encodeRecord(*entry, first);
    }
    Reason reason;
    if (!writeAll(m_tail.descriptor(), bytes, m_hooks, segment.m_path, reason)
        || !syncFile(m_tail.descriptor(), m_hooks, segment.m_path, reason))
        return fail(reason);
    segment.m_size += bytes.size();
    return true;
}

bool LogStorage::truncateFrom(LogIndex index)
{
    if (!usable())
        return false;
    Reason reason;
    bool removed = false;
    // Segments are removed in reverse order, so that a crash in between leaves a log without gaps.
    while (!m_segments.empty() && m_segments.back().m_first >= index) {
        if (!removeFile(m_segments.back().m_path, reason))
            return fail(reason);
        m_segments.pop_back();
        removed = true;
    }
    if (removed) {
        m_startNewSegment = true;
        if (!syncFolder(m_folder, m_hooks, reason))
            return fail(reason);
    }
    if (m_segments.empty() || endOf(m_segments.back()) <= index)
        return true;
    Segment& segment = m_segments.back();
    const std::size_t keep = index - segment.m_first;
    const std::uint64_t size = segment.m_offsets[keep];
    const FileHandle file = openFile(segment.m_path, O_WRONLY, reason);
    if (!file.isOpen())
        return fail(reason);
    if (::ftruncate(file.descriptor(), static_cast<off_t>(size)) != 0)
        return fail(systemFailure("truncate", segment.m_path));
    if (!syncFile(file.descriptor(), m_hooks, segment.m_path, reason))
        return fail(reason);
    segment.m_offsets.resize(keep);
    segment.m_terms.resize(keep);
    segment.m_size = size;
    // The position of m_tail is now after the end of the file, so the next write must go to a new segment.
    m_startNewSegment = true;
    return true;
}

bool LogStorage::dropSegmentsUpTo(LogIndex index)
{
    Reason reason;
    bool removed = false;
    while (!m_segments.empty() && endOf(m_segments.front()) <= index + 1) {
        if (!removeFile(m_segments.front().m_path, reason))
            return fail(reason);
        m_segments.erase(m_segments.begin());
        removed = true;
    }
    // With a new segment, the next snapshot can remove the entries that are written until then.
    m_startNewSegment = true;
    return !removed || syncFolder(m_folder, m_hooks, reason) || fail(reason);
}

bool LogStorage::dropAllSegments()
{
    Reason reason;
    bool removed = false;
    while (!m_segments.empty()) {
        if (!removeFile(m_segments.back().m_path, reason))
            return fail(reason);
        m_segments.pop_back();
        removed = true;
    }
    m_startNewSegment = true;
    return !removed || syncFolder(m_folder, m_hooks, reason) || fail(reason);
}

bool LogStorage::saveSnapshot(const SnapshotInfo& info, const std::string& bytes)
{
    return usable() && writeSnapshot(info, bytes) && dropSegmentsUpTo(info.m_index);
}

bool LogStorage::installSnapshot(const SnapshotInfo& info, const std::string& bytes)
{
    if (!usable())
        return false;
    bool continues = false;
    for (const Segment& segment : m_segments) {
        if (info.m_index >= segment.m_first && info.m_index < endOf(segment))
            continues = segment.m_terms[info.m_index - segment.m_first] == info.m_term;
    }
    if (!writeSnapshot(info, bytes))
        return false;
    return continues ? dropSegmentsUpTo(info.m_index) : dropAllSegments();
}

} // namespace flamingo
