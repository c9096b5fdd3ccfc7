#include "forward/relayplan.h"

#include "base/hash.h"
#include "forward/vmendpoints.h"
#include "routing/connectionshare.h"

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

namespace flamingo {

namespace {

// VMs of each data centre that may serve requests of this one. While most VMs are cut off, some of them still work.
constexpr std::size_t relaysInDataCentre = 8;

using RankedVms = std::vector<std::pair<std::uint64_t, const VmRecord*>>;

} // namespace

const ServiceName& relayServiceName()
{
    static const ServiceName name("relay");
    return name;
}

void updateRelays(ForwardState& state, MonotonicTime now)
{
    if (state.m_settings.m_mergePort == 0)
        return;
    const PublishedState& published = *state.m_routing.m_state;
    const VmId& self = state.m_routing.m_settings.m_vm;
    const std::uint64_t selfHash = state.m_routing.m_table.m_vmHash;
    std::map<DataCentreName, RankedVms> dataCentres;
    for (const VmRecord* vm : servingVms(published)) {
        if (vm->m_id != self)
            dataCentres[vm->m_dataCentre].emplace_back(rendezvousScore(selfHash, hashBytes(vm->m_id.value())), vm);
    }
    auto relays = std::make_shared<PublishedState>();
    relays->m_vms[self].m_id = self;
    for (auto& [dataCentre, vms] : dataCentres) {
        std::sort(vms.begin(), vms.end());
        vms.resize(std::min(vms.size(), relaysInDataCentre));
        for (const auto& [score, vm] : vms) {
            EndpointRecord record
                = vmEndpoint(*vm, EndpointId(vm->m_id.value()), relayServiceName(), state.m_settings.m_mergePort);
            relays->m_endpoints[record.m_id] = std::move(record);
        }
    }
    applyPublishedState(state.m_relays, std::move(relays), now);
}

} // namespace flamingo
