#include "process/childprocess.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>
#include <thread>

namespace flamingo::test {

ChildProcess::~ChildProcess() { kill(); }

void ChildProcess::start(const std::vector<std::string>& arguments, const std::string& logFile)
{
    std::vector<char*> argv;
    for (const std::string& argument : arguments)
        argv.push_back(const_cast<char*>(argument.c_str()));
    argv.push_back(nullptr);
    const pid_t pid = ::fork();
    if (pid < 0)
        throw std::runtime_error("cannot start a process: fork failed");
    if (pid == 0) {
        // Has the kernel kill the child when the test ends, also when the test is killed at its time limit.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execv(argv[0], argv.data());
        ::_exit(127);
    }
    m_pid = pid;
}

void ChildProcess::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

void ChildProcess::kill()
{
    if (m_pid <= 0)
        return;
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, &m_waitStatus, 0);
    m_pid = 0;
}

bool ChildProcess::waitForExit(std::chrono::milliseconds limit)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (isRunning()) {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

bool ChildProcess::isRunning()
{
    if (m_pid > 0 && ::waitpid(m_pid, &m_waitStatus, WNOHANG) == m_pid)
        m_pid = 0;
    return m_pid > 0;
}

} // namespace flamingo::test
