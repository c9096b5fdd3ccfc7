#pragma once

#include <sys/types.h>

#include <chrono>
#include <string>
#include <vector>

namespace flamingo::test {

/** A program started by the test; it is killed when the object goes. Used from the test's main thread. */
class ChildProcess {
public:
    ChildProcess() = default;
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    /** Starts a program that appends its output to the log; a running one must have been ended before. */
    void start(const std::vector<std::string>& arguments, const std::string& logFile);

    /** Sends a signal if the process runs. */
    void signal(int number) const;

    /** Ends the process at once and waits for its end. */
    void kill();

    /** Returns whether the process has ended within the limit; its exit status is then in exitStatus(). */
    bool waitForEnd(std::chrono::milliseconds limit);

    bool isRunning();
    /** Returns the status of waitpid(), 0 for a clean end. */
    int exitStatus() const { return m_status; }

private:
    pid_t m_pid = 0;
    int m_status = 0;
};

} // namespace flamingo::test
