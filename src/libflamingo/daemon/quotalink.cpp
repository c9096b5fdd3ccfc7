#include "daemon/quotalink.h"

#include "base/log.h"
#include "forward/vmendpoints.h"
#include "link/socketaddress.h"

#include <algorithm>
#include <random>
#include <utility>

namespace flamingo {

namespace {

using boost::asio::ip::udp;
using boost::system::error_code;

// Share of the slack that a bucket may go below zero. The rest covers requests that run before an announcement
// arrives, and those counted while another VM takes over a quota.
constexpr double bucketSlackShare = 0.25;

std::uint64_t randomIncarnation()
{
    std::random_device device;
    return (std::uint64_t(device()) << 32U) | device();
}

std::string tokensText(const QuotaBuckets& buckets, const CustomerName& customer)
{
    const auto bucket = buckets.m_byCustomer.find(customer);
    return bucket == buckets.m_byCustomer.end() ? "" : std::to_string(bucket->second.m_tokens);
}

} // namespace

QuotaLink::QuotaLink(boost::asio::io_context& io, const CustomerTable& customers, const VmId& vm, double slack)
    : m_customers(customers)
    , m_socket(io)
{
    m_client.m_vm = vm;
    m_client.m_incarnation = Incarnation(randomIncarnation());
    m_buckets.m_slack = slack * bucketSlackShare;
}

bool QuotaLink::start(const SocketAddress& address, Reason& reason)
{
    error_code error;
    const auto ip = boost::asio::ip::make_address(address.m_ip, error);
    const udp::endpoint endpoint(ip, address.m_port);
    if (!error)
        m_socket.open(endpoint.protocol(), error);
    if (!error)
        m_socket.bind(endpoint, error);
    if (!error)
        m_socket.non_blocking(true, error);
    if (error) {
        reason = Reason { ResultCode::InvalidSettings,
            "cannot receive datagrams on " + address.text() + ": " + error.message() };
        return false;
    }
    m_port = address.m_port;
    receive();
    return true;
}

void QuotaLink::applyState(const PublishedState& state)
{
    std::vector<VmId> vms;
    std::map<VmId, boost::asio::ip::address> addresses;
    for (const VmRecord* vm : servingVms(state)) {
        vms.push_back(vm->m_id);
        addresses[vm->m_id] = parseSocketAddress(vm->m_address)->address();
    }
    m_addresses = std::move(addresses);
    setQuotaVms(m_client, std::move(vms));
    decide(forgetCustomers(m_client, m_customers));
}

void QuotaLink::request(const Customer& customer, Handler handler)
{
    const AdmissionResult result = admitRequest(m_client, customer, monotonicNow());
    switch (result.m_decision) {
    case QuotaDecision::Admitted:
        count(true);
        report(customer.m_name);
        return handler(true, {});
    case QuotaDecision::Refused:
        count(false);
        return handler(false, result.m_retryAfter);
    case QuotaDecision::Waiting:
        ++m_counters.m_waited;
        m_waiting[result.m_grant] = std::move(handler);
        report(customer.m_name);
        return;
    }
}

void QuotaLink::tick(MonotonicTime now)
{
    decide(expireReports(m_client, now));
    std::vector<CustomerName> customers;
    for (const auto& [customer, use] : m_client.m_uses)
        customers.push_back(customer);
    for (const CustomerName& customer : customers)
        report(customer);
    announce(now);
}

std::size_t QuotaLink::exhaustedBuckets() const
{
    return static_cast<std::size_t>(std::count_if(m_buckets.m_byCustomer.begin(), m_buckets.m_byCustomer.end(),
        [](const auto& entry) { return entry.second.m_exhausted; }));
}

void QuotaLink::receive()
{
    m_socket.async_receive_from(
        boost::asio::buffer(m_buffer), m_sender, [this](const error_code& error, std::size_t bytes) {
            if (error == boost::asio::error::operation_aborted)
                return;
            if (!error)
                handleDatagram(bytes);
            receive();
        });
}

void QuotaLink::handleDatagram(std::size_t bytes)
{
    const auto message = decodeQuotaMessage({ m_buffer.data(), bytes });
    const bool known = std::any_of(m_addresses.begin(), m_addresses.end(),
        [this](const auto& entry) { return entry.second == m_sender.address(); });
    if (!message || !known) {
        ++m_counters.m_datagramsIgnored;
        return;
    }
    std::visit([this](const auto& fields) { handle(fields); }, *message);
}

void QuotaLink::handle(const QuotaUsage& usage)
{
    const MonotonicTime now = monotonicNow();
    send(usage.m_vm, QuotaAnswer { m_client.m_vm, countUsageOf(usage, now) });
    announce(now);
}

void QuotaLink::handle(const QuotaAnswer& answer)
{
    decide(handleStatus(m_client, answer.m_from, answer.m_status, monotonicNow()));
    report(answer.m_status.m_customer);
}

void QuotaLink::handle(const QuotaAnnouncement& announcement)
{
    if (findCustomer(m_customers, announcement.m_status.m_customer))
        handleAnnouncement(m_client, announcement.m_status, monotonicNow());
}

QuotaStatus QuotaLink::countUsageOf(const QuotaUsage& usage, MonotonicTime now)
{
    const CustomerPtr customer = findCustomer(m_customers, usage.m_customer);
    if (customer && customer->m_quota.isLimited())
        return countUsage(m_buckets, customer->m_quota, usage, now);
    // This VM has another version of the configuration, in which the customer has no limit.
    QuotaStatus status;
    status.m_customer = usage.m_customer;
    status.m_confirmed = usage.m_to;
    status.m_granted = usage.m_wanted;
    return status;
}

void QuotaLink::report(const CustomerName& customer)
{
    const MonotonicTime now = monotonicNow();
    while (const auto due = nextReport(m_client, customer, now)) {
        if (due->m_to != m_client.m_vm)
            return send(due->m_to, due->m_usage);
        decide(handleStatus(m_client, m_client.m_vm, countUsageOf(due->m_usage, now), now));
        announce(now);
    }
}

void QuotaLink::announce(MonotonicTime now)
{
    for (const QuotaStatus& status : takeAnnouncements(m_buckets, now)) {
        FLAMINGO_LOG(Info, status.m_exhausted ? "quota exhausted" : "quota recovered",
            { "customer", status.m_customer.value() }, { "tokens", tokensText(m_buckets, status.m_customer) },
            { "retry_after_ms", std::to_string(status.m_retryAfter.count()) },
            { "vms", std::to_string(m_addresses.size()) });
        handleAnnouncement(m_client, status, now);
        for (const auto& [vm, address] : m_addresses) {
            if (vm != m_client.m_vm)
                send(vm, QuotaAnnouncement { m_client.m_vm, status });
        }
    }
}

void QuotaLink::decide(const std::vector<GrantDecision>& decisions)
{
    for (const GrantDecision& decision : decisions) {
        auto waiting = m_waiting.extract(decision.m_grant);
        if (waiting.empty())
            continue;
        count(decision.m_admitted);
        waiting.mapped()(decision.m_admitted, decision.m_retryAfter);
    }
}

void QuotaLink::count(bool admitted) { ++(admitted ? m_counters.m_admitted : m_counters.m_refused); }

// A datagram that cannot be sent counts as lost, and is repeated like one.
void QuotaLink::send(const VmId& vm, const QuotaMessage& message)
{
    const auto address = m_addresses.find(vm);
    if (address == m_addresses.end() || m_port == 0)
        return;
    error_code ignored;
    m_socket.send_to(
        boost::asio::buffer(encodeQuotaMessage(message)), udp::endpoint(address->second, m_port), 0, ignored);
    ++m_counters.m_datagramsSent;
}

} // namespace flamingo
