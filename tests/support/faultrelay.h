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
 * TCP relay that injects faults: it can stop forwarding without closing the connections, as in a network partition, and
 * delay or close connections.
 *
 * Runs on its own thread. All methods are thread-safe, and their effect is in place when they return.
 */
class FaultRelay {
public:
    /**
     * Listens on an IP address and connects to the target for each accepted connection. With port 0 the system chooses
     * a free port, which port() returns.
     */
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

    /** Stops forwarding permanently on the connections that are open now. New connections are not affected. */
    void silenceOpenConnections()
    {
        runOnLoop([this] {
            for (const auto& pair : m_pairs)
                pair->m_silent = true;
        });
    }

    /**
     * Sets whether new connections are accepted but nothing is forwarded on them. Setting it also silences the open
     * connections; these stay silent after it is unset.
     */
    void setSilent(bool silent)
    {
        runOnLoop([this, silent] { m_silent = silent; });
        if (silent)
            silenceOpenConnections();
    }

    /** Sets whether everything that the callee sends is dropped. The direction from caller to callee keeps working. */
    void setOneWay(bool oneWay)
    {
        runOnLoop([this, oneWay] { m_oneWay = oneWay; });
    }

    /** Delays all data that arrives from now on by this time, in both directions. */
    void setDelay(std::chrono::milliseconds delay)
    {
        runOnLoop([this, delay] { m_delay = delay; });
    }

    /** Closes all open connections. */
    void closeConnections()
    {
        runOnLoop([this] {
            for (const auto& pair : m_pairs)
                pair->close();
        });
    }

    /** Returns the number of connections accepted so far. */
    std::uint64_t acceptedCount() const { return m_accepted; }

private:
    using Socket = boost::asio::ip::tcp::socket;
    using Error = boost::system::error_code;

    // The connection from the caller and the one to the callee.
    struct ConnectionPair : std::enable_shared_from_this<ConnectionPair> {
        ConnectionPair(Socket caller, const FaultRelay& relay)
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
                    // While the pair is silent, both sockets stay open, also when one side closes its connection.
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
                    forward(from, to, buffer, count);
                });
        }
        void forward(Socket& from, Socket& to, std::array<char, 16384>& buffer, std::size_t count)
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

    template <typename Action> void runOnLoop(Action action)
    {
        boost::asio::post(m_io, boost::asio::use_future(action)).get();
    }

    void accept()
    {
        m_acceptor.async_accept([this](Error error, Socket socket) {
            if (error)
                return;
            ++m_accepted;
            const auto pair = std::make_shared<ConnectionPair>(std::move(socket), *this);
            pair->m_silent = m_silent;
            // Removes the closed pairs. A silent pair stays open although one side closed its connection.
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
    std::vector<std::shared_ptr<ConnectionPair>> m_pairs;
    bool m_silent = false;
    bool m_oneWay = false;
    std::chrono::milliseconds m_delay { 0 };
    std::atomic<std::uint64_t> m_accepted { 0 };
    std::thread m_thread;
};

} // namespace flamingo::test
