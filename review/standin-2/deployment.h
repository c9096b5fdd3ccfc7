#pragma once

// Stand-ins for the platform, the operator, backends and consumers of a small deployment, for the cases of the review.
// They follow PROTOCOL.md and use plain blocking sockets and threads.

#include <atomic>
#include <chrono>
#include <cstdio>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

/** Writes lines with the time since its creation to a file. Thread-safe. */
class Record {
public:
    explicit Record(const std::string& path);
    ~Record();
    void write(const std::string& line);

private:
    std::mutex m_mutex;
    std::FILE* m_file;
    std::chrono::steady_clock::time_point m_start = std::chrono::steady_clock::now();
};

/** A TCP connection. Functions return false, or what was read so far, on an error or a timeout. */
class Connection {
public:
    explicit Connection(int socket = -1)
        : m_socket(socket)
    {
    }
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    bool open(const std::string& ip, int port, int timeoutMs);
    bool send(const std::string& bytes);
    /** Reads until the buffer has the given number of bytes. */
    bool readBytes(std::size_t count, int timeoutMs);
    /** Reads until the buffer contains an empty line; returns the head with that line, and removes it. */
    std::string readHead(int timeoutMs);
    std::string takeBytes(std::size_t count);
    /** Reads until the peer closes or the time has passed. */
    std::string readAll(int timeoutMs);
    bool isOpen() const { return m_socket >= 0; }

private:
    bool readSome(std::chrono::steady_clock::time_point until);

    int m_socket;
    std::string m_buffer;
};

/** A message as received: first line, fields with names in lower case, and body. */
struct Message {
    std::string m_line;
    std::map<std::string, std::string> m_fields;
    std::string m_body;

    std::string field(const std::string& name) const;
    int status() const;
};

/** Reads a message whose body has a length. Returns false on an error or a timeout. */
bool readMessage(Connection& connection, Message& message, int timeoutMs);

/** The processes of the system, on loopback addresses of their own, and calls of the operator. */
class Deployment {
public:
    /** Uses the folder, which the caller removes, for settings, logs and data. Call it on the main thread. */
    Deployment(Record& record, const std::string& program, const std::string& folder, int controlCount, int frontCount);
    ~Deployment();

    /** Starts all processes, sends the configuration, and waits until all front processes are ready. */
    bool start(const std::string& configuration);
    /** Calls the control interface; tries the next process and follows redirects as PROTOCOL.md says. */
    int call(const std::string& method, const std::string& path, const std::string& body, std::string& answer);
    bool isReady(int front);
    bool isRunning(const std::string& name);

    std::string backendIp(int number) const { return m_network + ".3." + std::to_string(number + 1); }
    std::string frontIp(int number) const { return m_network + ".2." + std::to_string(number + 1); }
    int frontPort() const { return m_frontPort; }
    int backendPort() const { return m_backendPort; }

private:
    std::string controlIp(int number) const { return m_network + ".1." + std::to_string(number + 1); }
    bool portsAreFree() const;
    void writeSettings() const;
    void startProcess(const std::string& name);

    Record& m_record;
    std::string m_program;
    static constexpr int maxBackends = 8;

    std::string m_folder;
    std::string m_network;
    int m_controlCount;
    int m_frontCount;
    int m_controlPort = 18106;
    int m_frontPort = 18104;
    int m_readyPort = 18108;
    int m_backendPort = 18200;
    int m_linkPort = 17380;
    bool m_portsFree = false;
    std::map<std::string, int> m_processes;
};

/** A request that a backend has run. */
struct Run {
    std::string m_line;
    std::string m_id;
    std::string m_body;
};

/** A backend that answers each request at once, and sends heartbeats. */
class Backend {
public:
    Backend(Record& record, Deployment& deployment, int number, const std::string& service);
    ~Backend();
    std::vector<Run> runs();
    /** Returns how many heartbeats were acknowledged. */
    int heartbeats() const { return m_heartbeats; }
    /** Returns the time since the last acknowledged heartbeat. */
    int heartbeatAgeMs() const;

private:
    void accept();
    void serve(int socket);
    void beat();

    Record& m_record;
    Deployment& m_deployment;
    std::string m_id;
    std::string m_service;
    std::string m_ip;
    int m_listener = -1;
    std::atomic<bool> m_stopped { false };
    std::atomic<int> m_heartbeats { 0 };
    std::atomic<std::chrono::steady_clock::time_point> m_heartbeatAt { std::chrono::steady_clock::time_point() };
    std::mutex m_mutex;
    std::vector<Run> m_runs;
    std::vector<std::thread> m_threads;
    std::vector<int> m_sockets;
    std::thread m_acceptThread;
    std::thread m_beatThread;
};

/** Returns a configuration with a route for "/PREFIX/" to one service for each pair of a prefix and a service. */
std::string configuration(int version, const std::vector<std::pair<std::string, std::string>>& routes,
    const std::string& routeType = "idempotent");

/** Returns bytes with control characters as escapes, for the record. */
std::string printable(const std::string& bytes);

/** Returns whether the environment asks for the disturbance. */
bool troubleWanted();

constexpr char host[] = "consumer.example";

} // namespace review
