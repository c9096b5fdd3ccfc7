// Another writer reports the addresses of two sound backends under a service that no configuration names. The sound
// backends go on and send their heartbeats; requests on their route, which was added later, have to be served.

#include "deployment.h"

#include <cstdio>
#include <memory>

using namespace review;

namespace {

constexpr int requestCount = 40;

/** Sends requests on the route to both front processes in turn, over ten seconds; returns how many got a 200. */
int countServed(Deployment& deployment, Record& record, const std::string& prefix)
{
    int served = 0;
    for (int number = 0; number < requestCount; ++number) {
        const std::string id = prefix + "-" + std::to_string(number);
        Connection connection;
        Message answer;
        const bool answered = connection.open(deployment.frontIp(number % 2), deployment.frontPort(), 1000)
            && connection.send("GET /" + prefix + "/" + std::to_string(number) + " HTTP/1.1\r\nHost: " + host
                + "\r\nRequest-Id: " + id + "\r\nRequest-Deadline: 2000\r\n\r\n")
            && readMessage(connection, answer, 2500);
        record.write("consumer: GET /" + prefix + "/" + std::to_string(number) + ", answered "
            + (answered ? answer.m_line + ", Server-Stamp " + answer.field("server-stamp") : std::string("not")));
        served += answered && answer.status() == 200 ? 1 : 0;
        std::this_thread::sleep_for(std::chrono::milliseconds(250));
    }
    return served;
}

void reportOfOtherWriter(Deployment& deployment, Record& record, int number)
{
    const auto born
        = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
              .count();
    const std::string body = "{\"service\":\"not-a-service-of-this-system\",\"address\":\""
        + deployment.backendIp(number) + ":" + std::to_string(deployment.backendPort())
        + "\",\"zone\":\"dbg-north\",\"version\":\"v1\",\"slots\":3,\"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":"
          "1,\"born\":"
        + std::to_string(born) + "}";
    std::string answer;
    const std::string path = "/api/Instances.Heartbeat/other-" + std::to_string(number);
    const int status = deployment.call("POST", path, body, answer);
    record.write("other writer: " + path + " " + body + ", status " + std::to_string(status));
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4)
        return 2;
    Record record(argv[2]);
    Deployment deployment(record, argv[1], argv[3], 5, 2);
    std::vector<std::unique_ptr<Backend>> backends;
    for (int number = 0; number < 4; ++number)
        backends.push_back(std::make_unique<Backend>(record, deployment, number, number < 2 ? "muster" : "invoicing"));
    if (!deployment.start(configuration(1, { { "a", "muster" } })))
        return 2;
    std::string answer;
    if (deployment.call(
            "POST", "/api/Config.Replace", configuration(2, { { "a", "muster" }, { "b", "invoicing" } }), answer)
        != 200)
        return 2;
    record.write("operator: configuration 2 acknowledged, with a second route");
    std::this_thread::sleep_for(std::chrono::seconds(4));
    // Both routes are served before the disturbance.
    if (countServed(deployment, record, "a") == 0 || countServed(deployment, record, "b") == 0)
        return 2;

    if (troubleWanted()) {
        reportOfOtherWriter(deployment, record, 2);
        reportOfOtherWriter(deployment, record, 3);
    }
    // More than four heartbeats of each sound backend are acknowledged meanwhile.
    std::this_thread::sleep_for(std::chrono::seconds(15));
    const int first = countServed(deployment, record, "a");
    const int later = countServed(deployment, record, "b");
    for (int number = 2; number < 4; ++number)
        record.write("backend i-" + std::to_string(number) + ": " + std::to_string(backends[number]->heartbeats())
            + " heartbeats acknowledged, the last one " + std::to_string(backends[number]->heartbeatAgeMs())
            + " ms ago");
    record.write("served on the first route " + std::to_string(first) + " of " + std::to_string(requestCount)
        + ", on the route added later " + std::to_string(later) + " of " + std::to_string(requestCount));
    const bool broken = later * 4 < first;
    std::puts(broken ? "CONFIG: broken" : "CONFIG: held");
    return broken ? 1 : 0;
}
