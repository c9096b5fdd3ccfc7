// Measures the costs of the replicated control state and prints them as CSV: processor time of each operation, memory
// of each record and bytes of each message, for growing numbers of endpoints and entry VMs.
//
// Usage: bench_control [endpoints...]   (default 100 1000 10000 53000)

#include "control/apply.h"
#include "control/applychange.h"
#include "control/codec.h"
#include "control/controlservice.h"
#include "control/digest.h"
#include "control/statecopy.h"

#include <malloc.h>

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <string>
#include <vector>

using namespace flamingo;

namespace {

constexpr std::int64_t startMilliseconds = 1800000000000;
constexpr std::size_t shardsPerLayout = 400;
constexpr std::size_t replicas = 2;

struct Scale {
    std::size_t m_endpoints = 0;
    std::size_t m_vms = 0; // entry VMs
};

void print(const Scale& scale, const char* metric, double value, const char* unit)
{
    std::printf("%s,%zu,%zu,%.3f,%s\n", metric, scale.m_endpoints, scale.m_vms, value, unit);
}

double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

/** Returns the mean processor time of one repetition in microseconds. */
double cost(std::size_t repetitions, const std::function<void(std::size_t)>& operation)
{
    timespec begin {};
    timespec end {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &begin);
    for (std::size_t index = 0; index < repetitions; ++index)
        operation(index);
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &end);
    const double seconds
        = static_cast<double>(end.tv_sec - begin.tv_sec) + static_cast<double>(end.tv_nsec - begin.tv_nsec) / 1e9;
    return seconds * 1e6 / static_cast<double>(repetitions);
}

Command command(CommandBody body, const std::string& id = {})
{
    return { CommandId(id), {}, LogTime(startMilliseconds), std::move(body) };
}

std::string serviceName(std::size_t service) { return "verse-finder-" + std::to_string(service); }

RegisterEndpoint registration(std::size_t index, std::uint64_t incarnation)
{
    const std::size_t service = index / (shardsPerLayout * replicas);
    RegisterEndpoint command;
    EndpointRecord& endpoint = command.m_endpoint;
    endpoint.m_id = EndpointId("endpoint-" + std::to_string(index));
    endpoint.m_service = ServiceName(serviceName(service));
    endpoint.m_address = "10.1." + std::to_string(index / 250 % 250) + "." + std::to_string(index % 250);
    endpoint.m_port = 9000;
    endpoint.m_dataCentre = DataCentreName("north-1");
    endpoint.m_incarnation = Incarnation(0x9e3779b97f4a7c15U * (index + incarnation));
    endpoint.m_slots = 2;
    endpoint.m_connections = 60;
    endpoint.m_holdings.push_back({ SnapshotVersion(20261204), LayoutId(1), ShardIndex(index % shardsPerLayout) });
    command.m_layouts.push_back({ { endpoint.m_service, SnapshotVersion(20261204), LayoutId(1) },
        std::vector<std::uint32_t>(shardsPerLayout, 1000) });
    return command;
}

VmRecord vm(std::size_t index)
{
    VmRecord record;
    record.m_id = VmId("entry-" + std::to_string(index));
    record.m_incarnation = Incarnation(0x9e3779b97f4a7c15U * (index + 1));
    record.m_dataCentre = DataCentreName("north-1");
    record.m_address = "10.2.0.1:8080";
    return record;
}

/** Control VM that is the leader, commits its proposals at once and counts but discards the bytes it sends. */
struct Leader {
    MonotonicTime m_now { std::chrono::hours(1) };
    const MonotonicTime m_since = m_now;
    std::size_t m_sentBytes = 0;
    std::unique_ptr<ControlService> m_service;

    Leader()
    {
        ControlServicePorts ports;
        ports.m_propose = [this](const std::string& entry) { return m_service->onApplied(entry, m_now); };
        ports.m_readyToServe = []() { return true; };
        ports.m_confirmedRoundStart = [this]() { return std::optional(m_now); };
        ports.m_leaderSince = [this]() { return std::optional(m_since); };
        ports.m_leaderAddress = []() { return std::string(); };
        ports.m_send = [this](LinkId, const std::string& bytes) { m_sentBytes += bytes.size(); };
        ports.m_wallClock = []() { return LogTime(startMilliseconds); };
        m_service = std::make_unique<ControlService>(std::move(ports), 1);
    }
    void commit(CommandBody body, const std::string& id = {})
    {
        m_service->onApplied(encodeProposedCommand({ 2, 0, command(std::move(body), id) }), m_now);
    }
};

