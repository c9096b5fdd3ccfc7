#include "endpoint/executionlog.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <stdexcept>

namespace flamingo::bench {

ExecutionLog::ExecutionLog(const std::string& file)
{
    if (file.empty())
        return;
    m_file = ::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (m_file < 0)
        throw std::runtime_error("cannot open execution log '" + file + "': " + std::strerror(errno));
}

ExecutionLog::~ExecutionLog()
{
    if (m_file >= 0)
        ::close(m_file);
}

void ExecutionLog::record(const std::string& requestId)
{
    ++m_executions[requestId];
    if (m_file < 0)
        return;
    const std::string line = requestId + "\n";
    if (::write(m_file, line.data(), line.size()) != static_cast<ssize_t>(line.size()))
        std::fprintf(stderr, "cannot write to the execution log: %s\n", std::strerror(errno));
}

} // namespace flamingo::bench
