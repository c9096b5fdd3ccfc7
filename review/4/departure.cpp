// A backend is cut off from all machines for some seconds. After the cut it leaves by a Deregister, which is
// acknowledged. A liveness report that it had sent during the cut arrives later. Looks for requests that reach the
// backend later than drainMs after the acknowledgement.
#include "../standin/standin.h"

#include <cstdio>
#include <memory>

using namespace review;

namespace {

constexpr int backendCount = 4;
constexpr int leaving = 1;
constexpr std::int64_t cutMs = 9500;
constexpr std::int64_t drainMs = 3000;
constexpr std::int64_t servesMs = 9000; // after the acknowledgement: drainMs and a little longer
constexpr std::int64_t lateReportMs = 700; // after the acknowledgement
constexpr std::int64_t requestPeriodMs = 40;

std::atomic<bool> cut { false };
std::atomic<bool> reports { true }; // whether the leaving backend still sends liveness reports
std::atomic<std::int64_t> acknowledgedAt { -1 };
std::atomic<int> lateArrivals { 0 };
std::mutex requestsMutex;
std::map<std::string, std::int64_t> sentAt;

std::string backendId(int number) { return "i-" + std::to_string(number); }

std::string report(const std::string& ip, int sequence)
{
    return R"({"service":"order-desk","address":")" + ip + ":" + std::to_string(System::backendPort)
        + R"(","zone":"zone-a","version":"v1","slots":3,"state":"ready","coldRemainingMs":0,"seq":)"
        + std::to_string(sequence) + R"(,"born":1700000000000})";
}

std::string handle(int number, const Message& request)
{
    const std::string id = request.field("request-id");
    const std::string expected = request.field("expect-instance");
    if (!expected.empty() && expected != backendId(number))
        return "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + id
            + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    const std::int64_t acknowledged = acknowledgedAt;
    if (number == leaving && acknowledged >= 0) {
        const std::int64_t after = nowMs() - acknowledged;
        std::int64_t sent = 0;
        {
            const std::lock_guard<std::mutex> lock(requestsMutex);
            sent = sentAt[id];
        }
        record("request " + id + " reaches the departed i-1 " + std::to_string(after)
            + " ms after the acknowledgement; the consumer sent it after " + std::to_string(sent - acknowledged)
            + " ms");
        if (after > drainMs && sent - acknowledged > drainMs)
            ++lateArrivals;
    }
    sleepMs(20);
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: 3e1b.0" + std::to_string(number) + "." + id
        + ".c9f2a4d1\r\nServer-Load: 1,0,3\r\nContent-Length: 2\r\n\r\nok";
}

std::string configuration()
{
    return R"({"version":7,"routes":[{"name":"r-roster","hostname":"hollow.example","pathPrefix":"/roster/",)"
           R"("routeType":"idempotent","timeoutMs":10000,"targetLatencyMs":600,"priority":2,"service":"order-desk",)"
           R"("maxAttempts":2}],"services":[{"name":"order-desk","healthPath":"/health","maxConnections":91,)"
           R"("protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
           R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

} // namespace

int main()
{
    openRecord();
    std::atomic<int> answered { 0 };
    {
        System system(3, 3);
        std::vector<std::unique_ptr<Server>> backends;
        std::vector<std::unique_ptr<Repeater>> beats;
        std::atomic<int> leaverSequence { 0 };
        for (int number = 1; number <= backendCount; ++number) {
            const std::string ip = system.backendIp(number);
            backends.push_back(std::make_unique<Server>(
                ip, System::backendPort, [number](const Message& request) { return handle(number, request); }));
            const auto sequence = std::make_shared<int>(0);
            beats.push_back(std::make_unique<Repeater>(1200, [&, number, ip, sequence] {
                if (number == leaving && (cut || !reports))
                    return;
                const int current = number == leaving ? ++leaverSequence : ++*sequence;
                system.callControl("POST", "/api/Instances.Heartbeat/" + backendId(number), report(ip, current), 1100);
            }));
        }
        if (!system.configure(configuration()) || !system.waitReady()) {
            record("the system did not get ready");
            return 2;
        }
        sleepMs(2000);
        std::atomic<int> counter { 0 };
        std::atomic<bool> stop { false };
        std::vector<std::thread> consumers;
        for (int front = 1; front <= system.fronts(); ++front) {
            consumers.emplace_back([&, front] {
                while (!stop) {
                    const std::string id = "9c41d07b" + std::to_string(100000 + counter++);
                    {
                        const std::lock_guard<std::mutex> lock(requestsMutex);
                        sentAt[id] = nowMs();
                    }
                    const Message answer = exchange(system.frontIp(front), System::frontPort,
                        "GET /roster/" + id + " HTTP/1.1\r\nHost: hollow.example\r\nRequest-Id: " + id
                            + "\r\nRequest-Deadline: 3000\r\n\r\n",
                        3500);
                    answered += answer.status() == 200 ? 1 : 0;
                    sleepMs(requestPeriodMs);
                }
            });
        }
        sleepMs(3000);
        // A report that is on its way when the cut begins, or is sent during it, arrives only later.
        const int heldSequence = ++leaverSequence;
        if (troubleWanted()) {
            record("i-1 is cut off from all machines");
            cut = true;
            backends[leaving - 1]->m_silent = true;
        }
        sleepMs(cutMs);
        backends[leaving - 1]->m_silent = false;
        if (cut)
            record("the cut of i-1 ends");
        reports = false;
        cut = false;
        sleepMs(50);
        const Message gone = system.callControl(
            "POST", "/api/Instances.Deregister/" + backendId(leaving), R"({"born":1700000000000})", 3000);
        if (gone.status() != 200)
            return 2;
        acknowledgedAt = nowMs();
        record("the departure of i-1 is acknowledged");
        sleepMs(lateReportMs);
        const Message late = system.callControl("POST", "/api/Instances.Heartbeat/" + backendId(leaving),
            report(system.backendIp(leaving), heldSequence), 1100);
        record("the late liveness report of i-1 arrives, answered " + std::to_string(late.status()));
        sleepMs(servesMs - lateReportMs);
        record("i-1 exits");
        stop = true;
        for (std::thread& consumer : consumers)
            consumer.join();
        if (!system.allRun())
            return 2;
        beats.clear();
        backends.clear();
    }
    if (answered < 100) {
        record("too few answers");
        return 2;
    }
    const std::string result = "requests that reached the departed backend too late: " + std::to_string(lateArrivals)
        + ", answers: " + std::to_string(answered);
    record(result);
    std::printf("%s\n", result.c_str());
    return lateArrivals > 0 ? 1 : 0;
}