void measureMemory(const Scale& scale)
{
    ControlState state;
    std::vector<Change> changes;
    const std::size_t services = scale.m_endpoints / (shardsPerLayout * replicas) + 1;
    for (std::size_t index = 0; index < services; ++index)
        apply(state, command(CreateService { ServiceName(serviceName(index)), {} }, std::to_string(index)), changes);
    double before = heapBytes();
    const double applied
        = cost(scale.m_endpoints, [&](std::size_t index) { apply(state, command(registration(index, 1)), changes); });
    print(scale, "apply_register", applied, "us");
    print(scale, "memory_endpoint", (heapBytes() - before) / static_cast<double>(scale.m_endpoints), "bytes");
    before = heapBytes();
    for (std::size_t index = 0; index < scale.m_vms; ++index)
        apply(state, command(AdmitVm { vm(index) }), changes);
    print(scale, "memory_vm", (heapBytes() - before) / static_cast<double>(scale.m_vms), "bytes");

    constexpr std::size_t claims = 20000;
    constexpr std::size_t answerSize = 200;
    before = heapBytes();
    const std::uint64_t countedBefore = state.m_claimBytes;
    const auto request
        = [](std::size_t index) { return RequestId("1800000000-3f6c2a9e-" + std::to_string(1000000 + index)); };
    const ServiceName service(serviceName(0));
    const VmRecord holder = vm(0);
    print(scale, "apply_open_claim",
        cost(claims,
            [&](std::size_t index) {
                apply(state,
                    command(OpenClaim { service, request(index), 7, holder.m_id, holder.m_incarnation, index + 1 }),
                    changes);
            }),
        "us");
    print(scale, "memory_claim_open", (heapBytes() - before) / claims, "bytes");
    print(scale, "apply_settle_claim",
        cost(claims,
            [&](std::size_t index) {
                apply(state,
                    command(SettleClaim { service, request(index), holder.m_id, holder.m_incarnation,
                        ClaimOutcome::Done, std::string(answerSize, 'x'), index + 1, 0 }),
                    changes);
            }),
        "us");
    print(scale, "memory_claim_done_200_byte_answer", (heapBytes() - before) / claims, "bytes");
    print(scale, "counted_claim_done_200_byte_answer", static_cast<double>(state.m_claimBytes - countedBefore) / claims,
        "bytes");

    std::string snapshot;
    const double encoding = cost(1, [&](std::size_t) { snapshot = encodeControlState(state); });
    print(scale, "snapshot_encode_with_20000_claims", encoding / 1000, "ms");
    print(scale, "snapshot_size_with_20000_claims", static_cast<double>(snapshot.size()), "bytes");
    Reason reason;
    print(scale, "snapshot_decode_with_20000_claims",
        cost(1, [&](std::size_t) { decodeControlState(snapshot, reason); }) / 1000, "ms");
}

void measureLeader(const Scale& scale)
{
    Leader leader;
    const std::size_t services = scale.m_endpoints / (shardsPerLayout * replicas) + 1;
    for (std::size_t index = 0; index < services; ++index)
        leader.commit(CreateService { ServiceName(serviceName(index)), {} }, "create" + std::to_string(index));
    for (std::size_t index = 0; index < scale.m_endpoints; ++index)
        leader.commit(registration(index, 1));
    ControlService& service = *leader.m_service;
    const PublishedState& published = service.state().m_published;

    constexpr std::size_t repetitions = 300;
    print(scale, "entry_applied_service_change",
        cost(repetitions,
            [&](std::size_t index) {
                leader.commit(AlterService { ServiceName(serviceName(0)), {} }, "alter" + std::to_string(index));
            }),
        "us");
    print(scale, "entry_applied_endpoint_change",
        cost(
            repetitions, [&](std::size_t index) { leader.commit(registration(index % scale.m_endpoints, 2 + index)); }),
        "us");

    DeltaHistory history;
    history.reset(published);
    PublishedState next = published;
    const std::uint64_t base = publishedDigest(published);
    const auto delta = [&](const Change& change) {
        applyChange(next, change);
        next.m_revision = Revision(next.m_revision.value() + 1);
        history.push(next, { change });
        return *history.deltaFrom(
            Revision(next.m_revision.value() - 1), *history.digestAt(Revision(next.m_revision.value() - 1)));
    };
    const Delta endpointDelta = delta(registration(0, 5000).m_endpoint);
    const Delta serviceDelta = delta(published.m_services.begin()->second);
    print(scale, "delta_size_endpoint", static_cast<double>(encodeMessage(endpointDelta).size()), "bytes");
    print(scale, "delta_size_service", static_cast<double>(encodeMessage(serviceDelta).size()), "bytes");
    print(scale, "delta_built_and_encoded",
        cost(repetitions,
            [&](std::size_t) { encodeMessage(*history.deltaFrom(Revision(next.m_revision.value() - 2), base)); }),
        "us");

    std::string copy;
    print(scale, "full_copy_encode",
        cost(1,
            [&](std::size_t) {
                copy = encodeMessage(FullCopy { published, base });
            })
            / 1000,
        "ms");
    print(scale, "full_copy_size", static_cast<double>(copy.size()), "bytes");
    print(scale, "full_copy_size_for_each_endpoint",
        static_cast<double>(copy.size()) / static_cast<double>(scale.m_endpoints), "bytes");
    Reason reason;
    StateCopy state;
    print(scale, "full_copy_decode_and_take",
        cost(1, [&](std::size_t) { state.update(std::get<FullCopy>(*decodeMessage(copy, reason))); }) / 1000, "ms");
    state.update(endpointDelta);
    PublishedState follower = next;
    std::vector<std::string> deltas;
    Revision revision = serviceDelta.m_from;
    PublishedState current = published;
    applyDelta(current, endpointDelta);
    for (std::size_t index = 0; index < repetitions; ++index) {
        Delta nextDelta { revision, Revision(revision.value() + 1), current.m_configurationVersion,
            { registration(index % scale.m_endpoints, 6000 + index).m_endpoint }, 0 };
        applyDelta(current, nextDelta);
        nextDelta.m_digest = publishedDigest(current);
        revision = nextDelta.m_to;
        deltas.push_back(encodeMessage(nextDelta));
    }
    print(scale, "delta_decoded_and_applied_on_entry_vm",
        cost(repetitions,
            [&](std::size_t index) {
                if (state.update(std::get<Delta>(*decodeMessage(deltas[index], reason))) != StateUpdate::Applied)
                    std::abort();
            }),
        "us");
}

