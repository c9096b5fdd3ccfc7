#include "deployment.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using Clock = std::chrono::steady_clock;

namespace {

void sleepMs(int time) { std::this_thread::sleep_for(std::chrono::milliseconds(time)); }

sockaddr_in addressOf(const std::string& ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

int listenOn(const std::string& ip, int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = addressOf(ip, port);
    if (::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0 && ::listen(socket, 128) == 0)
        return socket;
    ::close(socket);
    return -1;
}

} // namespace

Record::Record(const std::string& path)
    : m_file(std::fopen(path.c_str(), "w"))
{
}

Record::~Record()
{
    if (m_file)
        std::fclose(m_file);
}

void Record::write(const std::string& line)
{
    const std::lock_guard lock(m_mutex);
    const double seconds = std::chrono::duration<double>(Clock::now() - m_start).count();
    if (m_file) {
        std::fprintf(m_file, "%8.3f s  %s\n", seconds, line.c_str());
        std::fflush(m_file);
    }
}

Connection::~Connection()
{
    if (m_socket >= 0)
        ::close(m_socket);
}

bool Connection::open(const std::string& ip, int port, int timeoutMs)
{
    m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const timeval timeout { timeoutMs / 1000, (timeoutMs % 1000) * 1000 };
    ::setsockopt(m_socket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    const sockaddr_in address = addressOf(ip, port);
    if (::connect(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0)
        return true;
    ::close(m_socket);
    m_socket = -1;
    return false;
}

bool Connection::send(const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool Connection::readSome(Clock::time_point until)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
    pollfd entry { m_socket, POLLIN, 0 };
    if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0)
        return false;
    char bytes[65536];
    const ssize_t count = ::recv(m_socket, bytes, sizeof(bytes), 0);
    if (count <= 0)
        return false;
    m_buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

bool Connection::readBytes(std::size_t count, int timeoutMs)
{
    const auto until = Clock::now() + std::chrono::milliseconds(timeoutMs);
    while (m_buffer.size() < count) {
        if (!readSome(until))
            return false;
    }
    return true;
}

std::string Connection::readHead(int timeoutMs)
{
    const auto until = Clock::now() + std::chrono::milliseconds(timeoutMs);
    std::size_t end = m_buffer.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!readSome(until))
            return {};
        end = m_buffer.find("\r\n\r\n");
    }
    return takeBytes(end + 4);
}

std::string Connection::takeBytes(std::size_t count)
{
    const std::string bytes = m_buffer.substr(0, count);
    m_buffer.erase(0, count);
    return bytes;
}

std::string Connection::readAll(int timeoutMs)
{
    const auto until = Clock::now() + std::chrono::milliseconds(timeoutMs);
    while (readSome(until)) { }
    return takeBytes(m_buffer.size());
}

std::string Message::field(const std::string& name) const
{
    const auto found = m_fields.find(name);
    return found == m_fields.end() ? std::string() : found->second;
}

int Message::status() const { return m_line.size() > 12 ? std::atoi(m_line.c_str() + 9) : 0; }

bool readMessage(Connection& connection, Message& message, int timeoutMs)
{
    const std::string head = connection.readHead(timeoutMs);
    if (head.empty())
        return false;
    message = Message();
    std::size_t start = 0;
    while (start < head.size()) {
        const std::size_t end = head.find("\r\n", start);
        const std::string line = head.substr(start, end - start);
        start = end + 2;
        const std::size_t colon = line.find(':');
        if (message.m_line.empty()) {
            message.m_line = line;
        } else if (colon != std::string::npos) {
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            message.m_fields[name] = value == std::string::npos ? std::string() : line.substr(value);
        }
    }
    const auto length = static_cast<std::size_t>(std::atoll(message.field("content-length").c_str()));
    if (!connection.readBytes(length, timeoutMs))
        return false;
    message.m_body = connection.takeBytes(length);
    return true;
}

Deployment::Deployment(
    Record& record, const std::string& program, const std::string& folder, int controlCount, int frontCount)
    : m_record(record)
    , m_program(program)
    , m_folder(folder)
    , m_controlCount(controlCount)
    , m_frontCount(frontCount)
{
    std::random_device random;
    for (int attempt = 0; attempt < 50; ++attempt) {
        m_network = "127." + std::to_string(20 + random() % 200);
        m_portsFree = portsAreFree();
        if (m_portsFree)
            break;
    }
}

Deployment::~Deployment()
{
    for (const auto& [name, process] : m_processes)
        ::kill(process, SIGKILL);
    for (const auto& [name, process] : m_processes)
        ::waitpid(process, nullptr, 0);
}

bool Deployment::portsAreFree() const
{
    std::vector<int> sockets;
    for (int number = 0; number < m_controlCount; ++number) {
        for (const int port : { m_controlPort, m_linkPort, m_linkPort + 1 })
            sockets.push_back(listenOn(controlIp(number), port));
    }
    for (int number = 0; number < m_frontCount; ++number) {
        for (const int port : { m_frontPort, m_readyPort, m_linkPort, m_linkPort + 1 })
            sockets.push_back(listenOn(frontIp(number), port));
    }
    for (int number = 0; number < maxBackends; ++number)
        sockets.push_back(listenOn(backendIp(number), m_backendPort));
    const bool free = std::find(sockets.begin(), sockets.end(), -1) == sockets.end();
    for (const int socket : sockets) {
        if (socket >= 0)
            ::close(socket);
    }
    return free;
}

// What the platform makes of platform/front.yaml and platform/core.yaml, with the values of Klipspoor.
void Deployment::writeSettings() const
{
    std::string seeds;
    for (int number = 0; number < std::min(3, m_controlCount); ++number)
        seeds += (number > 0 ? "," : "") + ("\"" + controlIp(number)) + ":" + std::to_string(m_controlPort) + "\"";
    const std::string common
        = "seeds:\n  addresses: [" + seeds + "]\n  link_port: " + std::to_string(m_linkPort) + "\n";
    const std::vector<std::string> zones { "dbg-north", "dbg-central", "dbg-south" };
    for (int number = 0; number < m_controlCount; ++number) {
        const std::string ip = controlIp(number);
        std::ofstream file(m_folder + "/core-" + std::to_string(number) + ".yaml");
        file << "vm:\n  id: \"core-" << number << "\"\n  data_centre: \"" << zones[number % 3]
             << "\"\nroles: [control]\ncontrol:\n  listen: " << ip << ":" << m_linkPort << "\n  api: " << ip << ":"
             << m_controlPort << "\n  data_folder: \"" << m_folder << "/data-" << number
             << "\"\n  bootstrap: true\n  endpoint_heartbeat: 1200 ms\n"
             << common << "metrics: " << ip << ":" << m_linkPort + 1 << "\nshutdown:\n  grace: 6 s\n";
    }
    for (int number = 0; number < m_frontCount; ++number) {
        const std::string ip = frontIp(number);
        std::ofstream file(m_folder + "/front-" + std::to_string(number) + ".yaml");
        file << "vm:\n  id: \"front-" << number << "\"\n  data_centre: \"" << zones[number % 3]
             << "\"\nroles: [routes]\nroutes:\n  listen: " << ip << ":" << m_frontPort << "\n  health: " << ip << ":"
             << m_readyPort << "\n  merge_port: " << m_linkPort
             << "\n  extra_load_share: 0.2\n  extra_load_calls: 129\n  quota_slack: \n"
             << common << "metrics: " << ip << ":" << m_linkPort + 1
             << "\nlimits:\n  memory_mb: 182\n  descriptors: 2870\nshutdown:\n  grace: 6 s\n";
    }
}

void Deployment::startProcess(const std::string& name)
{
    const std::string settings = "--settings=" + m_folder + "/" + name + ".yaml";
    const std::string log = m_folder + "/" + name + ".log";
    const int parent = ::getpid();
    const int process = ::fork();
    if (process == 0) {
        // The process ends with this one, however this one ends.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
            ::_exit(127);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::execl(m_program.c_str(), m_program.c_str(), settings.c_str(), nullptr);
        ::_exit(127);
    }
    m_processes[name] = process;
    m_record.write("started " + name);
}

bool Deployment::start(const std::string& configuration)
{
    if (!m_portsFree)
        return false;
    writeSettings();
    for (int number = 0; number < m_controlCount; ++number)
        startProcess("core-" + std::to_string(number));
    for (int number = 0; number < m_frontCount; ++number)
        startProcess("front-" + std::to_string(number));
    std::string answer;
    const int status = call("POST", "/api/Config.Replace", configuration, answer);
    m_record.write("operator: configuration sent, status " + std::to_string(status));
    const auto until = Clock::now() + std::chrono::seconds(20);
    for (int front = 0; front < m_frontCount;) {
        if (isReady(front))
            ++front;
        else if (Clock::now() >= until)
            return false;
        else
            sleepMs(100);
    }
    return status == 200;
}

int Deployment::call(const std::string& method, const std::string& path, const std::string& body, std::string& answer)
{
    std::string redirected;
    for (int attempt = 0; attempt < 100; ++attempt) {
        const std::string ip = redirected.empty() ? controlIp(attempt % m_controlCount) : redirected;
        redirected.clear();
        Connection connection;
        Message message;
        const std::string head = method + " " + path + " HTTP/1.1\r\nHost: " + ip
            + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        if (connection.open(ip, m_controlPort, 1000) && connection.send(head + body)
            && readMessage(connection, message, 1000)) {
            const std::string location = message.field("location");
            if (message.status() == 307 && location.rfind("http://", 0) == 0) {
                redirected = location.substr(7, location.find(':', 7) - 7);
                continue;
            }
            answer = message.m_body;
            if (message.status() < 500)
                return message.status();
        }
        sleepMs(100);
    }
    return 0;
}

bool Deployment::isReady(int front)
{
    Connection connection;
    Message message;
    return connection.open(frontIp(front), m_readyPort, 1000)
        && connection.send("GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n") && readMessage(connection, message, 1000)
        && message.status() == 200;
}

bool Deployment::isRunning(const std::string& name) { return ::waitpid(m_processes.at(name), nullptr, WNOHANG) == 0; }

Backend::Backend(Record& record, Deployment& deployment, int number, const std::string& service)
    : m_record(record)
    , m_deployment(deployment)
    , m_id("i-" + std::to_string(number))
    , m_service(service)
    , m_ip(deployment.backendIp(number))
    , m_listener(listenOn(m_ip, deployment.backendPort()))
    , m_acceptThread([this] { accept(); })
    , m_beatThread([this] { beat(); })
{
}

Backend::~Backend()
{
    m_stopped = true;
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptThread.join();
    m_beatThread.join();
    ::close(m_listener);
    {
        const std::lock_guard lock(m_mutex);
        for (const int socket : m_sockets)
            ::shutdown(socket, SHUT_RDWR);
    }
    for (std::thread& thread : m_threads)
        thread.join();
}

std::vector<Run> Backend::runs()
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

int Backend::heartbeatAgeMs() const
{
    return static_cast<int>(
        std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_heartbeatAt.load()).count());
}

