#pragma once

#include "base/reason.h"
#include "consensus/fileio.h"
#include "consensus/logentry.h"
#include "consensus/logsegment.h"
#include "consensus/snapshotinfo.h"
#include "consensus/storagehooks.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace flamingo {

/** An open snapshot file; it stays readable after newer snapshots replaced it. Thread safety: one thread at a time. */
class SnapshotReader {
public:
    SnapshotReader(FileHandle file, std::string path, std::uint64_t dataOffset, SnapshotInfo info);

    /** Returns that many bytes of the snapshot. Precondition: offset + length <= info().m_size. */
    std::optional<std::string> read(std::uint64_t offset, std::size_t length, Reason& reason) const;
    const SnapshotInfo& info() const { return m_info; }

private:
    FileHandle m_file;
    std::string m_path;
    std::uint64_t m_dataOffset;
    SnapshotInfo m_info;
};

/**
 * The files of one member: member id, term and vote; log segments; the latest snapshot.
 *
 * Each changing function returns only after the change is durable. After the first failure every further change
 * fails too, since what reached the disk is then unknown; the member must stop. Thread safety: one thread at a time.
 */
class LogStorage {
public:
    struct Meta {
        MemberId m_member;
        Term m_term;
        MemberId m_vote;
    };

    /**
     * Opens the folder, which is created if absent, and reads what it holds.
     *
     * Returns nothing and a reason if the files are damaged, incomplete or in use by another process. An unfinished
     * last write is dropped.
     */
    static std::unique_ptr<LogStorage> open(const std::string& folder, StorageHooks hooks, Reason& reason);

    /** Returns the stored identity; nothing if the folder was empty. */
    const std::optional<Meta>& meta() const { return m_meta; }
    bool saveMeta(const Meta& meta);

    /** Returns the entries after the snapshot as read by open() and releases them. */
    std::vector<LogEntryPtr> takeEntries();
    /** Appends entries in one write and one sync. Precondition: they continue the log without gap. */
    bool append(const std::vector<LogEntryPtr>& entries);
    /** Drops the entries from the index on. Precondition: index > snapshot index. */
    bool truncateFrom(LogIndex index);

    /** Stores a snapshot of the application's state and drops the segments it replaces. */
    bool saveSnapshot(const SnapshotInfo& info, const std::string& bytes);
    /** Stores a snapshot from another member. Entries are kept only if they continue it. */
    bool installSnapshot(const SnapshotInfo& info, const std::string& bytes);
    /** Returns the latest snapshot, or nullptr if there is none. */
    std::shared_ptr<const SnapshotReader> snapshot() const { return m_snapshot; }

    /** Returns why the last operation failed. */
    const Reason& lastReason() const { return m_reason; }

private:
    struct Segment {
        std::string m_path;
        LogIndex m_first;
        std::vector<std::uint64_t> m_offsets;
        std::vector<Term> m_terms;
        std::uint64_t m_size = 0;
    };

    LogStorage(std::string folder, StorageHooks hooks);
    bool load();
    bool loadMeta();
    bool loadSnapshot(const std::vector<std::string>& names);
    bool loadSegments(const std::vector<std::string>& names);
    bool loadSegment(const std::string& name, bool last);
    bool makeDurable(const std::string& path, std::uint64_t size, bool truncate);
    bool checkContinuity();
    bool startSegment(LogIndex first);
    bool dropSegmentsUpTo(LogIndex index);
    bool dropAllSegments();
    bool writeSnapshot(const SnapshotInfo& info, const std::string& bytes);
    std::shared_ptr<const SnapshotReader> openSnapshot(const std::string& name);
    LogIndex endOf(const Segment& segment) const { return segment.m_first + segment.m_offsets.size(); }
    bool fail(Reason reason);
    bool usable() const { return !m_failed; }

    std::string m_folder;
    StorageHooks m_hooks;
    FileHandle m_lock;
    std::optional<Meta> m_meta;
    std::vector<Segment> m_segments;
    FileHandle m_tail; // last segment, open for writing
    bool m_startNewSegment = true; // also after each start, so that one write never spans two runs
    std::vector<LogEntryPtr> m_entries;
    std::shared_ptr<const SnapshotReader> m_snapshot;
    std::string m_snapshotName;
    bool m_failed = false;
    Reason m_reason;
};

} // namespace flamingo
