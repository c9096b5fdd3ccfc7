// Stand-in for an operator: makes one call to the control interface of one machine and follows up to two redirects.
// Usage: operator ADDRESS METHOD PATH [BODY]. Prints the status, the address that answered and the body.
// Status 000 means that no complete answer came within a second of a connection.

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds answerTimeout { 1000 };

struct Answer {
    int m_status = 0;
    std::string m_location;
    std::string m_body;
};

bool waitFor(int socket, short events, Clock::time_point until)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
    pollfd entry { socket, events, 0 };
    return left > 0 && poll(&entry, 1, static_cast<int>(left)) == 1;
}

int connectTo(const std::string& address, Clock::time_point until)
{
    const auto colon = address.rfind(':');
    sockaddr_in remote {};
    remote.sin_family = AF_INET;
    remote.sin_port = htons(static_cast<unsigned short>(std::atoi(address.substr(colon + 1).c_str())));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &remote.sin_addr);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    connect(socket, reinterpret_cast<sockaddr*>(&remote), sizeof(remote));
    int error = 1;
    socklen_t size = sizeof(error);
    if (waitFor(socket, POLLOUT, until) && getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0)
        return socket;
    close(socket);
    return -1;
}

std::string headerValue(const std::string& head, const std::string& name)
{
    const auto start = head.find("\r\n" + name + ": ");
    if (start == std::string::npos)
        return {};
    const auto value = start + name.size() + 4;
    return head.substr(value, head.find("\r\n", value) - value);
}

Answer exchange(const std::string& address, const std::string& method, const std::string& path, const std::string& body)
{
    Answer answer;
    const auto until = Clock::now() + answerTimeout;
    const int socket = connectTo(address, until);
    if (socket < 0)
        return answer;
    const std::string request = method + " " + path + " HTTP/1.1\r\nHost: " + address
        + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
    send(socket, request.data(), request.size(), MSG_NOSIGNAL);
    std::string bytes;
    char buffer[65536];
    while (waitFor(socket, POLLIN, until)) {
        const auto count = recv(socket, buffer, sizeof(buffer), 0);
        if (count <= 0)
            break;
        bytes.append(buffer, static_cast<std::size_t>(count));
    }
    close(socket);
    const auto headEnd = bytes.find("\r\n\r\n");
    if (headEnd == std::string::npos)
        return answer;
    const std::string head = bytes.substr(0, headEnd + 2);
    const std::size_t length = static_cast<std::size_t>(std::atol(headerValue(head, "Content-Length").c_str()));
    if (bytes.size() - headEnd - 4 < length)
        return answer;
    answer.m_status = std::atoi(head.substr(9, 3).c_str());
    answer.m_location = headerValue(head, "Location");
    answer.m_body = bytes.substr(headEnd + 4, length);
    return answer;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 4)
        return 2;
    std::string address = argv[1];
    const std::string path = argv[3];
    Answer answer;
    for (int calls = 0; calls < 3; ++calls) {
        answer = exchange(address, argv[2], path, argc > 4 ? argv[4] : "");
        const std::string scheme = "http://";
        if (answer.m_status != 307 || answer.m_location.compare(0, scheme.size(), scheme) != 0)
            break;
        const auto slash = answer.m_location.find('/', scheme.size());
        address = answer.m_location.substr(scheme.size(), slash - scheme.size());
    }
    std::printf("%03d %s %s\n", answer.m_status, address.c_str(), answer.m_body.c_str());
    return 0;
}
