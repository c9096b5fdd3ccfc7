#pragma once

#include <boost/asio.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace flamingo::test {

/**
 * TCP relay whose connections can go silent without being closed, as behind a silent partition, be delayed or reset.
 *
 * Runs on its own thread. All methods are thread-safe, and they are in effect when they return.
 */
class FaultRelay {
public:
    /** Listens on an IP address (port 0: chosen) and forwards to a target, which is connected to lazily. */
    FaultRelay(
        const std::string& address, std::uint16_t port, const std::string& targetAddress, std::uint16_t targetPort)
        : m_target(boost::asio::ip::make_address(targetAddress), targetPort)
        , m_acceptor(m_io, { boost::asio::ip::make_address(address), port })
        , m_port(m_acceptor.local_endpoint().port())
    {
        accept();
        m_thread = std::thread([this] { m_io.run(); });
    }

    ~FaultRelay()
    {
        m_io.stop();
        m_thread.join();
    }
    FaultRelay(const FaultRelay&) = delete;
    FaultRelay& operator=(const FaultRelay&) = delete;

    std::uint16_t port() const { return m_port; }

    /** Forwards nothing more on the connections now open, for good. New connections work. */
    void silenceOpenConnections()
    {
        onLoop([this] {
            for (const auto& pair : m_pairs)
                pair->m_silent = true;
        });
    }

    /** While set, new connections are accepted and carry nothing, and the open ones are silenced. */
    void setSilent(bool silent)
    {
        onLoop([this, silent] { m_silent = silent; });
        if (silent)
            silenceOpenConnections();
    }

    /** While set, nothing that the callee sends reaches the caller; the other direction works. */
    void setOneWay(bool oneWay)
    {
        onLoop([this, oneWay] { m_oneWay = oneWay; });
    }

    /** Holds back what arrives from now on, in both directions, for this long. */
    void setDelay(std::chrono::milliseconds delay)
    {
        onLoop([this, delay] { m_delay = delay; });
    }

    /** Closes all open connections. */
    void closeConnections()
    {
        onLoop([this] {
            for (const auto& pair : m_pairs)
                pair->close();
        });
    }

    /** Returns the number of connections accepted so far. */
    std::uint64_t acceptedCount() const { return m_accepted; }

private:
    using Socket = boost::asio::ip::tcp::socket;
    using Error = boost::system::error_code;

    struct Pair : std::enable_shared_from_this<Pair> {
        Pair(Socket caller, const FaultRelay& relay)
            : m_relay(relay)
            , m_caller(std::move(caller))
            , m_callee(m_caller.get_executor())
            , m_callerTimer(m_caller.get_executor())
            , m_calleeTimer(m_caller.get_executor())
        {
        }
        void close()
        {
            Error ignored;
            m_caller.close(ignored);
            m_callee.close(ignored);
        }
        void pump(Socket& from, Socket& to, std::array<char, 16384>& buffer)
        {
            from.async_read_some(boost::asio::buffer(buffer),
                [this, self = shared_from_this(), &from, &to, &buffer](Error error, std::size_t count) {
                    // A silent pair leaves both sockets open and also hides that one side closed.
                    if (m_silent) {
                        if (!error)
                            pump(from, to, buffer);
                        return;
                    }
                    if (error) {
                        close();
                        return;
                    }
                    if (m_relay.m_oneWay && &from == &m_callee) {
                        pump(from, to, buffer);
                        return;
                    }
                    pass(from, to, buffer, count);
                });
        }
        void pass(Socket& from, Socket& to, std::array<char, 16384>& buffer, std::size_t count)
        {
            const auto write = [this, self = shared_from_this(), &from, &to, &buffer, count](Error) {
                boost::asio::async_write(to, boost::asio::buffer(buffer, count),
                    [this, self, &from, &to, &buffer](Error failed, std::size_t) {
                        if (failed && !m_silent)
                            close();
                        else if (!failed)
                            pump(from, to, buffer);
                    });
            };
            if (m_relay.m_delay.count() == 0)
                return write(Error());
            boost::asio::steady_timer& timer = &from == &m_caller ? m_callerTimer : m_calleeTimer;
            timer.expires_after(m_relay.m_delay);
            timer.async_wait(write);
        }
        const FaultRelay& m_relay;
        Socket m_caller;
        Socket m_callee;
        boost::asio::steady_timer m_callerTimer;
        boost::asio::steady_timer m_calleeTimer;
        std::array<char, 16384> m_fromCaller {};
        std::array<char, 16384> m_fromCallee {};
        bool m_silent = false;
    };

    template <typename Action> void onLoop(Action action)
    {
        boost::asio::post(m_io, boost::asio::use_future(action)).get();
    }

    void accept()
    {
        m_acceptor.async_accept([this](Error error, Socket socket) {
            if (error)
                return;
            ++m_accepted;
            const auto pair = std::make_shared<Pair>(std::move(socket), *this);
            pair->m_silent = m_silent;
            // Closed pairs are dropped; a silent one stays open although its other side closed.
            m_pairs.erase(std::remove_if(m_pairs.begin(), m_pairs.end(),
                              [](const auto& each) { return !each->m_caller.is_open(); }),
                m_pairs.end());
            m_pairs.push_back(pair);
            pair->m_callee.async_connect(m_target, [pair](Error failed) {
                if (failed) {
                    pair->close();
                    return;
                }
                pair->pump(pair->m_caller, pair->m_callee, pair->m_fromCaller);
                pair->pump(pair->m_callee, pair->m_caller, pair->m_fromCallee);
            });
            accept();
        });
    }

    boost::asio::io_context m_io;
    const boost::asio::ip::tcp::endpoint m_target;
    boost::asio::ip::tcp::acceptor m_acceptor;
    const std::uint16_t m_port;
    std::vector<std::shared_ptr<Pair>> m_pairs;
    bool m_silent = false;
    bool m_oneWay = false;
    std::chrono::milliseconds m_delay { 0 };
    std::atomic<std::uint64_t> m_accepted { 0 };
    std::thread m_thread;
};

} // namespace flamingo::test
