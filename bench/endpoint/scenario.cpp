#include "endpoint/scenario.h"

#include <nlohmann/json.hpp>
#include <yaml-cpp/yaml.h>

#include <boost/asio/ip/address_v4.hpp>

#include <algorithm>
#include <stdexcept>

namespace flamingo::bench {

namespace {

using Json = nlohmann::json;

Json scalarToJson(const YAML::Node& node)
{
    if (node.Tag() == "!") // quoted
        return node.Scalar();
    const Json value = Json::parse(node.Scalar(), nullptr, false);
    return value.is_number() || value.is_boolean() ? value : Json(node.Scalar());
}

Json toJson(const YAML::Node& node)
{
    if (node.IsScalar())
        return scalarToJson(node);
    Json json;
    if (node.IsSequence()) {
        json = Json::array();
        for (const auto& item : node)
            json.push_back(toJson(item));
    } else if (node.IsMap()) {
        json = Json::object();
        for (const auto& entry : node)
            json[entry.first.Scalar()] = toJson(entry.second);
    }
    return json;
}

void rejectUnknownKeys(const Json& object, const std::string& where, const std::vector<std::string>& keys)
{
    for (const auto& entry : object.items()) {
        if (std::find(keys.begin(), keys.end(), entry.key()) == keys.end())
            throw std::runtime_error("unknown key '" + entry.key() + "' in " + where);
    }
}

std::vector<SnapshotLayout> readLayouts(const Json& snapshots, const ServiceName& service)
{
    std::vector<SnapshotLayout> layouts;
    for (const Json& snapshot : snapshots) {
        rejectUnknownKeys(snapshot, "snapshots", { "version", "layout", "weights", "shards" });
        SnapshotLayout layout;
        layout.m_key = { service, SnapshotVersion(snapshot.at("version").get<std::uint64_t>()),
            LayoutId(snapshot.value("layout", std::uint64_t(1))) };
        if (snapshot.contains("weights"))
            layout.m_shardWeights = snapshot.at("weights").get<std::vector<std::uint32_t>>();
        else
            layout.m_shardWeights.assign(snapshot.at("shards").get<std::size_t>(), 1);
        layouts.push_back(std::move(layout));
    }
    return layouts;
}

/** Adds the endpoints of one service, `replicas` for each shard, at consecutive addresses and ports. */
void addService(Scenario& scenario, const Json& service, const Faults& defaults)
{
    rejectUnknownKeys(service, "services",
        { "name", "id_prefix", "snapshots", "replicas", "address", "port", "endpoints_per_address", "data_centres",
            "slots", "connections", "queue", "hits", "faults" });
    const ServiceName name(service.at("name").get<std::string>());
    const auto layouts = readLayouts(service.at("snapshots"), name);
    const auto replicas = service.value("replicas", 2U);
    const auto perAddress = std::max(1U, service.value("endpoints_per_address", 200U));
    const auto baseAddress
        = boost::asio::ip::make_address_v4(service.value("address", std::string("127.0.0.1"))).to_uint();
    const auto port = service.value("port", 9000U);
    const auto dataCentres = service.value("data_centres", std::vector<std::string> { "a" });
    const auto prefix = service.value("id_prefix", name.value());
    std::size_t shards = 0;
    for (const SnapshotLayout& layout : layouts)
        shards = std::max(shards, layout.m_shardWeights.size());
    for (std::size_t i = 0; i < shards * replicas; ++i) {
        StubEndpoint endpoint;
        EndpointRecord& record = endpoint.m_record;
        const std::size_t shard = i / replicas;
        record.m_id = EndpointId(prefix + "-" + std::to_string(shard) + "-" + std::to_string(i % replicas));
        record.m_service = name;
        record.m_address
            = boost::asio::ip::address_v4(baseAddress + static_cast<std::uint32_t>(i / perAddress)).to_string();
        record.m_port = static_cast<std::uint16_t>(port == 0 ? 0 : port + i % perAddress);
        record.m_dataCentre = DataCentreName(dataCentres[(i % replicas + shard) % dataCentres.size()]);
        record.m_slots = service.value("slots", 2U);
        record.m_connections = service.value("connections", 60U);
        endpoint.m_queue = service.value("queue", 4U);
        endpoint.m_hits = service.value("hits", 5U);
        endpoint.m_layouts = layouts;
        for (const SnapshotLayout& layout : layouts) {
            if (shard < layout.m_shardWeights.size())
                record.m_holdings.push_back(
                    { layout.m_key.m_version, layout.m_key.m_layout, ShardIndex(static_cast<std::uint32_t>(shard)) });
        }
        endpoint.m_faults = defaults;
        std::string error;
        if (service.contains("faults") && !applyFaults(endpoint.m_faults, service.at("faults"), error))
            throw std::runtime_error(error);
        scenario.m_endpoints.push_back(std::move(endpoint));
    }
}

/** Applies the faults given for individual endpoints. */
void applyEndpointFaults(Scenario& scenario, const Json& faults)
{
    for (const auto& entry : faults.items()) {
        const auto found = std::find_if(scenario.m_endpoints.begin(), scenario.m_endpoints.end(),
            [&entry](const StubEndpoint& endpoint) { return endpoint.m_record.m_id.value() == entry.key(); });
        std::string error = "faults for unknown endpoint '" + entry.key() + "'";
        if (found == scenario.m_endpoints.end() || !applyFaults(found->m_faults, entry.value(), error))
            throw std::runtime_error(error);
    }
}

} // namespace

std::optional<Scenario> readScenario(const std::string& yaml, std::string& error)
{
    try {
        const Json root = toJson(YAML::Load(yaml));
        rejectUnknownKeys(root, "the scenario",
            { "admin_address", "admin_port", "daemons", "announce_connections", "seed", "execution_log",
                "exit_on_crash", "faults", "services", "endpoint_faults", "only" });
        Scenario scenario;
        scenario.m_adminAddress = root.value("admin_address", scenario.m_adminAddress);
        scenario.m_adminPort = root.value("admin_port", scenario.m_adminPort);
        scenario.m_daemons = root.value("daemons", scenario.m_daemons);
        scenario.m_announceConnections = std::max(1U, root.value("announce_connections", 4U));
        scenario.m_seed = root.value("seed", scenario.m_seed);
        scenario.m_executionLog = root.value("execution_log", scenario.m_executionLog);
        scenario.m_exitOnCrash = root.value("exit_on_crash", false);
        Faults defaults;
        if (root.contains("faults") && !applyFaults(defaults, root.at("faults"), error))
            return std::nullopt;
        for (const Json& service : root.at("services"))
            addService(scenario, service, defaults);
        applyEndpointFaults(scenario, root.value("endpoint_faults", Json::object()));
        if (root.contains("only")) {
            // Several processes can share this file, each with its own part of the endpoints.
            const auto ids = root.at("only").get<std::vector<std::string>>();
            keepOnly(scenario, ids);
        }
        return scenario;
    } catch (const std::exception& exception) {
        error = exception.what();
        return std::nullopt;
    }
}

void keepOnly(Scenario& scenario, const std::vector<std::string>& ids)
{
    auto& endpoints = scenario.m_endpoints;
    endpoints.erase(std::remove_if(endpoints.begin(), endpoints.end(),
                        [&ids](const StubEndpoint& endpoint) {
                            return std::find(ids.begin(), ids.end(), endpoint.m_record.m_id.value()) == ids.end();
                        }),
        endpoints.end());
}

} // namespace flamingo::bench