void Backend::accept()
{
    while (!m_stopped) {
        const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            continue;
        const std::lock_guard lock(m_mutex);
        m_sockets.push_back(socket);
        m_threads.emplace_back([this, socket] { serve(socket); });
    }
}

void Backend::serve(int socket)
{
    Connection connection(socket);
    Message request;
    while (!m_stopped && readMessage(connection, request, 120000)) {
        const std::string id = request.field("request-id");
        const std::string expected = request.field("expect-instance");
        std::string answer = "HTTP/1.1 ";
        if (!expected.empty() && expected != m_id) {
            answer += "421 Misdirected Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n";
        } else {
            {
                const std::lock_guard lock(m_mutex);
                m_runs.push_back({ request.m_line, id, request.m_body });
            }
            m_record.write("backend " + m_id + " runs: " + request.m_line + ", Request-Id " + id + ", body of "
                + std::to_string(request.m_body.size()) + " bytes");
            const std::string body = "answer to " + id;
            answer += "200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: " + m_id + "." + id
                + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
            // The answer to HEAD has the head of the answer to GET, and no body.
            if (request.m_line.rfind("HEAD ", 0) != 0) {
                if (!connection.send(answer + "\r\n" + body))
                    return;
                continue;
            }
        }
        if (!connection.send(answer + "\r\n"))
            return;
    }
}

