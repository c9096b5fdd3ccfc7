#include "standin.h"

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

std::ofstream recordFile;
std::mutex recordMutex;

sockaddr_in socketAddress(const std::string& ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

bool waitFor(int socket, short events, std::int64_t timeoutMs)
{
    pollfd entry { socket, events, 0 };
    return poll(&entry, 1, static_cast<int>(timeoutMs < 0 ? 0 : timeoutMs)) > 0;
}

bool sendAll(int socket, const std::string& bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t count = send(socket, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        done += static_cast<std::size_t>(count);
    }
    return true;
}

std::string lower(std::string text)
{
    for (char& c : text)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

/** Removes one message with a length from the front of the buffer; false if it is not complete yet. */
bool takeMessage(std::string& buffer, Message& message)
{
    const std::size_t end = buffer.find("\r\n\r\n");
    if (end == std::string::npos)
        return false;
    message = Message();
    std::size_t from = buffer.find("\r\n");
    message.m_start = buffer.substr(0, from);
    while (from < end) {
        from += 2;
        const std::size_t next = buffer.find("\r\n", from);
        const std::string line = buffer.substr(from, next - from);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            std::size_t value = colon + 1;
            while (value < line.size() && line[value] == ' ')
                ++value;
            message.m_fields.emplace(lower(line.substr(0, colon)), line.substr(value));
        }
        from = next;
    }
    const std::string length = message.field("content-length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    if (buffer.size() < end + 4 + size)
        return false;
    message.m_body = buffer.substr(end + 4, size);
    message.m_complete = true;
    buffer.erase(0, end + 4 + size);
    return true;
}

const char* zoneOf(int number)
{
    const char* zones[] = { "zone-a", "zone-b", "zone-c" };
    return zones[number % 3];
}

} // namespace

std::int64_t nowMs()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start).count();
}

