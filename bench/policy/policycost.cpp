// Measures the processor time of single routing decisions and of whole queries and prints it as CSV.

#include "querycost.h"
#include "routing/endpointchoice.h"

#include <chrono>
#include <cstdio>
#include <string>

using namespace flamingo;

PublishedState flamingo::bench::makeState(unsigned endpoints)
{
    constexpr unsigned shardsPerService = 400;
    PublishedState state;
    state.m_revision = Revision(1);
    state.m_vms[VmId("vm1")].m_id = VmId("vm1");
    for (unsigned i = 0; i < endpoints; ++i) {
        const unsigned shard = i / 2 % shardsPerService;
        const ServiceName service("service" + std::to_string(i / (2 * shardsPerService)));
        state.m_services[service].m_name = service;
        SnapshotLayout& layout = state.m_layouts[{ service, SnapshotVersion(7), LayoutId(1) }];
        layout.m_key = { service, SnapshotVersion(7), LayoutId(1) };
        if (layout.m_shardWeights.size() <= shard)
            layout.m_shardWeights.resize(shard + 1, 1);
        EndpointRecord record;
        record.m_id = EndpointId("endpoint-" + std::to_string(i));
        record.m_service = service;
        record.m_address = "127.0.0.1";
        record.m_dataCentre = DataCentreName(i % 2 == 0 ? "a" : "b");
        record.m_incarnation = Incarnation(1);
        record.m_registeredIn = Revision(1);
        record.m_holdings = { { SnapshotVersion(7), LayoutId(1), ShardIndex(shard) } };
        record.m_slots = 2;
        record.m_connections = 60;
        state.m_endpoints[record.m_id] = record;
    }
    return state;
}

namespace {

double microsecondsOf(const std::function<void()>& work, unsigned rounds)
{
    const auto start = monotonicNow();
    for (unsigned i = 0; i < rounds; ++i)
        work();
    return std::chrono::duration<double, std::micro>(monotonicNow() - start).count() / rounds;
}

void measure(unsigned endpoints)
{
    const MonotonicTime now = monotonicNow();
    auto state = std::make_shared<PublishedState>(bench::makeState(endpoints));
    RoutingSettings settings;
    settings.m_vm = VmId("vm1");
    settings.m_dataCentre = DataCentreName("a");
    RoutingState routing = makeRoutingState(settings);
    const auto print = [&](const char* what, double cost) { std::printf("%s,%u,%.3f\n", what, endpoints, cost); };
    print("build table", microsecondsOf([&] { applyPublishedState(routing, state, now); }, 1));
    print("compare all records", microsecondsOf([&] { applyPublishedState(routing, state, now); }, 20));

    EndpointRecord changed = state->m_endpoints.begin()->second;
    std::vector<Change> changes(1);
    print("apply one re-registration",
        microsecondsOf(
            [&] {
                changed.m_incarnation = Incarnation(changed.m_incarnation.value() + 1);
                state->m_endpoints[changed.m_id] = changed;
                changes[0] = changed;
                applyPublishedState(routing, state, now, &changes);
            },
            2000));

    RandomEngine random(1);
    const auto& replicas = routing.m_table.m_services.begin()->second.m_snapshots.begin()->second.m_replicas;
    const std::vector<EndpointIndex> excluded;
    std::size_t shard = 0;
    std::uint64_t sum = 0;
    const double choice = microsecondsOf(
        [&] {
            shard = (shard + 1) % replicas.size();
            const EndpointChoice chosen
                = chooseEndpoint(routing, { replicas[shard], excluded, ProbeUse::Allowed }, random, now);
            sum += chosen.m_endpoint ? chosen.m_endpoint->value() : 0;
        },
        200000);
    print("choose an endpoint", choice);
    if (sum == 0)
        std::fprintf(stderr, "no endpoint was chosen\n");
}

} // namespace

int main()
{
    std::printf("what,endpoints,microseconds\n");
    for (const unsigned endpoints : { 100U, 1000U, 10000U, 53000U })
        measure(endpoints);
    bench::measureQueries();
    return 0;
}
