// Stand-in for a server. Usage: server ADDRESS INSTANCE [BYTES [RUNS]]
// A sound one answers each request with status 200, its receipt, the request's id and a body of so many bytes, and a
// request that is meant for another instance with 421. It appends the ids of the requests that it runs to the file
// RUNS. With BYTES = endless its answers are chunked and go on until the caller closes, at 2 MB a second each.

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <mutex>
#include <string>
#include <strings.h>
#include <thread>

namespace {

std::atomic<unsigned> runs { 0 };
std::string body = "ok";
bool endless = false;
std::mutex runsMutex;
std::ofstream runsFile;

std::string headerValue(const std::string& head, const std::string& name)
{
    std::size_t line = head.find("\r\n");
    while (line != std::string::npos && line + 2 < head.size()) {
        const std::size_t start = line + 2;
        line = head.find("\r\n", start);
        if (strncasecmp(head.c_str() + start, (name + ":").c_str(), name.size() + 1) == 0) {
            const std::size_t value = head.find_first_not_of(' ', start + name.size() + 1);
            return head.substr(value, line - value);
        }
    }
    return {};
}

std::string answer(const std::string& head, const std::string& instance)
{
    const std::string expected = headerValue(head, "Expect-Instance");
    const std::string id = headerValue(head, "Request-Id");
    if (!expected.empty() && expected != instance)
        return "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nRequest-Id: " + id
            + "\r\nContent-Length: 0\r\n\r\n";
    if (runsFile.is_open()) {
        const std::lock_guard<std::mutex> lock(runsMutex);
        runsFile << id << std::endl;
    }
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: " + instance + "." + std::to_string(++runs)
        + "\r\nServer-Load: 0,0,2\r\n"
        + (endless ? "Transfer-Encoding: chunked\r\n\r\n"
                   : "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

bool sendAll(int socket, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

void serve(int socket, const std::string& instance)
{
    std::string bytes;
    char buffer[4096];
    while (true) {
        std::size_t end = bytes.find("\r\n\r\n");
        while (end == std::string::npos) {
            const auto count = recv(socket, buffer, sizeof(buffer), 0);
            if (count <= 0) {
                close(socket);
                return;
            }
            bytes.append(buffer, static_cast<std::size_t>(count));
            end = bytes.find("\r\n\r\n");
        }
        const std::string reply = answer(bytes.substr(0, end + 2), instance);
        bytes.erase(0, end + 4);
        if (!sendAll(socket, reply)) {
            close(socket);
            return;
        }
        const std::string chunk = "5000\r\n" + std::string(0x5000, 'x') + "\r\n";
        while (endless && sendAll(socket, chunk))
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 3)
        return 2;
    endless = argc > 3 && std::string(argv[3]) == "endless";
    if (argc > 3 && !endless)
        body = std::string(static_cast<std::size_t>(std::atol(argv[3])), 'b');
    if (argc > 4)
        runsFile.open(argv[4], std::ios::app);
    const std::string address = argv[1];
    const auto colon = address.rfind(':');
    sockaddr_in local {};
    local.sin_family = AF_INET;
    local.sin_port = htons(static_cast<unsigned short>(std::atoi(address.substr(colon + 1).c_str())));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &local.sin_addr);
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(listener, reinterpret_cast<sockaddr*>(&local), sizeof(local)) != 0 || listen(listener, 64) != 0)
        return 1;
    while (true) {
        const int socket = accept(listener, nullptr, nullptr);
        if (socket >= 0)
            std::thread(serve, socket, std::string(argv[2])).detach();
    }
}
