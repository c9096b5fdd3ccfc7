#pragma once

#include "base/time.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

namespace flamingo::detail {

/** What the guard knows about one connection. */
struct WatchedConnection {
    int m_socket = -1;
    bool m_uploading = false; // between the first line of a request and the end of its body
    bool m_refused = false;
    bool m_cutOff = false;
    std::uint64_t m_consumedBefore = 0; // bytes read from the connection when the request began
    MonotonicTime m_since; // begin of the request, then the time of the refusal
};

/**
 * Ends uploads that are too large or too slow.
 *
 * ulfius calls the application only after it has read a whole body, however long, and drops what
 * exceeds its limit silently. The guard counts the bytes read from each connection instead. It answers 413 or 408
 * itself, keeps reading for a moment so that the answer is not lost by a reset, and then cuts the connection off.
 *
 * Thread-safe. A connection is removed before its socket is closed.
 */
class UploadGuard {
public:
    UploadGuard(std::uint64_t maxBytes, Milliseconds timeout);
    ~UploadGuard();
    UploadGuard(const UploadGuard&) = delete;
    UploadGuard& operator=(const UploadGuard&) = delete;

    WatchedConnection* add(int socket);
    void remove(WatchedConnection* connection);

    /** Marks the begin of a request. */
    void begin(WatchedConnection* connection);

    /** Marks the end of the request's body. Returns false if the request was refused meanwhile. */
    bool end(WatchedConnection* connection);

    /** Stops checking. Called before the server closes the remaining sockets. */
    void stop();

private:
    void run();
    void check(WatchedConnection& connection, MonotonicTime now) const;

    const std::uint64_t m_maxBytes;
    const Milliseconds m_timeout;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopped = false;
    std::list<WatchedConnection> m_connections;
    std::thread m_thread;
};

} // namespace flamingo::detail
