#pragma once

#include "consensus/logentry.h"
#include "consensus/snapshotinfo.h"

#include <deque>
#include <utility>
#include <vector>

namespace flamingo {

/** The log entries held in memory, the description of the latest snapshot, and the configurations in both. */
struct RaftLog {
    LogIndex m_baseIndex; // index of the entry before the first one in memory
    Term m_baseTerm;
    std::deque<LogEntryPtr> m_entries;
    SnapshotInfo m_snapshot;
    // Configurations with the index of their log entry, in ascending order. The first one applies at the snapshot.
    std::vector<std::pair<LogIndex, Configuration>> m_configurations { { LogIndex(0), Configuration() } };
};

/** Returns a log with the stored snapshot and entries. Precondition: entries continue the snapshot without a gap. */
RaftLog makeLog(SnapshotInfo snapshot, std::vector<LogEntryPtr> entries);

LogIndex lastIndex(const RaftLog& log);
Term lastTerm(const RaftLog& log);
/** Returns the term of the entry. Precondition: base <= index <= last. */
Term termAt(const RaftLog& log, LogIndex index);
/** Returns the entry. Precondition: base < index <= last. */
const LogEntryPtr& entryAt(const RaftLog& log, LogIndex index);
/** Returns the latest configuration in the log, committed or not. */
const Configuration& latestConfiguration(const RaftLog& log);
LogIndex latestConfigurationIndex(const RaftLog& log);
/** Returns the configuration that applies at the index. Precondition: index >= snapshot index. */
const Configuration& configurationAt(const RaftLog& log, LogIndex index);
/** Appends an entry. Precondition: its index follows the last one. */
void appendEntry(RaftLog& log, LogEntryPtr entry);
/** Drops the entry at the index and all later ones. Precondition: index > snapshot index. */
void truncateFrom(RaftLog& log, LogIndex index);
/**
 * Records a snapshot and drops the entries up to and including keepAfter.
 *
 * Precondition: keepAfter <= snapshot index <= last.
 */
void compactLog(RaftLog& log, SnapshotInfo snapshot, LogIndex keepAfter);
/** Replaces the log by a snapshot from another member; keeps later entries if they continue the snapshot. */
void resetToSnapshot(RaftLog& log, SnapshotInfo snapshot);

} // namespace flamingo