void measureRenewals(const Scale& scale)
{
    Leader leader;
    ControlService& service = *leader.m_service;
    const std::size_t services = scale.m_endpoints / (shardsPerLayout * replicas) + 1;
    for (std::size_t index = 0; index < services; ++index)
        leader.commit(CreateService { ServiceName(serviceName(index)), {} }, "create" + std::to_string(index));
    for (std::size_t index = 0; index < scale.m_endpoints; ++index)
        leader.commit(registration(index, 1));
    for (std::size_t index = 0; index < scale.m_vms; ++index)
        leader.commit(AdmitVm { vm(index) });
    const PublishedState& published = service.state().m_published;
    for (std::size_t index = 0; index < scale.m_vms; ++index) {
        const VmRecord record = vm(index);
        service.onLinkOpened(LinkId(index));
        service.onMessage(LinkId(index),
            encodeMessage(Hello { record.m_id, record.m_incarnation, record.m_dataCentre, record.m_address,
                published.m_revision, publishedDigest(published) }),
            leader.m_now);
    }
    const std::size_t endpointsEach = scale.m_endpoints / scale.m_vms;
    std::vector<std::string> renewals;
    std::size_t bytes = 0;
    for (std::size_t index = 0; index < scale.m_vms; ++index) {
        Renew renew { 1, published.m_revision, {}, false };
        // Each endpoint renews every 2 s and each VM every 1 s.
        for (std::size_t part = 0; part < endpointsEach / 2; ++part)
            renew.m_endpointRenewals.emplace_back("endpoint-" + std::to_string(index * endpointsEach + part));
        renewals.push_back(encodeMessage(renew));
        bytes += renewals.back().size();
    }
    print(scale, "renew_size", static_cast<double>(bytes) / static_cast<double>(scale.m_vms), "bytes");
    print(scale, "renewal_handled",
        cost(scale.m_vms, [&](std::size_t index) { service.onMessage(LinkId(index), renewals[index], leader.m_now); }),
        "us");
    if (service.counters().m_grants != scale.m_vms)
        std::abort();
    constexpr std::size_t ticks = 100;
    print(scale, "tick_every_100_ms",
        cost(ticks,
            [&](std::size_t) {
                leader.m_now += Milliseconds(10);
                service.tick(leader.m_now);
            }),
        "us");
    leader.commit(registration(0, 2));
    leader.m_sentBytes = 0;
    print(scale, "tick_that_sends_one_delta_to_all", cost(1, [&](std::size_t) { service.tick(leader.m_now); }), "us");
    print(scale, "delta_bytes_sent_to_all", static_cast<double>(leader.m_sentBytes), "bytes");
}

} // namespace

int main(int count, char** arguments)
{
    std::vector<std::size_t> sizes;
    for (int index = 1; index < count; ++index)
        sizes.push_back(std::strtoul(arguments[index], nullptr, 10));
    if (sizes.empty())
        sizes = { 100, 1000, 10000, 53000 };
    std::printf("metric,endpoints,vms,value,unit\n");
    for (const std::size_t endpoints : sizes) {
        if (endpoints == 0) {
            std::fprintf(stderr, "the number of endpoints must be at least 1\n");
            return 2;
        }
        // The target scale is 5,600 entry VMs for 53,000 endpoints.
        const Scale scale { endpoints, endpoints * 56 / 530 + 1 };
        measureMemory(scale);
        measureLeader(scale);
        measureRenewals(scale);
    }
    return 0;
}
