#include "control/digest.h"

#include "base/hash.h"
#include "control/recordbytes.h"

namespace flamingo {

namespace {

// Records of different types with equal bytes get different hashes through their seeds.
enum class HashSeed : std::uint64_t {
    Service = 1,
    Endpoint,
    Layout,
    Vm,
    Quarantine,
    OperatorDrain,
    PublishedState,
    Command,
    Route,
    RoutedService,
    Customer,
    Evacuation,
};

template <typename... Ts> std::uint64_t hashOf(HashSeed seed, const Ts&... values)
{
    detail::RecordBytes bytes;
    (bytes.append(values), ...);
    return hashBytes(bytes.bytes(), static_cast<std::uint64_t>(seed));
}

} // namespace

std::uint64_t recordHash(const ServiceDefinition& record) { return hashOf(HashSeed::Service, record); }
std::uint64_t recordHash(const EndpointRecord& record) { return hashOf(HashSeed::Endpoint, record); }
std::uint64_t recordHash(const SnapshotLayout& record) { return hashOf(HashSeed::Layout, record); }
std::uint64_t recordHash(const VmRecord& record) { return hashOf(HashSeed::Vm, record); }
std::uint64_t recordHash(const QuarantineRecord& record) { return hashOf(HashSeed::Quarantine, record); }
std::uint64_t recordHash(const Route& record) { return hashOf(HashSeed::Route, record); }
std::uint64_t recordHash(const RoutedService& record) { return hashOf(HashSeed::RoutedService, record); }
std::uint64_t recordHash(const Customer& record) { return hashOf(HashSeed::Customer, record); }
std::uint64_t evacuationHash(const DataCentreName& dataCentre) { return hashOf(HashSeed::Evacuation, dataCentre); }
std::uint64_t operatorDrainHash(const EndpointId& endpoint) { return hashOf(HashSeed::OperatorDrain, endpoint); }

std::uint64_t publishedDigest(const PublishedState& state)
{
    return hashOf(HashSeed::PublishedState, state.m_recordSum, state.m_revision, state.m_configurationVersion,
        state.m_routeHeader);
}

std::uint64_t computeRecordSum(const PublishedState& state)
{
    std::uint64_t sum = 0;
    const auto addAll = [&sum](const auto& records) {
        for (const auto& [key, record] : records)
            sum += recordHash(record);
    };
    addAll(state.m_services);
    addAll(state.m_endpoints);
    addAll(state.m_layouts);
    addAll(state.m_vms);
    addAll(state.m_quarantine);
    addAll(state.m_routes);
    addAll(state.m_routedServices);
    addAll(state.m_customers);
    for (const DataCentreName& dataCentre : state.m_evacuated)
        sum += evacuationHash(dataCentre);
    for (const EndpointId& endpoint : state.m_operatorDrains)
        sum += operatorDrainHash(endpoint);
    return sum;
}

std::uint64_t commandHash(const Command& command)
{
    return hashOf(HashSeed::Command, command.m_expectedVersion, command.m_body);
}

} // namespace flamingo
