#include "forward/vmendpoints.h"

#include "link/socketaddress.h"

namespace flamingo {

namespace {

// Concurrent calls for each VM. High enough not to limit entry VMs, since requests queue at the endpoints.
constexpr std::uint32_t vmSlots = 64;

} // namespace

std::vector<const VmRecord*> servingVms(const PublishedState& published)
{
    std::vector<const VmRecord*> vms;
    for (const auto& [id, vm] : published.m_vms) {
        if (!vm.m_departed && parseSocketAddress(vm.m_address))
            vms.push_back(&vm);
    }
    return vms;
}

EndpointRecord vmEndpoint(
    const VmRecord& vm, const EndpointId& endpoint, const ServiceName& service, std::uint16_t port)
{
    EndpointRecord record;
    record.m_id = endpoint;
    record.m_service = service;
    record.m_address = parseSocketAddress(vm.m_address)->address().to_string();
    record.m_port = port;
    record.m_dataCentre = vm.m_dataCentre;
    record.m_incarnation = vm.m_incarnation;
    record.m_slots = vmSlots;
    record.m_connections = vmSlots;
    record.m_routed = true;
    return record;
}

} // namespace flamingo
