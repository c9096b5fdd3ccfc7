#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace flamingo::bench {

class LogicalEndpoint;

/** One connection to a logical endpoint. Not thread-safe. */
class Session : public std::enable_shared_from_this<Session> {
public:
    enum class State {
        Reading,
        Waiting, // for a slot
        Running,
        Answering,
        Silent,
        Closed,
    };

    Session(LogicalEndpoint& endpoint, boost::asio::ip::tcp::socket socket);

    /** Reads the first request after the delay. */
    void start(Milliseconds delay);

    /** Calls LogicalEndpoint::finishExecution() after the service time. */
    void run(Microseconds serviceTime);

    /** Writes an answer that repeats the X-Flamingo headers of the request, then reads the next request. */
    void answer(unsigned status, std::string body, bool notRun, Milliseconds retryAfter, double load);

    /** Never answers on this connection again. */
    void silence();

    /** Closes the connection without notifying the endpoint. */
    void close();

    bool isQuery() const;

    /** Returns a header of the request, empty if it is missing. */
    std::string header(const char* name) const;

    /** Returns a header of the request as a number, 0 if it is missing or not a number. */
    std::uint64_t numericHeader(const char* name) const;

    State m_state = State::Reading;
    MonotonicTime m_deadline;
    boost::beast::http::request<boost::beast::http::string_body> m_request;

private:
    void read();
    void onRequest();
    void watchForClose();
    void onConnectionLost();

    LogicalEndpoint* m_endpoint; // null once closed
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> m_parser;
    std::string m_answer;
    bool m_watching = false;
};

} // namespace flamingo::bench