void Backend::beat()
{
    const auto born
        = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
              .count();
    for (int sequence = 1; !m_stopped; ++sequence) {
        std::string answer;
        const int status = m_deployment.call("POST", "/api/Instances.Heartbeat/" + m_id,
            "{\"service\":\"" + m_service + "\",\"address\":\"" + m_ip + ":"
                + std::to_string(m_deployment.backendPort())
                + "\",\"zone\":\"dbg-north\",\"version\":\"v1\",\"slots\":3,\"state\":\"ready\",\"coldRemainingMs\":0,"
                  "\"seq\":"
                + std::to_string(sequence) + ",\"born\":" + std::to_string(born) + "}",
            answer);
        if (status == 200) {
            ++m_heartbeats;
            m_heartbeatAt = Clock::now();
        }
        for (int step = 0; step < 12 && !m_stopped; ++step)
            sleepMs(100);
    }
}

std::string configuration(
    int version, const std::vector<std::pair<std::string, std::string>>& routes, const std::string& routeType)
{
    std::string routeList;
    std::string serviceList;
    for (const auto& [prefix, service] : routes) {
        const char* comma = routeList.empty() ? "" : ",";
        routeList += comma + ("{\"name\":\"r-" + prefix) + "\",\"hostname\":\"" + host + "\",\"pathPrefix\":\"/"
            + prefix + "/\",\"routeType\":\"" + routeType
            + "\",\"timeoutMs\":2500,\"targetLatencyMs\":600,\"priority\":2,\"service\":\"" + service
            + "\",\"maxAttempts\":2}";
        serviceList += comma + ("{\"name\":\"" + service)
            + "\",\"healthPath\":\"/health\",\"maxConnections\":91,\"protocol\":\"h1\",\"tls\":false}";
    }
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routeList + "],\"services\":[" + serviceList
        + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":"
          "15000"
          "}}";
}

std::string printable(const std::string& bytes)
{
    std::string text;
    for (const char c : bytes) {
        if (c == '\r')
            text += "\\r";
        else if (c == '\n')
            text += "\\n";
        else
            text += c;
    }
    return text;
}

bool troubleWanted()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

} // namespace review
