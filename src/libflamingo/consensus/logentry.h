#pragma once

#include "consensus/configuration.h"
#include "consensus/logtypes.h"

#include <cstddef>
#include <memory>
#include <string>
#include <variant>

namespace flamingo {

/** First entry that each leader appends. Its commit also commits all entries of earlier terms. */
struct NoopEntry { };

/** One entry of the replicated log. Only entries with a string body are passed to the application. */
struct LogEntry {
    LogIndex m_index;
    Term m_term;
    std::variant<NoopEntry, Configuration, std::string> m_body;
};

// The log, messages and effects share entries, so that large bodies are not copied.
using LogEntryPtr = std::shared_ptr<const LogEntry>;

/** Returns the approximate size of the entry in a message, in bytes. Thread-safe. */
inline std::size_t entryBytes(const LogEntry& entry)
{
    constexpr std::size_t kOverhead = 64;
    constexpr std::size_t kBytesPerMember = 160;
    if (const auto* bytes = std::get_if<std::string>(&entry.m_body))
        return kOverhead + bytes->size();
    if (const auto* configuration = std::get_if<Configuration>(&entry.m_body))
        return kOverhead + kBytesPerMember * (configuration->m_members.size() + configuration->m_removed.size());
    return kOverhead;
}

} // namespace flamingo
