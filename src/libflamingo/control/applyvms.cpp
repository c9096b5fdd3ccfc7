#include "control/applycontext.h"

#include "control/digest.h"

namespace flamingo::detail {

CommandResult applyBody(ApplyContext& context, const AdmitVm& command)
{
    VmRecord vm = command.m_vm;
    if (!isValidName(vm.m_id.value()))
        return refusal(ResultCode::InvalidField, "a VM id must have 1 to 128 characters");
    vm.m_departed = false;
    vm.m_departedAt = LogTime();
    const auto& vms = context.m_state.m_published.m_vms;
    const auto earlier = vms.find(vm.m_id);
    if (earlier != vms.end()) {
        vm.m_admittedIn = earlier->second.m_admittedIn;
        if (recordHash(vm) == recordHash(earlier->second))
            return success();
        if (earlier->second.m_incarnation != vm.m_incarnation)
            markClaimsLost(context.m_state, vm.m_id, earlier->second.m_incarnation);
    }
    vm.m_admittedIn = context.nextRevision();
    context.change(std::move(vm));
    return success();
}

CommandResult applyBody(ApplyContext& context, const DepartVm& command)
{
    const auto& vms = context.m_state.m_published.m_vms;
    const auto position = vms.find(command.m_vm);
    if (position == vms.end() || position->second.m_incarnation != command.m_incarnation || position->second.m_departed)
        return success("the VM is not admitted with this incarnation");
    VmRecord vm = position->second;
    vm.m_departed = true;
    vm.m_departedAt = context.m_state.m_logTime;
    context.change(std::move(vm));
    markClaimsLost(context.m_state, command.m_vm, command.m_incarnation);
    return success();
}

CommandResult applyBody(ApplyContext& context, const RemoveVm& command)
{
    const auto& vms = context.m_state.m_published.m_vms;
    const auto position = vms.find(command.m_vm);
    if (position == vms.end() || position->second.m_incarnation != command.m_incarnation)
        return success("the VM is not recorded with this incarnation");
    const VmRecord& vm = position->second;
    if (!vm.m_departed || context.m_state.m_logTime < plus(vm.m_departedAt, departedVmRetention))
        return refusal(ResultCode::NotReady,
            "VM " + command.m_vm.value() + " did not depart or departed less than "
                + std::to_string(departedVmRetention.count()) + " s ago");
    context.change(ErasedVm { command.m_vm });
    return success();
}

} // namespace flamingo::detail
