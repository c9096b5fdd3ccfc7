// Stand-in for consumers that keep their connections: each sends one request after the other and reads at once.
// Usage: callers ADDRESS PATH COUNT SECONDS PREFIX
// Prints how many requests had a complete answer, by status, and the id of each request on a connection that had been
// answered before that was sent whole and whose connection ended without a complete answer ("cut ID").

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;

std::mutex outputMutex;
std::map<std::string, unsigned> answers;

int connectTo(const std::string& address)
{
    const auto colon = address.rfind(':');
    sockaddr_in remote {};
    remote.sin_family = AF_INET;
    remote.sin_port = htons(static_cast<unsigned short>(std::atoi(address.substr(colon + 1).c_str())));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &remote.sin_addr);
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const timeval timeout { 5, 0 };
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    if (connect(socket, reinterpret_cast<sockaddr*>(&remote), sizeof(remote)) == 0)
        return socket;
    close(socket);
    return -1;
}

/** Returns the status of a complete answer, or nothing. */
std::string readAnswer(int socket, bool& keeps)
{
    std::string bytes;
    std::vector<char> buffer(65536);
    std::size_t end = std::string::npos;
    std::size_t length = 0;
    while (end == std::string::npos || bytes.size() < end + 4 + length) {
        const auto count = recv(socket, buffer.data(), buffer.size(), 0);
        if (count <= 0)
            return {};
        bytes.append(buffer.data(), static_cast<std::size_t>(count));
        if (end == std::string::npos && (end = bytes.find("\r\n\r\n")) != std::string::npos) {
            const auto field = bytes.find("Content-Length: ");
            length = field < end ? static_cast<std::size_t>(std::atol(bytes.c_str() + field + 16)) : 0;
        }
    }
    keeps = bytes.substr(0, end).find("Connection: close") == std::string::npos;
    return bytes.substr(9, 3);
}

void call(const std::string& address, const std::string& path, const std::string& prefix, Clock::time_point until)
{
    int socket = -1;
    bool answeredBefore = false;
    for (unsigned number = 0; Clock::now() < until; ++number) {
        if (socket < 0) {
            answeredBefore = false;
            socket = connectTo(address);
        }
        if (socket < 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            continue;
        }
        const std::string id = prefix + "-" + std::to_string(number);
        const std::string request = "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id
            + "\r\nRequest-Deadline: 4000\r\n\r\n";
        bool keeps = false;
        const bool sent = send(socket, request.data(), request.size(), MSG_NOSIGNAL) == ssize_t(request.size());
        const std::string status = sent ? readAnswer(socket, keeps) : std::string();
        {
            const std::lock_guard<std::mutex> lock(outputMutex);
            ++answers[status.empty() ? "none" : status];
            if (sent && status.empty() && answeredBefore)
                std::cout << "cut " << id << std::endl;
        }
        answeredBefore = true;
        if (status.empty() || !keeps) {
            close(socket);
            socket = -1;
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 6)
        return 2;
    const auto until = Clock::now() + std::chrono::seconds(std::atoi(argv[4]));
    std::vector<std::thread> threads;
    for (int number = 0; number < std::atoi(argv[3]); ++number)
        threads.emplace_back(call, argv[1], argv[2], std::string(argv[5]) + "-" + std::to_string(number), until);
    for (std::thread& thread : threads)
        thread.join();
    for (const auto& [status, count] : answers)
        std::cout << "answers " << status << " " << count << std::endl;
    return 0;
}
