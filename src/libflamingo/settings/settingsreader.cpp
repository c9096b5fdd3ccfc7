#include "settings/settingsreader.h"

#include "settings/settingssection.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <set>
#include <sstream>

namespace flamingo {

using detail::SettingsErrors;
using detail::SettingsSection;

namespace {

constexpr std::uint32_t maxCount = 100000;
constexpr std::uint32_t maxWeight = 1000;
constexpr double maxToleratedLosses = 1e5;
constexpr double maxExtraLoadShare = 10.0;
constexpr double maxExtraLoadCalls = 1e9;
constexpr double maxQuotaSlack = 1e9;
// A process without callers needs half as much.
constexpr double minMemoryMb = 32.0;
constexpr double maxMemoryMb = 1e6;
constexpr double minDescriptors = 64.0;
constexpr double maxDescriptors = 1e7;
constexpr std::uint64_t minBodyBytes = 1024;
// Equal to the largest answer of an endpoint.
constexpr std::uint64_t maxBodyBytes = 4ULL * 1024 * 1024;
constexpr Milliseconds maxDuration { 3600000 };
constexpr Milliseconds minStaleLimit { 1000 };
constexpr Milliseconds minHeartbeatInterval { 100 };

void readRoles(SettingsSection& root, Settings& settings, SettingsErrors& errors)
{
    const std::string allowed = "a list of entry, control, routes";
    for (const YAML::Node& role : root.list("roles")) {
        const std::string name = role.IsScalar() ? role.Scalar() : "";
        if (name == "entry")
            settings.m_entryRole = true;
        else if (name == "control")
            settings.m_controlRole = true;
        else if (name == "routes")
            settings.m_routesRole = true;
        else
            errors.add(role.Mark(), "roles", "'" + name + "'", allowed);
    }
    if (!settings.m_entryRole && !settings.m_controlRole && !settings.m_routesRole)
        root.error("roles", "no role", allowed);
}

void readEntry(SettingsSection section, const Settings& settings, EntrySettings& entry)
{
    if (section.isPresent() && !settings.m_entryRole)
        section.error("", "a section without its role", "the role entry in roles");
    section.ip("listen", entry.m_listen);
    section.port("port", entry.m_port);
    section.number("max_connections", 1U, maxCount, entry.m_maxConnections);
    section.size("max_body", minBodyBytes, maxBodyBytes, entry.m_maxBody);
    SettingsSection classes = section.section("caller_classes");
    for (const std::string& name : classes.keys()) {
        std::uint32_t weight = 1;
        classes.number(name, 1U, maxWeight, weight);
        entry.m_callerClasses[CallerClass(name)] = weight;
    }
    classes.checkKeys();
    section.checkKeys();
}

void readRoutes(SettingsSection section, const Settings& settings, RoutesSettings& routes)
{
    if (section.isPresent() != settings.m_routesRole)
        section.error("", "a section without its role or a role without its section", "both or none of them");
    if (settings.m_routesRole) {
        section.require("listen", "the address for callers");
        section.require("health", "the address for the load balancer's probes");
    }
    section.address("listen", routes.m_listen);
    section.address("health", routes.m_health);
    section.duration("stale_limit", minStaleLimit, maxDuration, routes.m_staleLimit);
    section.duration("drain_wait", Milliseconds(0), maxDuration, routes.m_drainWait);
    section.port("merge_port", routes.m_mergePort);
    section.decimal("extra_load_share", 0.0, maxExtraLoadShare, routes.m_extraLoadShare);
    section.decimal("extra_load_calls", 0.0, maxExtraLoadCalls, routes.m_extraLoadCalls);
    section.decimal("quota_slack", 0.0, maxQuotaSlack, routes.m_quotaSlack);
    section.checkKeys();
}

void readSeeds(SettingsSection section, SeedSettings& seeds, SettingsErrors& errors)
{
    for (const YAML::Node& node : section.list("addresses")) {
        const std::string text = node.IsScalar() ? node.Scalar() : "";
        if (auto address = detail::parseSocketAddress(text))
            seeds.m_addresses.push_back(std::move(*address));
        else
            errors.add(node.Mark(), "seeds.addresses", "'" + text + "'", "an IP address and a port");
    }
    section.port("link_port", seeds.m_linkPort);
    section.checkKeys();
}

void readMembers(SettingsSection& section, ControlSettings& control, SettingsErrors& errors)
{
    std::set<std::string> vms;
    std::set<std::string> addresses;
    for (const YAML::Node& node : section.list("members")) {
        SettingsSection item(node, "control.members", errors);
        item.require("vm", "the id of a VM");
        item.require("address", "an IP address and a port");
        std::string vm;
        ControlMember member;
        item.name("vm", vm);
        item.address("address", member.m_address);
        item.checkKeys();
        member.m_vm = VmId(vm);
        if (!vm.empty() && !vms.insert(vm).second)
            item.error("vm", "'" + vm + "' twice", "each VM once");
        if (member.m_address.m_port != 0 && !addresses.insert(member.m_address.text()).second)
            item.error("address", member.m_address.text() + " twice", "each address once");
        control.m_members.push_back(std::move(member));
    }
}

void readControl(
    SettingsSection section, Settings& settings, SettingsErrors& errors, std::vector<std::string>& warnings)
{
    ControlSettings& control = settings.m_control;
    section.address("listen", control.m_listen);
    section.text("data_folder", control.m_dataFolder);
    readMembers(section, control, errors);
    section.flag("bootstrap", control.m_bootstrap);
    section.address("api", control.m_api);
    section.duration("endpoint_heartbeat", minHeartbeatInterval, maxDuration, control.m_endpointHeartbeat);
    double toleratedLosses = control.m_toleratedLosses;
    section.decimal("tolerated_losses", 0.0, maxToleratedLosses, toleratedLosses);
    control.m_toleratedLosses = static_cast<std::uint32_t>(std::ceil(toleratedLosses));
    section.checkKeys();
    if (!settings.m_controlRole) {
        if (section.isPresent())
            section.error("", "a section without its role", "the role control in roles");
        return;
    }
    if (control.m_dataFolder.empty() || control.m_dataFolder.front() != '/')
        section.error("data_folder", "'" + control.m_dataFolder + "'", "the absolute path of a folder on a disk");
    const auto count = control.m_members.size();
    if (count == 0 && !settings.m_seeds.m_addresses.empty())
        return;
    if (count != 1 && count != 3 && count != 5)
        section.error("members", std::to_string(count) + " members", "3 or 5 members (1 for a trial)");
    if (count == 1)
        warnings.push_back(errors.m_file
            + ": control.members: a single member loses all state with its disk and "
              "is meant for trials; use 3 or 5");
    const bool isListed = std::any_of(control.m_members.begin(), control.m_members.end(),
        [&settings](const ControlMember& member) { return member.m_vm == settings.m_vm; });
    if (!isListed && count != 0 && !settings.m_vm.value().empty())
        section.error("members", "no member '" + settings.m_vm.value() + "'", "a list that names this VM (vm.id)");
}

void readControlAddresses(SettingsSection& root, Settings& settings, SettingsErrors& errors)
{
    for (const YAML::Node& node : root.list("control_addresses")) {
        const std::string text = node.IsScalar() ? node.Scalar() : "";
        if (auto address = detail::parseSocketAddress(text))
            settings.m_controlAddresses.push_back(std::move(*address));
        else
            errors.add(
                node.Mark(), "control_addresses", "'" + text + "'", "an IP address and a port, such as 10.0.0.1:8401");
    }
    if (settings.m_controlAddresses.empty()) {
        for (const SocketAddress& seed : settings.m_seeds.m_addresses)
            settings.m_controlAddresses.push_back({ seed.m_ip, settings.m_seeds.m_linkPort });
    }
    if (settings.m_controlAddresses.empty()) {
        for (const ControlMember& member : settings.m_control.m_members)
            settings.m_controlAddresses.push_back(member.m_address);
    }
    const bool needsControl = settings.m_entryRole || settings.m_routesRole;
    if (needsControl && !settings.m_controlRole && settings.m_controlAddresses.empty())
        root.error("control_addresses", "nothing", "the addresses of the control members, or the role control");
}

void readAll(const YAML::Node& node, Settings& settings, SettingsErrors& errors, std::vector<std::string>& warnings)
{
    SettingsSection root(node, "", errors);
    if (!root.isPresent())
        return;
    SettingsSection vm = root.section("vm");
    std::string id;
    std::string dataCentre;
    vm.require("id", "a name for this VM that no other has");
    vm.require("data_centre", "the name of its data centre");
    vm.name("id", id);
    vm.name("data_centre", dataCentre);
    vm.checkKeys();
    settings.m_vm = VmId(id);
    settings.m_dataCentre = DataCentreName(dataCentre);
    readRoles(root, settings, errors);
    readEntry(root.section("entry"), settings, settings.m_entry);
    readSeeds(root.section("seeds"), settings.m_seeds, errors);
    readRoutes(root.section("routes"), settings, settings.m_routes);
    root.address("metrics", settings.m_metrics);
    readControl(root.section("control"), settings, errors, warnings);
    readControlAddresses(root, settings, errors);

    SettingsSection logging = root.section("logging");
    if (auto level = logging.choice("level", { "debug", "info", "warning", "error" }))
        settings.m_logging.m_level = static_cast<LogLevel>(*level);
    logging.text("file", settings.m_logging.m_file);
    logging.checkKeys();

    SettingsSection shutdown = root.section("shutdown");
    shutdown.duration("grace", Milliseconds(0), maxDuration, settings.m_shutdownGrace);
    shutdown.checkKeys();

    SettingsSection limits = root.section("limits");
    limits.number("queries", 1U, maxCount, settings.m_limits.m_queries);
    limits.number("requests", 1U, maxCount, settings.m_limits.m_requests);
    limits.decimal("memory_mb", minMemoryMb, maxMemoryMb, settings.m_limits.m_memoryMb);
    limits.decimal("descriptors", minDescriptors, maxDescriptors, settings.m_limits.m_descriptors);
    limits.checkKeys();
    root.checkKeys();
}

} // namespace

std::optional<Settings> parseSettings(
    const std::string& text, const std::string& fileName, Reason& reason, std::vector<std::string>& warnings)
{
    Settings settings;
    SettingsErrors errors { fileName, {} };
    try {
        readAll(YAML::Load(text), settings, errors, warnings);
    } catch (const YAML::Exception& exception) {
        errors.add(exception.mark, "settings", exception.msg, "a valid YAML document");
    }
    if (errors.m_lines.empty())
        return settings;
    reason.m_code = ResultCode::InvalidSettings;
    reason.m_text.clear();
    for (const std::string& line : errors.m_lines)
        reason.m_text += (reason.m_text.empty() ? "" : "\n") + line;
    return std::nullopt;
}

std::optional<Settings> readSettings(const std::string& fileName, Reason& reason, std::vector<std::string>& warnings)
{
    std::ifstream file(fileName);
    std::ostringstream text;
    if (!file.is_open() || !(text << file.rdbuf())) {
        reason = { ResultCode::InvalidSettings,
            fileName + ":1: settings: found no readable file; allowed: a YAML file with settings" };
        return std::nullopt;
    }
    return parseSettings(text.str(), fileName, reason, warnings);
}

} // namespace flamingo
