#include "consensus/raftlog.h"

#include <algorithm>
#include <cassert>

namespace flamingo {

RaftLog makeLog(SnapshotInfo snapshot, std::vector<LogEntryPtr> entries)
{
    RaftLog log;
    log.m_baseIndex = snapshot.m_index;
    log.m_baseTerm = snapshot.m_term;
    log.m_configurations = { { snapshot.m_index, snapshot.m_configuration } };
    log.m_snapshot = std::move(snapshot);
    for (LogEntryPtr& entry : entries)
        appendEntry(log, std::move(entry));
    return log;
}

LogIndex lastIndex(const RaftLog& log) { return log.m_baseIndex + log.m_entries.size(); }

Term lastTerm(const RaftLog& log) { return log.m_entries.empty() ? log.m_baseTerm : log.m_entries.back()->m_term; }

Term termAt(const RaftLog& log, LogIndex index)
{
    return index == log.m_baseIndex ? log.m_baseTerm : entryAt(log, index)->m_term;
}

const LogEntryPtr& entryAt(const RaftLog& log, LogIndex index)
{
    assert(index > log.m_baseIndex && index <= lastIndex(log));
    return log.m_entries[index - log.m_baseIndex - 1];
}

const Configuration& latestConfiguration(const RaftLog& log) { return log.m_configurations.back().second; }

LogIndex latestConfigurationIndex(const RaftLog& log) { return log.m_configurations.back().first; }

const Configuration& configurationAt(const RaftLog& log, LogIndex index)
{
    const auto found = std::find_if(log.m_configurations.rbegin(), log.m_configurations.rend(),
        [&](const auto& entry) { return entry.first <= index; });
    return found == log.m_configurations.rend() ? log.m_configurations.front().second : found->second;
}

void appendEntry(RaftLog& log, LogEntryPtr entry)
{
    assert(entry->m_index == lastIndex(log) + 1);
    if (const auto* configuration = std::get_if<Configuration>(&entry->m_body))
        log.m_configurations.emplace_back(entry->m_index, *configuration);
    log.m_entries.push_back(std::move(entry));
}

void truncateFrom(RaftLog& log, LogIndex index)
{
    assert(index > log.m_snapshot.m_index);
    while (lastIndex(log) >= index)
        log.m_entries.pop_back();
    while (log.m_configurations.size() > 1 && log.m_configurations.back().first >= index)
        log.m_configurations.pop_back();
}

void compactLog(RaftLog& log, SnapshotInfo snapshot, LogIndex keepAfter)
{
    assert(keepAfter <= snapshot.m_index && snapshot.m_index <= lastIndex(log));
    auto& configurations = log.m_configurations;
    while (configurations.size() > 1 && configurations[1].first <= snapshot.m_index)
        configurations.erase(configurations.begin());
    if (keepAfter > log.m_baseIndex) {
        const Term term = termAt(log, keepAfter);
        log.m_entries.erase(
            log.m_entries.begin(), log.m_entries.begin() + static_cast<std::ptrdiff_t>(keepAfter - log.m_baseIndex));
        log.m_baseIndex = keepAfter;
        log.m_baseTerm = term;
    }
    log.m_snapshot = std::move(snapshot);
}

void resetToSnapshot(RaftLog& log, SnapshotInfo snapshot)
{
    const LogIndex index = snapshot.m_index;
    if (index > log.m_baseIndex && index <= lastIndex(log) && termAt(log, index) == snapshot.m_term) {
        compactLog(log, std::move(snapshot), index);
        return;
    }
    log = makeLog(std::move(snapshot), {});
}

} // namespace flamingo
