#include "api/uploadguard.h"

#include "api/answerwriter.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <string>

namespace flamingo::detail {

namespace {
constexpr Milliseconds checkInterval { 50 };
// Time for the caller to read the refusal and stop sending before the socket is shut down.
constexpr Milliseconds lingerTime { 1000 };
// Bytes besides the body: headers, chunk sizes and what the server has read ahead.
constexpr std::uint64_t headerAllowance = 64u << 10;

// Returns the number of bytes that the server has read from the socket. Bytes still in the kernel's buffer are not
// counted, since they may belong to a later, pipelined request.
std::uint64_t consumedBytes(int socket)
{
    tcp_info info {};
    socklen_t size = sizeof(info);
    int unread = 0;
    if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || ioctl(socket, FIONREAD, &unread) != 0)
        return 0;
    const auto unreadBytes = static_cast<std::uint64_t>(unread);
    return info.tcpi_bytes_received > unreadBytes ? info.tcpi_bytes_received - unreadBytes : 0;
}

void sendRefusal(int socket, const char* status, ResultCode code, const std::string& text)
{
    const std::string body = writeAnswer(Reason { code, text });
    const std::string response = std::string("HTTP/1.1 ") + status
        + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
    // The server writes nothing while it reads a body, so the socket's send buffer has room.
    (void)::send(socket, response.data(), response.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    ::shutdown(socket, SHUT_WR);
}
} // namespace

UploadGuard::UploadGuard(std::uint64_t maxBytes, Milliseconds timeout)
    : m_maxBytes(maxBytes)
    , m_timeout(timeout)
    , m_thread([this] { run(); })
{
}

UploadGuard::~UploadGuard() { stop(); }

void UploadGuard::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
    }
    m_stopSignal.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

WatchedConnection* UploadGuard::add(int socket)
{
    const std::lock_guard lock(m_mutex);
    m_connections.emplace_back().m_socket = socket;
    return &m_connections.back();
}

void UploadGuard::remove(WatchedConnection* connection)
{
    const std::lock_guard lock(m_mutex);
    m_connections.remove_if([connection](const WatchedConnection& other) { return &other == connection; });
}

void UploadGuard::beginUpload(WatchedConnection* connection)
{
    const std::lock_guard lock(m_mutex);
    connection->m_uploading = true;
    connection->m_bytesBeforeRequest = consumedBytes(connection->m_socket);
    connection->m_timeoutStart = monotonicNow();
}

bool UploadGuard::endUpload(WatchedConnection* connection)
{
    const std::lock_guard lock(m_mutex);
    connection->m_uploading = false;
    return !connection->m_refused;
}

void UploadGuard::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopSignal.wait_for(lock, checkInterval, [this] { return m_stopped; })) {
        const MonotonicTime now = monotonicNow();
        for (WatchedConnection& connection : m_connections)
            checkUpload(connection, now);
    }
}

void UploadGuard::checkUpload(WatchedConnection& connection, MonotonicTime now) const
{
    if (connection.m_refused) {
        if (!connection.m_cutOff && now - connection.m_timeoutStart >= lingerTime) {
            connection.m_cutOff = true;
            ::shutdown(connection.m_socket, SHUT_RDWR);
        }
        return;
    }
    if (!connection.m_uploading)
        return;
    const std::uint64_t consumed = consumedBytes(connection.m_socket);
    if (consumed > connection.m_bytesBeforeRequest + m_maxBytes + headerAllowance)
        sendRefusal(connection.m_socket, "413 Payload Too Large", ResultCode::BodyTooLarge,
            "the body exceeds the limit of " + std::to_string(m_maxBytes) + " bytes");
    else if (now - connection.m_timeoutStart >= m_timeout)
        sendRefusal(connection.m_socket, "408 Request Timeout", ResultCode::MalformedBody,
            "the request was not complete within " + std::to_string(m_timeout.count()) + " ms");
    else
        return;
    connection.m_refused = true;
    connection.m_timeoutStart = now;
}

} // namespace flamingo::detail
