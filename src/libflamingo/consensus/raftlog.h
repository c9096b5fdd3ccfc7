#pragma once

#include "consensus/logentry.h"
#include "consensus/snapshotinfo.h"

#include <deque>
#include <utility>
#include <vector>

namespace flamingo {

/** The part of the log held in memory, the latest snapshot, and the configurations they contain. */
struct RaftLog {
    LogIndex m_baseIndex; // the entry before the first in memory
    Term m_baseTerm;
    std::deque<LogEntryPtr> m_entries;
    SnapshotInfo m_snapshot;
    // Configurations by the index of their entry, ascending. The first is the one in force at the snapshot.
    std::vector<std::pair<LogIndex, Configuration>> m_configurations { { LogIndex(0), Configuration() } };
};

/** Returns a log made of what the storage holds. Precondition: entries continue the snapshot without gap. */
RaftLog makeLog(SnapshotInfo snapshot, std::vector<LogEntryPtr> entries);

LogIndex lastIndex(const RaftLog& log);
Term lastTerm(const RaftLog& log);
/** Returns the term of the entry. Precondition: base <= index <= last. */
Term termAt(const RaftLog& log, LogIndex index);
/** Returns the entry. Precondition: base < index <= last. */
const LogEntryPtr& entryAt(const RaftLog& log, LogIndex index);
/** Returns the latest configuration, whether or not it is committed. */
const Configuration& latestConfiguration(const RaftLog& log);
LogIndex latestConfigurationIndex(const RaftLog& log);
/** Returns the configuration in force at the index. Precondition: index >= snapshot index. */
const Configuration& configurationAt(const RaftLog& log, LogIndex index);
/** Appends an entry. Precondition: its index follows the last one. */
void appendEntry(RaftLog& log, LogEntryPtr entry);
/** Drops the entries from the index on. Precondition: index > snapshot index. */
void truncateFrom(RaftLog& log, LogIndex index);
/** Records a snapshot and drops the entries up to keepAfter. Precondition: keepAfter <= snapshot index <= last. */
void compactLog(RaftLog& log, SnapshotInfo snapshot, LogIndex keepAfter);
/** Replaces the log by a snapshot from another member, keeping entries that continue it. */
void resetToSnapshot(RaftLog& log, SnapshotInfo snapshot);

} // namespace flamingo
