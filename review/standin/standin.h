#pragma once

#include <atomic>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

/** Milliseconds of the steady clock since the start of the program. */
std::int64_t nowMs();
void sleepMs(std::int64_t ms);

/** Opens the file that the variable RECORD names, or record.txt. */
void openRecord();
/** Appends a line with the time to the record. Thread-safe. */
void record(const std::string& line);

/** Whether the disruption is wanted: the variable TROUBLE is not 0. */
bool troubleWanted();

using Fields = std::multimap<std::string, std::string>; // names in lower case

struct Message {
    std::string m_start; // request line or status line
    Fields m_fields;
    std::string m_body;
    bool m_complete = false;

    std::string field(const std::string& name) const;
    int status() const; // of an answer; 0 if it is not complete
    std::string method() const;
    std::string target() const;
};

/** Sends bytes on a new connection and reads one answer. */
Message exchange(const std::string& ip, int port, const std::string& bytes, std::int64_t timeoutMs);

/** A server that gives each connection a thread. The handler returns the bytes of the answer; empty closes. */
class Server {
public:
    using Handler = std::function<std::string(const Message&)>;

    Server(std::string ip, int port, Handler handler);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    /** While set, nothing is read, answered or accepted: a silent cut. */
    std::atomic<bool> m_silent { false };

private:
    void accept();
    void serve(int connection);

    std::string m_ip;
    int m_port;
    Handler m_handler;
    int m_listener = -1;
    std::atomic<bool> m_stop { false };
    std::atomic<int> m_open { 0 };
    std::thread m_thread;
};

/** Address of a control process's API. */
struct Address {
    std::string m_ip;
    int m_port = 0;
};

/** Processes of the project on loopback addresses of their own, with settings as the templates of platform/ give. */
class System {
public:
    System(int cores, int fronts);
    ~System();
    System(const System&) = delete;
    System& operator=(const System&) = delete;

    std::string coreIp(int number) const { return m_network + ".1." + std::to_string(number); }
    std::string frontIp(int number) const { return m_network + ".2." + std::to_string(number); }
    std::string backendIp(int number) const { return m_network + ".3." + std::to_string(number); }
    int cores() const { return m_cores; }
    int fronts() const { return m_fronts; }

    static constexpr int controlPort = 8106;
    static constexpr int frontPort = 8104;
    static constexpr int readyPort = 8108;
    static constexpr int backendPort = 8080;

    /** Calls a control process, follows redirects and moves on to the next one. Returns the answer, or status 0. */
    Message callControl(const std::string& method, const std::string& path, const std::string& body, int patienceMs);

    /** Sends the configuration until it is acknowledged; false if that takes too long. */
    bool configure(const std::string& body);

    /** Waits until all fronts are ready; false if that takes too long. */
    bool waitReady();

    /** Whether all processes still run that were not killed by killCore(). */
    bool allRun();

    /** Kills a core process and empties its data folder. */
    void killCore(int number);
    /** Starts a core process that was killed. Its settings no longer allow a new cluster. */
    void restartCore(int number);

private:
    void start(const std::string& name, const std::string& settings);
    std::string coreSettings(int number, bool bootstrap) const;

    std::string m_network;
    std::string m_folder;
    std::string m_seeds; // the end of all settings
    int m_cores;
    int m_fronts;
    std::map<std::string, int> m_processes;
    std::atomic<unsigned> m_next { 0 };
};

/** Calls the handler every periodMs in a thread until it is destroyed. */
class Repeater {
public:
    Repeater(std::int64_t periodMs, std::function<void()> handler);
    ~Repeater();
    Repeater(const Repeater&) = delete;
    Repeater& operator=(const Repeater&) = delete;

private:
    std::atomic<bool> m_stop { false };
    std::thread m_thread;
};

} // namespace review
