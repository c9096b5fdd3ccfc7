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

/** An open snapshot file. Stays readable after a newer one replaces it. Thread safety: one thread at a time. */
class SnapshotReader {
public:
    SnapshotReader(FileHandle file, std::string path, std::uint64_t dataOffset, SnapshotInfo info);

    /** Returns the bytes of the snapshot in the range. Precondition: offset + length <= info().m_size. */
    std::optional<std::string> read(std::uint64_t offset, std::size_t length, Reason& reason) const;
    const SnapshotInfo& info() const { return m_info; }

private:
    FileHandle m_file;
    std::string m_path;
    std::uint64_t m_dataOffset;
    SnapshotInfo m_info;
};

/**
 * Stores the data of one member in files: the member id, term and vote; the log segments; the latest snapshot.
 *
 * Each function that changes data returns only after the change is durable. After the first failure the content of the
 * disk is unknown, so every further change fails too and the member must stop. Thread safety: one thread at a time.
 */
class LogStorage {
public:
    /** Content of the file "meta". */
    struct Meta {
        MemberId m_member;
        Term m_term;
        MemberId m_votedFor;
    };

    /**
     * Opens the folder, creating it if it does not exist, and reads its files.
     *
     * Returns nullptr and sets the reason if the files are damaged, incomplete or in use by another process. Drops an
     * unfinished last write.
     */
    static std::unique_ptr<LogStorage> open(const std::string& folder, StorageHooks hooks, Reason& reason);

    /** Returns the stored member id, term and vote; nothing if the folder was empty. */
    const std::optional<Meta>& meta() const { return m_meta; }
    bool saveMeta(const Meta& meta);

    /** Moves out the entries after the snapshot that open() has read. */
    std::vector<LogEntryPtr> takeEntries();
    /** Appends entries with one write and one sync. Precondition: they continue the log without a gap. */
    bool append(const std::vector<LogEntryPtr>& entries);
    /** Drops the entry at the index and all later ones. Precondition: index > snapshot index. */
    bool truncateFrom(LogIndex index);

    /** Stores a snapshot of the application state and removes the segments that it replaces. */
    bool saveSnapshot(const SnapshotInfo& info, const std::string& bytes);
    /** Stores a snapshot from another member. Keeps later log entries only if they continue the snapshot. */
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
    /** Returns the index after the segment's last entry. */
    LogIndex endOf(const Segment& segment) const { return segment.m_first + segment.m_offsets.size(); }
    bool fail(Reason reason);
    bool usable() const { return !m_failed; }

    std::string m_folder;
    StorageHooks m_hooks;
    FileHandle m_lock;
    std::optional<Meta> m_meta;
    std::vector<Segment> m_segments;
    FileHandle m_tail; // last segment, open for writing
    bool m_startNewSegment = true; // initially true, so that a segment never mixes writes of two process runs
    std::vector<LogEntryPtr> m_entries; // read by open(), until takeEntries()
    std::shared_ptr<const SnapshotReader> m_snapshot;
    std::string m_snapshotName;
    bool m_failed = false;
    Reason m_reason;
};

} // namespace flamingo
