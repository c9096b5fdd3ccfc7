#include "daemon/administration.h"

#include "consensus/consensusmember.h"
#include "control/controlservice.h"

#include <nlohmann/json.hpp>

namespace flamingo {

namespace {

using Json = nlohmann::json;

// A longer table would be of no use on a terminal and would block the control loop.
constexpr std::size_t maxRows = 1000;

Json memberRows(const ConsensusMember& member, MonotonicTime now)
{
    Json rows = Json::array();
    for (const MemberView& view : member.members(now)) {
        Json row;
        row["member"] = view.m_member.m_id.value();
        row["address"] = view.m_member.m_address;
        row["voter"] = view.m_member.m_voter;
        row["leader"] = view.m_leader;
        row["lag_entries"] = view.m_lag ? Json(*view.m_lag) : Json(nullptr);
        row["silent_ms"] = view.m_timeSinceAnswer ? Json(view.m_timeSinceAnswer->count()) : Json(nullptr);
        rows.push_back(std::move(row));
    }
    return rows;
}

Json leaseRows(const ControlService& service, MonotonicTime now)
{
    Json rows = Json::array();
    for (const auto& [holder, lease] : service.leases().m_leases) {
        if (rows.size() == maxRows)
            break;
        const auto remaining = std::chrono::duration_cast<Milliseconds>(lease.m_endsAt - now);
        Json row;
        row["vm"] = holder.first.value();
        row["remaining_ms"] = std::max<std::int64_t>(0, remaining.count());
        row["applied_revision"] = lease.m_confirmed.value();
        rows.push_back(std::move(row));
    }
    return rows;
}

const char* phaseName(ClaimPhase phase)
{
    switch (phase) {
    case ClaimPhase::InProgress:
        return "in progress";
    case ClaimPhase::Done:
        return "done";
    case ClaimPhase::NotRun:
        return "not run";
    case ClaimPhase::Unknown:
    case ClaimPhase::Lost:
        return "outcome unknown";
    }
    return "";
}

Json claimRows(const ControlService& service, const std::string& serviceName)
{
    Json rows = Json::array();
    const auto& claims = service.state().m_claims;
    for (auto claim = claims.rbegin(); claim != claims.rend() && rows.size() < maxRows; ++claim) {
        if (!serviceName.empty() && claim->first.m_service.value() != serviceName)
            continue;
        Json row;
        row["request"] = claim->first.m_request.value();
        row["service"] = claim->first.m_service.value();
        row["vm"] = claim->second.m_vm.value();
        row["state"] = phaseName(claim->second.m_phase);
        rows.push_back(std::move(row));
    }
    return rows;
}

AdminReply memberChange(const ConsensusMember& member, bool accepted, const char* text)
{
    AdminReply reply;
    reply.m_text = accepted ? text : member.lastReason().m_text;
    reply.m_code = accepted ? ResultCode::Ok : member.lastReason().m_code;
    return reply;
}

AdminReply rowsReply(const Json& rows)
{
    AdminReply reply;
    reply.m_rows = rows.dump(-1, ' ', false, Json::error_handler_t::replace);
    return reply;
}

} // namespace

AdminReply administer(
    ConsensusMember& member, const ControlService& service, const AdminRequest& request, MonotonicTime now)
{
    switch (request.m_action) {
    case AdminAction::ListMembers:
        return rowsReply(memberRows(member, now));
    case AdminAction::ListLeases:
        return rowsReply(leaseRows(service, now));
    case AdminAction::ListClaims:
        return rowsReply(claimRows(service, request.m_argument));
    case AdminAction::AddMember:
        return memberChange(member, member.addLearner(VmId(request.m_argument), request.m_address, now),
            "invited; the member becomes a voter once it has caught up");
    case AdminAction::RemoveMember:
        return memberChange(member, member.removeMember(MemberId(request.m_argument), now), "removal proposed");
    }
    return AdminReply {};
}

} // namespace flamingo
