#include "control/applychange.h"

#include "control/digest.h"

namespace flamingo {

namespace {

template <typename Map, typename Record>
void upsert(PublishedState& state, Map& records, const typename Map::key_type& key, const Record& record)
{
    const auto [position, isNew] = records.try_emplace(key);
    if (!isNew)
        state.m_recordSum -= recordHash(position->second);
    position->second = record;
    state.m_recordSum += recordHash(record);
}

template <typename Map> void erase(PublishedState& state, Map& records, const typename Map::key_type& key)
{
    const auto position = records.find(key);
    if (position == records.end())
        return;
    state.m_recordSum -= recordHash(position->second);
    records.erase(position);
}

struct ChangeVisitor {
    PublishedState& m_state;

    void operator()(const ServiceDefinition& r) const { upsert(m_state, m_state.m_services, r.m_name, r); }
    void operator()(const EndpointRecord& r) const { upsert(m_state, m_state.m_endpoints, r.m_id, r); }
    void operator()(const SnapshotLayout& r) const { upsert(m_state, m_state.m_layouts, r.m_key, r); }
    void operator()(const VmRecord& r) const { upsert(m_state, m_state.m_vms, r.m_id, r); }
    void operator()(const QuarantineRecord& r) const { upsert(m_state, m_state.m_quarantine, r.m_fingerprint, r); }
    void operator()(const ErasedService& e) const { erase(m_state, m_state.m_services, e.m_service); }
    void operator()(const ErasedEndpoint& e) const { erase(m_state, m_state.m_endpoints, e.m_endpoint); }
    void operator()(const ErasedLayout& e) const { erase(m_state, m_state.m_layouts, e.m_layout); }
    void operator()(const ErasedVm& e) const { erase(m_state, m_state.m_vms, e.m_vm); }
    void operator()(const ErasedQuarantine& e) const { erase(m_state, m_state.m_quarantine, e.m_fingerprint); }
    void operator()(const RouteHeader& r) const { m_state.m_routeHeader = r; }
    void operator()(const Route& r) const { upsert(m_state, m_state.m_routes, r.m_key, r); }
    void operator()(const RoutedService& r) const { upsert(m_state, m_state.m_routedServices, r.m_name, r); }
    void operator()(const ErasedRoute& e) const { erase(m_state, m_state.m_routes, e.m_route); }
    void operator()(const ErasedRoutedService& e) const { erase(m_state, m_state.m_routedServices, e.m_service); }
    void operator()(const Customer& r) const { upsert(m_state, m_state.m_customers, r.m_name, r); }
    void operator()(const ErasedCustomer& e) const { erase(m_state, m_state.m_customers, e.m_customer); }
    void operator()(const EvacuationChange& c) const
    {
        const std::uint64_t hash = evacuationHash(c.m_dataCentre);
        if (c.m_evacuated && m_state.m_evacuated.insert(c.m_dataCentre).second)
            m_state.m_recordSum += hash;
        else if (!c.m_evacuated && m_state.m_evacuated.erase(c.m_dataCentre) > 0)
            m_state.m_recordSum -= hash;
    }
    void operator()(const OperatorDrainChange& c) const
    {
        const std::uint64_t hash = operatorDrainHash(c.m_endpoint);
        if (c.m_drained && m_state.m_operatorDrains.insert(c.m_endpoint).second)
            m_state.m_recordSum += hash;
        else if (!c.m_drained && m_state.m_operatorDrains.erase(c.m_endpoint) > 0)
            m_state.m_recordSum -= hash;
    }
};

} // namespace

void applyChange(PublishedState& state, const Change& change) { std::visit(ChangeVisitor { state }, change); }

bool applyDelta(PublishedState& state, const Delta& delta)
{
    for (const Change& change : delta.m_changes)
        applyChange(state, change);
    state.m_revision = delta.m_to;
    state.m_configurationVersion = delta.m_configurationVersion;
    return publishedDigest(state) == delta.m_digest;
}

} // namespace flamingo
