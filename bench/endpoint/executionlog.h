#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

namespace flamingo::bench {

/** Counts the executions of each request id, and appends each to a file if asked. Not thread-safe. */
class ExecutionLog {
public:
    /** Opens the file for appending; without a name nothing is written. */
    explicit ExecutionLog(const std::string& file);
    ~ExecutionLog();

    ExecutionLog(const ExecutionLog&) = delete;
    ExecutionLog& operator=(const ExecutionLog&) = delete;

    /** Records one execution. The line has reached the kernel on return, so that it survives a crash. */
    void record(const std::string& requestId);

    /** Returns how often each request id was executed. */
    const std::unordered_map<std::string, std::uint32_t>& executions() const { return m_executions; }

private:
    int m_file = -1;
    std::unordered_map<std::string, std::uint32_t> m_executions;
};

} // namespace flamingo::bench
