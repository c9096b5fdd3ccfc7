#include "daemon/staterows.h"

#include "language/statement.h"

#include <nlohmann/json.hpp>

namespace flamingo {

namespace {

using Json = nlohmann::ordered_json;

Json serviceRow(const ServiceDefinition& service)
{
    Json row;
    row["service"] = service.m_name.value();
    row["snapshot"] = service.m_snapshotPolicy == SnapshotPolicy::Newest ? "newest" : "fullest";
    row["prefer"] = service.m_preference == AnswerPreference::Early ? "early" : "full";
    row["floor"] = service.m_coverageFloor;
    row["deadline_ms"] = service.m_deadline.count();
    row["patience_ms"] = service.m_patience.count();
    row["extra_load"] = service.m_extraLoadBudget;
    row["connections"] = service.m_connectionsPerEndpoint;
    row["slots"] = service.m_slotsPerEndpoint;
    row["canary"] = service.m_canary;
    std::string kinds;
    for (const auto& [kind, idempotence] : service.m_kinds) {
        kinds += (kinds.empty() ? "" : ", ") + kind;
        kinds += idempotence == Idempotence::Idempotent ? " idempotent" : " non-idempotent";
    }
    row["kinds"] = kinds;
    row["changed_in"] = service.m_changedIn.value();
    return row;
}

Json endpointRow(const PublishedState& state, const EndpointRecord& endpoint)
{
    Json row;
    row["endpoint"] = endpoint.m_id.value();
    row["service"] = endpoint.m_service.value();
    row["address"] = endpoint.m_address + ":" + std::to_string(endpoint.m_port);
    row["data_centre"] = endpoint.m_dataCentre.value();
    std::string shards;
    for (const ShardHolding& holding : endpoint.m_holdings) {
        shards += (shards.empty() ? "" : " ") + std::to_string(holding.m_version.value()) + "/"
            + std::to_string(holding.m_layout.value()) + "/" + std::to_string(holding.m_shard.value());
    }
    row["snapshot/layout/shard"] = shards;
    const bool drainedByOperator = state.m_operatorDrains.count(endpoint.m_id) > 0;
    const bool evacuated = state.m_evacuated.count(endpoint.m_dataCentre) > 0;
    row["state"] = drainedByOperator ? "drained"
        : evacuated                  ? "evacuated"
        : endpoint.m_draining        ? "draining"
                                     : "active";
    return row;
}

Json vmRow(const VmRecord& vm)
{
    Json row;
    row["vm"] = vm.m_id.value();
    row["data_centre"] = vm.m_dataCentre.value();
    row["address"] = vm.m_address;
    row["state"] = vm.m_departed ? "departed" : "admitted";
    row["admitted_in"] = vm.m_admittedIn.value();
    return row;
}

Json quarantineRow(const QuarantineRecord& record)
{
    Json row;
    row["fingerprint"] = printFingerprint(record.m_fingerprint);
    row["service"] = record.m_service.value();
    std::string endpoints;
    for (const EndpointId& endpoint : record.m_endpoints)
        endpoints += (endpoints.empty() ? "" : " ") + endpoint.value();
    row["crashed_endpoints"] = endpoints;
    row["expires_at_unix_ms"] = record.m_expiresAt.value();
    return row;
}

Json versionRow(const PublishedState& state)
{
    Json row;
    row["configuration_version"] = state.m_configurationVersion.value();
    row["revision"] = state.m_revision.value();
    std::string snapshots;
    for (const auto& [key, layout] : state.m_layouts) {
        snapshots += (snapshots.empty() ? "" : " ") + key.m_service.value() + ":"
            + std::to_string(key.m_version.value()) + "/" + std::to_string(key.m_layout.value());
    }
    row["snapshots"] = snapshots;
    return row;
}

} // namespace

std::string stateRows(const PublishedState& state, const ShowStatement& statement)
{
    Json rows = Json::array();
    switch (statement.m_subject) {
    case ShowSubject::Services:
        for (const auto& [name, service] : state.m_services)
            rows.push_back(serviceRow(service));
        break;
    case ShowSubject::Endpoints:
        for (const auto& [id, endpoint] : state.m_endpoints) {
            if (!statement.m_service || endpoint.m_service == *statement.m_service)
                rows.push_back(endpointRow(state, endpoint));
        }
        break;
    case ShowSubject::Vms:
        for (const auto& [id, vm] : state.m_vms)
            rows.push_back(vmRow(vm));
        break;
    case ShowSubject::Versions:
        rows.push_back(versionRow(state));
        break;
    case ShowSubject::Quarantine:
        for (const auto& [fingerprint, record] : state.m_quarantine)
            rows.push_back(quarantineRow(record));
        break;
    case ShowSubject::Evacuations:
        for (const DataCentreName& dataCentre : state.m_evacuated)
            rows.push_back({ { "data_centre", dataCentre.value() } });
        break;
    case ShowSubject::Leases:
    case ShowSubject::Members:
    case ShowSubject::Claims:
        break;
    }
    return rows.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace flamingo
