#pragma once

#include "base/reason.h"
#include "control/publishedstate.h"
#include "quota/quotabuckets.h"
#include "quota/quotaclient.h"
#include "quota/quotawire.h"
#include "settings/socketaddress.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <map>

namespace flamingo {

/** Counts of a QuotaLink since its creation, for metrics. */
struct QuotaCounters {
    std::uint64_t m_admitted = 0; // requests of customers with a quota
    std::uint64_t m_refused = 0;
    std::uint64_t m_waited = 0; // requests that waited for a grant
    std::uint64_t m_datagramsSent = 0;
    std::uint64_t m_datagramsIgnored = 0; // malformed, or from an address that is no entry VM's
};

/**
 * Holds the quotas of customers over all entry VMs: decides on requests, reports them by datagrams to the VMs that
 * own them, and keeps the buckets of the quotas that this VM owns.
 *
 * Thread safety: none; all calls on the thread of the io_context. The references outlive the object.
 */
class QuotaLink {
public:
    /** Receives the decision on a request; the time to wait is set if it is refused. */
    using Handler = std::function<void(bool admitted, Milliseconds retryAfter)>;

    QuotaLink(boost::asio::io_context& io, const CustomerTable& customers, const VmId& vm, double slack);

    /** Opens the port for datagrams, the same on all VMs. Returns false and sets the reason if that fails. */
    bool start(const SocketAddress& address, Reason& reason);

    /** Applies a new published state, after the customer table has been updated to it. */
    void applyState(const PublishedState& state);

    /** Decides on a request of the customer. The handler is called once, possibly before this returns. */
    void request(const Customer& customer, Handler handler);

    /** Sends reports and announcements that are due; to be called every 100 ms or more often. */
    void tick(MonotonicTime now);

    const QuotaCounters& counters() const { return m_counters; }

    /** Returns the number of quotas that this VM owns, and of those the exhausted ones. */
    std::size_t buckets() const { return m_buckets.m_byCustomer.size(); }
    std::size_t exhaustedBuckets() const;

private:
    void receive();
    void handleDatagram(std::size_t bytes);
    void handle(const QuotaUsage& usage);
    void handle(const QuotaAnswer& answer);
    void handle(const QuotaAnnouncement& announcement);
    QuotaStatus countUsageOf(const QuotaUsage& usage, MonotonicTime now);
    void report(const CustomerName& customer);
    void announce(MonotonicTime now);
    void decide(const std::vector<GrantDecision>& decisions);
    void count(bool admitted);
    void send(const VmId& vm, const QuotaMessage& message);

    const CustomerTable& m_customers;
    boost::asio::ip::udp::socket m_socket;
    std::uint16_t m_port = 0;
    QuotaClient m_client;
    QuotaBuckets m_buckets;
    std::map<VmId, boost::asio::ip::address> m_addresses; // of the serving VMs
    std::map<GrantId, Handler> m_waiting;
    QuotaCounters m_counters;
    static constexpr std::size_t maxDatagramBytes = 1400; // below the usual limit of a packet
    std::array<char, maxDatagramBytes> m_buffer {};
    boost::asio::ip::udp::endpoint m_sender;
};

} // namespace flamingo
