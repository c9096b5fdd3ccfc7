#include "control/deltahistory.h"

#include "control/digest.h"

#include <unordered_map>

namespace flamingo {

namespace {

// Returns the key of the record that a change affects, with a prefix for each kind of record. A record and its
// erasure have the same key.
struct RecordKey {
    std::string operator()(const ServiceDefinition& r) const { return "s" + r.m_name.value(); }
    std::string operator()(const ErasedService& e) const { return "s" + e.m_service.value(); }
    std::string operator()(const EndpointRecord& r) const { return "e" + r.m_id.value(); }
    std::string operator()(const ErasedEndpoint& e) const { return "e" + e.m_endpoint.value(); }
    std::string operator()(const SnapshotLayout& r) const { return layout(r.m_key); }
    std::string operator()(const ErasedLayout& e) const { return layout(e.m_layout); }
    std::string operator()(const VmRecord& r) const { return "v" + r.m_id.value(); }
    std::string operator()(const ErasedVm& e) const { return "v" + e.m_vm.value(); }
    std::string operator()(const QuarantineRecord& r) const { return "q" + std::to_string(r.m_fingerprint.value()); }
    std::string operator()(const ErasedQuarantine& e) const { return "q" + std::to_string(e.m_fingerprint.value()); }
    std::string operator()(const OperatorDrainChange& c) const { return "d" + c.m_endpoint.value(); }

    std::string operator()(const RouteHeader&) const { return "h"; }
    std::string operator()(const Route& r) const { return route(r.m_key); }
    std::string operator()(const ErasedRoute& e) const { return route(e.m_route); }
    std::string operator()(const RoutedService& r) const { return "f" + r.m_name.value(); }
    std::string operator()(const ErasedRoutedService& e) const { return "f" + e.m_service.value(); }

    std::string operator()(const Customer& r) const { return "t" + r.m_name.value(); }
    std::string operator()(const ErasedCustomer& e) const { return "t" + e.m_customer.value(); }
    std::string operator()(const EvacuationChange& c) const { return "c" + c.m_dataCentre.value(); }

    static std::string route(const RouteKey& key) { return "r" + key.m_host + " " + key.m_pathPrefix; }
    static std::string layout(const LayoutKey& key)
    {
        return "l" + std::to_string(key.m_version.value()) + "/" + std::to_string(key.m_layout.value()) + "/"
            + key.m_service.value();
    }
};

} // namespace

void DeltaHistory::reset(const PublishedState& state)
{
    m_steps.clear();
    m_steps.push_back(Step { state.m_revision, state.m_configurationVersion, publishedDigest(state), {} });
}

void DeltaHistory::push(const PublishedState& state, std::vector<Change> changes)
{
    m_steps.push_back(
        Step { state.m_revision, state.m_configurationVersion, publishedDigest(state), std::move(changes) });
    if (m_steps.size() > maxRevisions + 1)
        m_steps.pop_front();
}

std::optional<std::uint64_t> DeltaHistory::digestAt(Revision revision) const
{
    if (m_steps.empty() || revision < m_steps.front().m_revision || revision > m_steps.back().m_revision)
        return std::nullopt;
    return m_steps[revision.value() - m_steps.front().m_revision.value()].m_digest;
}

std::optional<Delta> DeltaHistory::deltaFrom(Revision base, std::uint64_t baseDigest) const
{
    if (digestAt(base) != baseDigest)
        return std::nullopt;
    Delta delta;
    delta.m_from = base;
    delta.m_to = m_steps.back().m_revision;
    delta.m_configurationVersion = m_steps.back().m_configurationVersion;
    delta.m_digest = m_steps.back().m_digest;
    std::unordered_map<std::string, std::size_t> positions;
    for (std::size_t index = base.value() - m_steps.front().m_revision.value() + 1; index < m_steps.size(); ++index) {
        for (const Change& change : m_steps[index].m_changes) {
            const auto [position, isNew]
                = positions.try_emplace(std::visit(RecordKey {}, change), delta.m_changes.size());
            if (isNew)
                delta.m_changes.push_back(change);
            else
                delta.m_changes[position->second] = change;
        }
    }
    return delta;
}

} // namespace flamingo
