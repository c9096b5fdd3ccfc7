// Measures the processor time that EndpointClient takes for one call, without the time of the server.
//
// The server runs on its own thread and answers each request with fixed bytes. Prints CSV: calls in flight, endpoints
// known, calls, microseconds of processor time of the client's thread for each call, and the part of it in user mode.

#include "endpoint/endpointclient.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <sys/resource.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

using namespace flamingo;
namespace asio = boost::asio;

namespace {

constexpr int callsPerRun = 200000;
constexpr std::size_t answerBodyBytes = 600; // five hits
constexpr std::size_t bufferBytes = 8192;

/** Answers whenever a read ends with '}', the last byte of each request; parses nothing else. */
class Responder : public std::enable_shared_from_this<Responder> {
public:
    explicit Responder(asio::ip::tcp::socket socket)
        : m_socket(std::move(socket))
    {
        m_socket.set_option(asio::ip::tcp::no_delay(true));
        m_answer = "HTTP/1.1 200 OK\r\nX-Flamingo-Request: 1700000000-0123456789abcdef\r\nX-Flamingo-Attempt: 1\r\n"
                   "X-Flamingo-Snapshot: 7\r\nX-Flamingo-Layout: 1\r\nX-Flamingo-Shard: 11\r\nX-Flamingo-Load: 0.25\r\n"
                   "Content-Type: application/json\r\nContent-Length: "
            + std::to_string(answerBodyBytes) + "\r\n\r\n" + std::string(answerBodyBytes, ' ');
    }

    void read()
    {
        m_socket.async_read_some(
            asio::buffer(m_buffer), [self = shared_from_this()](boost::system::error_code error, std::size_t bytes) {
                if (error)
                    return;
                if (bytes > 0 && self->m_buffer[bytes - 1] == '}')
                    self->write();
                else
                    self->read();
            });
    }

private:
    void write()
    {
        asio::async_write(m_socket, asio::buffer(m_answer),
            [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                if (!error)
                    self->read();
            });
    }

    asio::ip::tcp::socket m_socket;
    std::array<char, bufferBytes> m_buffer;
    std::string m_answer;
};

void acceptAll(asio::ip::tcp::acceptor& acceptor)
{
    acceptor.async_accept([&acceptor](boost::system::error_code error, asio::ip::tcp::socket socket) {
        if (error)
            return;
        std::make_shared<Responder>(std::move(socket))->read();
        acceptAll(acceptor);
    });
}

struct ThreadTime {
    double m_user = 0; // microseconds
    double m_system = 0;
};

ThreadTime threadTime()
{
    rusage usage {};
    getrusage(RUSAGE_THREAD, &usage);
    const auto microseconds = [](const timeval& time) { return double(time.tv_sec) * 1e6 + double(time.tv_usec); };
    return { microseconds(usage.ru_utime), microseconds(usage.ru_stime) };
}

void measure(std::uint16_t port, int inFlight, int endpointsKnown)
{
    asio::io_context context(1);
    EndpointClient client(context);
    EndpointLimits limits;
    limits.m_maxConnections = 1;
    for (int i = 0; i < endpointsKnown; ++i)
        client.setLimits(EndpointId("endpoint-" + std::to_string(i)), limits);
    int started = 0;
    int answered = 0;
    std::function<void(int)> startCall = [&](int endpoint) {
        ++started;
        EndpointCall call;
        call.m_endpoint = EndpointId("endpoint-" + std::to_string(endpoint));
        call.m_address = "127.0.0.1";
        call.m_port = port;
        call.m_path = "/shard/query";
        call.m_request = RequestId("1700000000-0123456789abcdef");
        call.m_kind = "query";
        call.m_body = R"({"text":"comfort in autumn","limit":10})";
        call.m_deadline = monotonicNow() + std::chrono::seconds(1);
        client.start(std::move(call), [&, endpoint](const EndpointReply& reply) {
            if (reply.m_outcome != CallOutcome::Answered) {
                std::fprintf(stderr, "call failed: %s\n", reply.m_text.c_str());
                std::exit(1);
            }
            ++answered;
            if (started < callsPerRun)
                startCall(endpoint);
        });
    };
    for (int i = 0; i < inFlight; ++i)
        startCall(i);
    while (answered < inFlight)
        context.run_one();
    const int before = answered;
    const ThreadTime from = threadTime();
    while (answered < callsPerRun)
        context.run_one();
    const ThreadTime to = threadTime();
    const double calls = answered - before;
    std::printf("%d,%d,%.0f,%.2f,%.2f\n", inFlight, endpointsKnown, calls,
        (to.m_user + to.m_system - from.m_user - from.m_system) / calls, (to.m_user - from.m_user) / calls);
    std::fflush(stdout);
}

} // namespace

int main()
{
    asio::io_context serverContext(1);
    asio::ip::tcp::acceptor acceptor(serverContext, { asio::ip::make_address("127.0.0.1"), 0 });
    acceptAll(acceptor);
    std::thread server([&serverContext] { serverContext.run(); });
    std::puts("in_flight,endpoints_known,calls,us_per_call,us_user_per_call");
    for (const int inFlight : { 1, 20, 100, 400 })
        measure(acceptor.local_endpoint().port(), inFlight, 1000);
    for (const int known : { 400, 10000 })
        measure(acceptor.local_endpoint().port(), 400, known);
    serverContext.stop();
    server.join();
}
