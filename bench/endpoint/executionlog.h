#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

namespace flamingo::bench {

/** Counts the executions of each request id and optionally appends each id to a file. Not thread-safe. */
class ExecutionLog {
public:
    /** Opens the file for appending; nothing is written if the name is empty. Throws if the file cannot be opened. */
    explicit ExecutionLog(const std::string& file);
    ~ExecutionLog();

    ExecutionLog(const ExecutionLog&) = delete;
    ExecutionLog& operator=(const ExecutionLog&) = delete;

    /** Records one execution. On return the line is written to the kernel, so it survives a crash of this process. */
    void record(const std::string& requestId);

    /** Returns how often each request id was executed. */
    const std::unordered_map<std::string, std::uint32_t>& executions() const { return m_executions; }

private:
    int m_file = -1; // file descriptor; -1 if nothing is written
    std::unordered_map<std::string, std::uint32_t> m_executions;
};

} // namespace flamingo::bench
