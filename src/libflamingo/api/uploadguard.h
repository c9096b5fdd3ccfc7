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

/** State of one connection that an UploadGuard checks. */
struct WatchedConnection {
    int m_socket = -1;
    bool m_uploading = false; // a request is between its first line and the end of its body
    bool m_refused = false; // the guard has answered the request with an error
    bool m_cutOff = false; // the guard has shut down the socket
    std::uint64_t m_bytesBeforeRequest = 0; // bytes read from the socket before the current request
    MonotonicTime m_timeoutStart; // start of the request or, once refused, time of the refusal
};

/**
 * Refuses request bodies that are too large or arrive too slowly.
 *
 * ulfius calls the application only after it has read the whole body, however long, and silently drops what exceeds
 * its limit. Therefore the guard checks at intervals how many bytes were read from each connection. It answers with
 * status 413 or 408 itself, lets the server read on for a moment, since a reset could destroy the answer, and then
 * shuts the socket down.
 *
 * Thread-safe. A connection must be removed before its socket is closed.
 */
class UploadGuard {
public:
    /** Starts the thread that checks uploads. */
    UploadGuard(std::uint64_t maxBytes, Milliseconds timeout);
    /** Stops the thread. */
    ~UploadGuard();
    UploadGuard(const UploadGuard&) = delete;
    UploadGuard& operator=(const UploadGuard&) = delete;

    /** Adds a connection; the pointer is valid until remove(). */
    WatchedConnection* add(int socket);
    void remove(WatchedConnection* connection);

    /** Marks the start of a request. */
    void beginUpload(WatchedConnection* connection);

    /** Marks the end of the request's body. Returns false if the guard has refused the request. */
    bool endUpload(WatchedConnection* connection);

    /** Stops the checks. Called before the server closes the remaining sockets. */
    void stop();

private:
    void run();
    void checkUpload(WatchedConnection& connection, MonotonicTime now) const;

    const std::uint64_t m_maxBytes;
    const Milliseconds m_timeout;
    std::mutex m_mutex;
    std::condition_variable m_stopSignal;
    bool m_stopped = false;
    std::list<WatchedConnection> m_connections;
    std::thread m_thread;
};

} // namespace flamingo::detail
