#pragma once

#include "api/apiserver.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <mutex>
#include <string>
#include <vector>

namespace flamingo::test {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

constexpr char apiAddress[] = "127.0.20.1";

/** A response as the client received it. */
struct HttpResponse {
    unsigned m_status = 0;
    std::map<std::string, std::string> m_headers;
    std::string m_body;
    nlohmann::json json() const { return nlohmann::json::parse(m_body); }
};

/** One connection to the server, for well-formed requests and for raw bytes. */
class ApiConnection {
public:
    explicit ApiConnection(std::uint16_t port)
        : m_socket(m_io)
    {
        m_socket.connect({ boost::asio::ip::make_address(apiAddress), port });
        // If the server never answers, the read fails after 30 s instead of blocking the test.
        const timeval limit { 30, 0 };
        setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    }

    HttpResponse call(http::verb method, const std::string& target, const std::string& body = "")
    {
        http::request<http::string_body> request(method, target, 11);
        request.set(http::field::host, apiAddress);
        request.body() = body;
        request.prepare_payload();
        boost::system::error_code ignored; // read() shows whether the server answered
        http::write(m_socket, request, ignored);
        return read(method == http::verb::head);
    }

    /** Sends the bytes unchanged. Returns false once the server has closed the connection. */
    bool send(const std::string& bytes)
    {
        boost::system::error_code error;
        boost::asio::write(m_socket, boost::asio::buffer(bytes), error);
        return !error;
    }

    /** Reads one response; its status is 0 if the server closed the connection without one. */
    HttpResponse read(bool headOnly = false)
    {
        http::response_parser<http::string_body> parser;
        parser.body_limit(64u << 20);
        parser.skip(headOnly);
        boost::system::error_code error;
        http::read(m_socket, m_buffer, parser, error);
        HttpResponse response;
        if (error)
            return response;
        response.m_status = parser.get().result_int();
        for (const auto& field : parser.get())
            response.m_headers[std::string(field.name_string())] = std::string(field.value());
        response.m_body = parser.get().body();
        return response;
    }

    /** Returns whether the server closes the connection; waits for that. */
    bool isClosedByServer()
    {
        char byte = 0;
        boost::system::error_code error;
        boost::asio::read(m_socket, boost::asio::buffer(&byte, 1), error);
        return error == boost::asio::error::eof || error == boost::asio::error::connection_reset;
    }

    tcp::socket& socket() { return m_socket; }

private:
    boost::asio::io_context m_io;
    tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
};

/** A running server whose handlers record the requests and return the configured answers. */
struct ApiFixture {
    explicit ApiFixture(ApiSettings settings = {})
        : m_server(withAddress(settings), handlers())
    {
        Reason reason;
        const bool started = m_server.start(reason);
        INFO(reason.m_text);
        REQUIRE(started);
    }

    static ApiSettings withAddress(ApiSettings settings)
    {
        settings.m_address = apiAddress;
        return settings;
    }

    ApiHandlers handlers()
    {
        ApiHandlers handlers;
        handlers.m_query = [this](const QueryRequest& query) {
            const std::lock_guard lock(m_mutex);
            m_queries.push_back(query);
            return m_onQuery ? m_onQuery(query) : m_queryAnswer;
        };
        handlers.m_request = [this](const CallerRequest& request) {
            const std::lock_guard lock(m_mutex);
            m_requests.push_back(request);
            return m_callerAnswer;
        };
        handlers.m_announce = [this](const Announcement& announcement) {
            const std::lock_guard lock(m_mutex);
            m_announcements.push_back(announcement);
            return m_announcementAnswer;
        };
        handlers.m_statement = [this](const StatementRequest& statement) {
            const std::lock_guard lock(m_mutex);
            m_statements.push_back(statement);
            return m_statementAnswer;
        };
        handlers.m_commandStatus = [this](const CommandStatusRequest& request) {
            const std::lock_guard lock(m_mutex);
            m_statusRequests.push_back(request);
            return CommandStatusAnswer { ResultCode::Ok, "", {}, true, 3, 3, {} };
        };
        handlers.m_health = [this] { return m_health; };
        handlers.m_metrics = [] { return std::string("# HELP x y\n"); };
        return handlers;
    }

    HttpResponse post(const std::string& target, const std::string& body)
    {
        return ApiConnection(m_server.port()).call(http::verb::post, target, body);
    }
    HttpResponse get(const std::string& target) { return ApiConnection(m_server.port()).call(http::verb::get, target); }

    std::mutex m_mutex;
    std::vector<QueryRequest> m_queries;
    std::vector<CallerRequest> m_requests;
    std::vector<Announcement> m_announcements;
    std::vector<StatementRequest> m_statements;
    std::vector<CommandStatusRequest> m_statusRequests;
    std::function<QueryAnswer(QueryRequest)> m_onQuery;
    QueryAnswer m_queryAnswer;
    CallerAnswer m_callerAnswer;
    AnnouncementAnswer m_announcementAnswer;
    StatementAnswer m_statementAnswer;
    HealthAnswer m_health { true, "serving" };
    ApiServer m_server; // last member, so that its threads end before the other members are destroyed
};

} // namespace flamingo::test
