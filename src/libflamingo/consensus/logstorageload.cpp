#include "consensus/logstorage.h"

#include "base/hash.h"
#include "consensus/raftcodec.h"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <unistd.h>

namespace flamingo {

namespace {

constexpr std::string_view kMetaName = "meta";
constexpr std::string_view kMetaMagic = "FLMMETA1";
constexpr std::string_view kSnapshotMagic = "FLMSNAP1";
constexpr std::size_t kNumberSize = 8;
constexpr std::size_t kSnapshotHeaderSize = 3 * kNumberSize; // magic, length and xxHash of the description

/** Returns whether the name has the prefix and the suffix and at least one character between them. */
bool hasPrefixAndSuffix(const std::string& name, std::string_view prefix, std::string_view suffix)
{
    return name.size() > prefix.size() + suffix.size() && name.compare(0, prefix.size(), prefix) == 0
        && name.compare(name.size() - suffix.size(), suffix.size(), suffix) == 0;
}

std::string snapshotName(LogIndex index)
{
    constexpr std::size_t kDigits = 20;
    const std::string number = std::to_string(index.value());
    return "snapshot-" + std::string(kDigits - number.size(), '0') + number + ".snap";
}

/** Appends the text, preceded by its length. */
void appendText(std::string& out, const std::string& text)
{
    appendNumber(out, text.size(), kNumberSize);
    out += text;
}

/** Removes a text and its length from the front of the bytes. Returns false if the bytes are too short. */
bool readText(std::string_view& bytes, std::string& text)
{
    if (bytes.size() < kNumberSize)
        return false;
    const std::uint64_t size = numberAt(bytes, 0, kNumberSize);
    bytes.remove_prefix(kNumberSize);
    if (size > bytes.size())
        return false;
    text = std::string(bytes.substr(0, size));
    bytes.remove_prefix(size);
    return true;
}

Reason damaged(const std::string& path, const std::string& what)
{
    return Reason { ResultCode::StorageFailed,
        path + ": " + what + ". Move the data folder away, so that this VM can rejoin with an empty one" };
}

} // namespace

bool LogStorage::load()
{
    std::error_code error;
    const bool created = std::filesystem::create_directories(m_folder, error);
    Reason reason;
    if (created) {
        const std::string parent = std::filesystem::path(m_folder).parent_path().string();
        if (!syncFolder(parent.empty() ? "." : parent, m_hooks, reason))
            return fail(reason);
    }
    m_lock = openFile(m_folder + "/lock", O_RDWR | O_CREAT, reason);
    if (!m_lock.isOpen())
        return fail(reason);
    if (::flock(m_lock.descriptor(), LOCK_EX | LOCK_NB) != 0) {
        if (errno == EWOULDBLOCK)
            return fail({ ResultCode::StorageFailed, m_folder + " is in use by another process" });
        return fail(systemFailure("lock", m_folder));
    }
    std::vector<std::string> snapshots;
    std::vector<std::string> segments;
    for (std::filesystem::directory_iterator it(m_folder, error), end; !error && it != end; it.increment(error)) {
        const std::string name = it->path().filename().string();
        if (hasPrefixAndSuffix(name, "", ".tmp") && !removeFile(it->path().string(), reason))
            return fail(reason);
        if (hasPrefixAndSuffix(name, "snapshot-", ".snap"))
            snapshots.push_back(name);
        else if (hasPrefixAndSuffix(name, "log-", ".seg"))
            segments.push_back(name);
    }
    if (error)
        return fail({ ResultCode::StorageFailed, "cannot list " + m_folder + ": " + error.message() });
    // The names contain a fixed number of digits, so sorting them orders the files by index.
    std::sort(snapshots.begin(), snapshots.end());
    std::sort(segments.begin(), segments.end());
    if (!loadMeta())
        return false;
    // Without the stored vote, this member could vote twice in a term.
    if (!m_meta && (!snapshots.empty() || !segments.empty()))
        return fail(damaged(m_folder, "the folder has log or snapshot files, but no file \"meta\""));
    if (!loadSnapshot(snapshots) || !loadSegments(segments) || !checkContinuity())
        return false;
    // A killed process may also have left directory entries that are not durable.
    return syncFolder(m_folder, m_hooks, reason) || fail(reason);
}

bool LogStorage::loadMeta()
{
    const std::string path = m_folder + "/" + std::string(kMetaName);
    std::error_code error;
    if (!std::filesystem::exists(path, error))
        return !error || fail({ ResultCode::StorageFailed, "cannot read " + path + ": " + error.message() });
    Reason reason;
    const auto content = readFile(path, reason);
    if (!content)
        return fail(reason);
    std::string_view bytes = *content;
    constexpr std::size_t kHeaderSize = 2 * kNumberSize;
    if (bytes.size() < kHeaderSize || bytes.substr(0, kNumberSize) != kMetaMagic
        || numberAt(bytes, kNumberSize, kNumberSize) != hashBytes(bytes.substr(kHeaderSize)))
        return fail(damaged(path, "the header or the checksum is wrong"));
    bytes.remove_prefix(kHeaderSize);
    std::string member;
    std::string vote;
    if (!readText(bytes, member) || !readText(bytes, vote) || bytes.size() != kNumberSize)
        return fail(damaged(path, "the content is invalid"));
    m_meta = Meta { MemberId(member), Term(numberAt(bytes, 0, kNumberSize)), MemberId(vote) };
    return true;
}

bool LogStorage::saveMeta(const Meta& meta)
{
    if (!usable())
        return false;
    std::string body;
    appendText(body, meta.m_member.value());
    appendText(body, meta.m_votedFor.value());
    appendNumber(body, meta.m_term.value(), kNumberSize);
    std::string header(kMetaMagic);
    appendNumber(header, hashBytes(body), kNumberSize);
    Reason reason;
    if (!replaceFile(m_folder, std::string(kMetaName), { header, body }, m_hooks, reason))
        return fail(reason);
    m_meta = meta;
    return true;
}

bool LogStorage::loadSnapshot(const std::vector<std::string>& names)
{
    if (names.empty())
        return true;
    // A snapshot file gets its final name only after it is durable, so the latest one must be complete.
    m_snapshotName = names.back();
    m_snapshot = openSnapshot(m_snapshotName);
    if (!m_snapshot)
        return false;
    Reason reason;
    const auto bytes = m_snapshot->read(0, m_snapshot->info().m_size, reason);
    if (!bytes)
        return fail(reason);
    if (hashBytes(*bytes) != m_snapshot->info().m_checksum)
        return fail(damaged(m_folder + "/" + m_snapshotName, "the checksum is wrong"));
    for (std::size_t i = 0; i + 1 < names.size(); ++i) {
        if (!removeFile(m_folder + "/" + names[i], reason))
            return fail(reason);
    }
    return true;
}

std::shared_ptr<const SnapshotReader> LogStorage::openSnapshot(const std::string& name)
{
    const std::string path = m_folder + "/" + name;
    Reason reason;
    FileHandle file = openFile(path, O_RDONLY, reason);
    if (!file.isOpen()) {
        fail(reason);
        return nullptr;
    }
    std::string header(kSnapshotHeaderSize, '\0');
    const off_t size = ::lseek(file.descriptor(), 0, SEEK_END);
    if (::pread(file.descriptor(), &header[0], header.size(), 0) != static_cast<ssize_t>(header.size())
        || header.compare(0, kNumberSize, kSnapshotMagic) != 0) {
        fail(damaged(path, "the header is invalid"));
        return nullptr;
    }
    const std::uint64_t length = numberAt(header, kNumberSize, kNumberSize);
    if (length > static_cast<std::uint64_t>(size) - kSnapshotHeaderSize) {
        fail(damaged(path, "the length of the description exceeds the file size"));
        return nullptr;
    }
    std::string description(length, '\0');
    const ssize_t count = ::pread(file.descriptor(), &description[0], length, kSnapshotHeaderSize);
    if (count != static_cast<ssize_t>(length)
        || hashBytes(description) != numberAt(header, 2 * kNumberSize, kNumberSize)) {
        fail(damaged(path, "the checksum of the description is wrong"));
        return nullptr;
    }
    auto info = decodeSnapshotInfo(description, reason);
    if (!info || static_cast<std::uint64_t>(size) != kSnapshotHeaderSize + length + info->m_size) {
        fail(damaged(path, info ? "the file size does not match the description" : reason.m_text));
        return nullptr;
    }
    return std::make_shared<const SnapshotReader>(
        std::move(file), path, kSnapshotHeaderSize + length, std::move(*info));
}

bool LogStorage::writeSnapshot(const SnapshotInfo& info, const std::string& bytes)
{
    const std::string description = encodeSnapshotInfo(info);
    std::string header(kSnapshotMagic);
    appendNumber(header, description.size(), kNumberSize);
    appendNumber(header, hashBytes(description), kNumberSize);
    const std::string name = snapshotName(info.m_index);
    Reason reason;
    if (!replaceFile(m_folder, name, { header, description, bytes }, m_hooks, reason))
        return fail(reason);
    const std::string previous = m_snapshotName;
    m_snapshot = openSnapshot(name);
    if (!m_snapshot)
        return false;
    m_snapshotName = name;
    if (!previous.empty() && previous != name && !removeFile(m_folder + "/" + previous, reason))
        return fail(reason);
    return true;
}

bool LogStorage::loadSegments(const std::vector<std::string>& names)
{
    for (std::size_t i = 0; i < names.size(); ++i) {
        if (!loadSegment(names[i], i + 1 == names.size()))
            return false;
    }
    return true;
}

bool LogStorage::loadSegment(const std::string& name, bool last)
{
    const std::string path = m_folder + "/" + name;
    std::uint64_t first = 0;
    constexpr std::size_t kPrefix = 4; // "log-"
    std::from_chars(name.data() + kPrefix, name.data() + name.size(), first);
    Reason reason;
    const auto bytes = readFile(path, reason);
    if (!bytes)
        return fail(reason);
    auto contents = readSegment(*bytes, LogIndex(first), path, reason);
    if (!contents)
        return fail(reason);
    // A new segment is started only after the previous one was synced, so only the last one may be torn.
    if (contents->m_torn && !last)
        return fail(damaged(
            path, "the segment ends with an incomplete record at byte " + std::to_string(contents->m_validBytes)));
    if (!m_segments.empty() && endOf(m_segments.back()) != LogIndex(first))
        return fail(
            damaged(path, "log entries from " + std::to_string(endOf(m_segments.back()).value()) + " are missing"));
    if (contents->m_entries.empty())
        return removeFile(path, reason) || fail(reason);
    // A process killed before its last sync leaves entries that are readable but not durable yet.
    if (last && !makeDurable(path, contents->m_validBytes, contents->m_torn))
        return false;
    Segment segment;
    segment.m_path = path;
    segment.m_first = LogIndex(first);
    segment.m_offsets = std::move(contents->m_offsets);
    segment.m_size = contents->m_validBytes;
    for (LogEntryPtr& entry : contents->m_entries) {
        segment.m_terms.push_back(entry->m_term);
        m_entries.push_back(std::move(entry));
    }
    m_segments.push_back(std::move(segment));
    return true;
}

bool LogStorage::makeDurable(const std::string& path, std::uint64_t size, bool truncate)
{
    Reason reason;
    const FileHandle file = openFile(path, O_WRONLY, reason);
    if (!file.isOpen())
        return fail(reason);
    if (truncate && ::ftruncate(file.descriptor(), static_cast<off_t>(size)) != 0)
        return fail(systemFailure("truncate", path));
    return syncFile(file.descriptor(), m_hooks, path, reason) || fail(reason);
}

bool LogStorage::checkContinuity()
{
    if (m_segments.empty())
        return true;
    const SnapshotInfo none;
    const SnapshotInfo& snapshot = m_snapshot ? m_snapshot->info() : none;
    const LogIndex first = m_segments.front().m_first;
    const LogIndex end = endOf(m_segments.back());
    if (first > snapshot.m_index + 1)
        return fail(damaged(m_folder,
            "log entries " + std::to_string(snapshot.m_index.value() + 1) + " to " + std::to_string(first.value() - 1)
                + " are missing"));
    // A crash during the installation of a snapshot from the leader leaves the log that the snapshot replaces.
    const bool superseded = end <= snapshot.m_index
        || (first <= snapshot.m_index && m_entries[snapshot.m_index - first]->m_term != snapshot.m_term);
    if (superseded) {
        m_entries.clear();
        return dropAllSegments();
    }
    if (first <= snapshot.m_index) {
        m_entries.erase(
            m_entries.begin(), m_entries.begin() + static_cast<std::ptrdiff_t>(snapshot.m_index + 1 - first));
    }
    return dropSegmentsUpTo(snapshot.m_index);
}

SnapshotReader::SnapshotReader(FileHandle file, std::string path, std::uint64_t dataOffset, SnapshotInfo info)
    : m_file(std::move(file))
    , m_path(std::move(path))
    , m_dataOffset(dataOffset)
    , m_info(std::move(info))
{
}

std::optional<std::string> SnapshotReader::read(std::uint64_t offset, std::size_t length, Reason& reason) const
{
    std::string bytes(length, '\0');
    std::size_t done = 0;
    while (done < length) {
        const ssize_t count = ::pread(
            m_file.descriptor(), &bytes[done], length - done, static_cast<off_t>(m_dataOffset + offset + done));
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0) {
            reason = systemFailure("read", m_path);
            return std::nullopt;
        }
        done += static_cast<std::size_t>(count);
    }
    return bytes;
}

} // namespace flamingo