void sleepMs(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

void openRecord()
{
    const char* path = std::getenv("RECORD");
    recordFile.open(path ? path : "record.txt", std::ios::trunc);
}

void record(const std::string& line)
{
    const std::lock_guard<std::mutex> lock(recordMutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%9.3f ", double(nowMs()) / 1000.0);
    recordFile << time << line << std::endl;
}

bool troubleWanted()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

std::string Message::field(const std::string& name) const
{
    const auto found = m_fields.find(name);
    return found == m_fields.end() ? std::string() : found->second;
}

int Message::status() const { return m_complete && m_start.size() > 12 ? std::atoi(m_start.c_str() + 9) : 0; }

std::string Message::method() const { return m_start.substr(0, m_start.find(' ')); }

std::string Message::target() const
{
    const std::size_t first = m_start.find(' ');
    return m_start.substr(first + 1, m_start.find(' ', first + 1) - first - 1);
}

Message exchange(const std::string& ip, int port, const std::string& bytes, std::int64_t timeoutMs)
{
    Message answer;
    const std::int64_t until = nowMs() + timeoutMs;
    const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in address = socketAddress(ip, port);
    const int one = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    const int result = connect(connection, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    if (result == 0 || (errno == EINPROGRESS && waitFor(connection, POLLOUT, timeoutMs))) {
        fcntl(connection, F_SETFL, 0);
        if (sendAll(connection, bytes)) {
            std::string buffer;
            char part[16384];
            while (!takeMessage(buffer, answer) && waitFor(connection, POLLIN, until - nowMs())) {
                const ssize_t count = recv(connection, part, sizeof(part), 0);
                if (count <= 0)
                    break;
                buffer.append(part, static_cast<std::size_t>(count));
            }
        }
    }
    close(connection);
    return answer;
}

Server::Server(std::string ip, int port, Handler handler)
    : m_ip(std::move(ip))
    , m_port(port)
    , m_handler(std::move(handler))
{
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    const sockaddr_in address = socketAddress(m_ip, m_port);
    if (bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0
        || listen(m_listener, 64) != 0) {
        record("cannot listen on " + m_ip);
        std::exit(2);
    }
    m_thread = std::thread([this] { accept(); });
}

Server::~Server()
{
    m_stop = true;
    m_thread.join();
    close(m_listener);
    while (m_open > 0)
        sleepMs(10);
}

void Server::accept()
{
    while (!m_stop) {
        if (m_silent || !waitFor(m_listener, POLLIN, 20)) {
            if (m_silent)
                sleepMs(5);
            continue;
        }
        const int connection = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0)
            continue;
        ++m_open;
        std::thread([this, connection] {
            serve(connection);
            close(connection);
            --m_open;
        }).detach();
    }
}

void Server::serve(int connection)
{
    const int one = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    std::string buffer;
    char part[16384];
    while (!m_stop) {
        Message request;
        if (takeMessage(buffer, request)) {
            const std::string answer = m_handler(request);
            while (m_silent && !m_stop)
                sleepMs(5);
            if (answer.empty() || !sendAll(connection, answer))
                return;
            continue;
        }
        if (m_silent || !waitFor(connection, POLLIN, 20)) {
            if (m_silent)
                sleepMs(5);
            continue;
        }
        const ssize_t count = recv(connection, part, sizeof(part), 0);
        if (count <= 0)
            return;
        buffer.append(part, static_cast<std::size_t>(count));
    }
}

System::System(int cores, int fronts)
    : m_cores(cores)
    , m_fronts(fronts)
{
    signal(SIGPIPE, SIG_IGN);
    m_network = "127." + std::to_string(20 + getpid() % 200);
    const char* temporary = std::getenv("TMPDIR");
    m_folder = std::string(temporary ? temporary : "/tmp") + "/review-XXXXXX";
    if (!mkdtemp(&m_folder[0]))
        std::exit(2);
    std::string seeds;
    for (int number = 1; number <= 3; ++number)
        seeds
            += (number > 1 ? "," : "") + std::string("\"") + coreIp(number) + ":" + std::to_string(controlPort) + "\"";
    m_seeds = "seeds:\n  addresses: [" + seeds + "]\n  link_port: 7380\n";
    for (int number = 1; number <= cores; ++number)
        start("core-" + std::to_string(number), coreSettings(number, true));
    for (int number = 1; number <= fronts; ++number) {
        const std::string ip = frontIp(number);
        start("front-" + std::to_string(number),
            "vm:\n  id: \"front-" + std::to_string(number) + "\"\n  data_centre: \"" + zoneOf(number)
                + "\"\nroles: [routes]\nroutes:\n  listen: " + ip + ":" + std::to_string(frontPort)
                + "\n  health: " + ip + ":" + std::to_string(readyPort)
                + "\n  merge_port: 7380\n  extra_load_share: 0.2\n  extra_load_calls: 129\n" + m_seeds
                + "metrics: " + ip + ":7395\nshutdown:\n  grace: 6 s\n");
    }
}

std::string System::coreSettings(int number, bool bootstrap) const
{
    const std::string name = "core-" + std::to_string(number);
    const std::string ip = coreIp(number);
    return "vm:\n  id: \"" + name + "\"\n  data_centre: \"" + zoneOf(number)
        + "\"\nroles: [control]\ncontrol:\n  listen: " + ip + ":7380\n  api: " + ip + ":" + std::to_string(controlPort)
        + "\n  data_folder: \"" + m_folder + "/" + name + "\"\n  bootstrap: " + (bootstrap ? "true" : "false")
        + "\n  endpoint_heartbeat: 1200 ms\n" + m_seeds + "metrics: " + ip + ":7395\nshutdown:\n  grace: 6 s\n";
}

void System::killCore(int number)
{
    const std::string name = "core-" + std::to_string(number);
    kill(m_processes[name], SIGKILL);
    waitpid(m_processes[name], nullptr, 0);
    m_processes.erase(name);
    const std::string command = "rm -rf '" + m_folder + "/" + name + "'";
    if (std::system(command.c_str()) != 0)
        record("cannot empty the disk of " + name);
}

void System::restartCore(int number) { start("core-" + std::to_string(number), coreSettings(number, false)); }

System::~System()
{
    for (const auto& [name, process] : m_processes)
        kill(process, SIGKILL);
    for (const auto& [name, process] : m_processes)
        waitpid(process, nullptr, 0);
    if (!std::getenv("KEEP_LOGS")) {
        const std::string command = "rm -rf '" + m_folder + "'";
        if (std::system(command.c_str()) != 0)
            record("cannot remove " + m_folder);
    }
}

void System::start(const std::string& name, const std::string& settings)
{
    const std::string file = m_folder + "/" + name + ".yaml";
    std::ofstream(file) << settings;
    const std::string log = m_folder + "/" + name + ".log";
    const std::string argument = "--settings=" + file;
    const pid_t child = fork();
    if (child == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        execl("target/platform/flamingo-platform", "target/platform/flamingo-platform", argument.c_str(), nullptr);
        _exit(127);
    }
    m_processes[name] = child;
}

Message System::callControl(const std::string& method, const std::string& path, const std::string& body, int patienceMs)
{
    const std::int64_t until = nowMs() + patienceMs;
    const std::string request = method + " " + path + " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
        + "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
    std::string ip = coreIp(static_cast<int>(m_next++ % static_cast<unsigned>(m_cores)) + 1);
    Message answer;
    int redirects = 0;
    while (nowMs() < until) {
        answer = exchange(ip, controlPort, request, 1000);
        const std::string location = answer.field("location");
        if (answer.status() == 307 && redirects++ < 2 && location.rfind("http://", 0) == 0) {
            ip = location.substr(7, location.find(':', 7) - 7);
            continue;
        }
        if (answer.status() != 0 && answer.status() < 500 && answer.status() != 307 && answer.status() != 408
            && answer.status() != 429)
            return answer;
        redirects = 0;
        sleepMs(100);
        ip = coreIp(static_cast<int>(m_next++ % static_cast<unsigned>(m_cores)) + 1);
    }
    return Message();
}

bool System::configure(const std::string& body)
{
    const Message answer = callControl("POST", "/api/Config.Replace", body, 20000);
    record("configuration answered " + std::to_string(answer.status()));
    return answer.status() == 200;
}

bool System::waitReady()
{
    const std::int64_t until = nowMs() + 20000;
    for (int number = 1; number <= m_fronts; ++number) {
        while (exchange(frontIp(number), readyPort, "GET /api/ready HTTP/1.1\r\nHost: front\r\n\r\n", 1000).status()
            != 200) {
            if (nowMs() > until)
                return false;
            sleepMs(100);
        }
    }
    return true;
}

bool System::allRun()
{
    for (const auto& [name, process] : m_processes) {
        if (waitpid(process, nullptr, WNOHANG) != 0) {
            record("process ended: " + name);
            return false;
        }
    }
    return true;
}

Repeater::Repeater(std::int64_t periodMs, std::function<void()> handler)
    : m_thread([this, periodMs, handler = std::move(handler)] {
        std::int64_t next = nowMs();
        while (!m_stop) {
            handler();
            next += periodMs;
            while (!m_stop && nowMs() < next)
                sleepMs(5);
        }
    })
{
}

Repeater::~Repeater()
{
    m_stop = true;
    m_thread.join();
}

} // namespace review
