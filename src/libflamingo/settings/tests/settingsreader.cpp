#include "settings/settingsreader.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <string>
#include <vector>

using namespace flamingo;

namespace {

struct Outcome {
    std::optional<Settings> m_settings;
    Reason m_reason;
    std::vector<std::string> m_warnings;
};

Outcome parse(const std::string& text)
{
    Outcome outcome;
    outcome.m_settings = parseSettings(text, "f.yaml", outcome.m_reason, outcome.m_warnings);
    return outcome;
}

const std::string entryOnly = R"(vm: { id: a1, data_centre: north }
roles: [entry]
control_addresses: ["10.0.0.1:8401"]
)";

std::string control(const std::string& members)
{
    return "vm: { id: a1, data_centre: north }\nroles: [entry, control]\n"
           "control:\n  data_folder: /var/lib/f\n  members:\n"
        + members;
}

} // namespace

// Guards against sample settings that the daemon refuses after an operator has copied them.
TEST_CASE("Every sample file is valid")
{
    std::size_t files = 0;
    for (const auto& entry :
        std::filesystem::directory_iterator(std::string(FLAMINGO_SOURCE_DIR) + "/packaging/settings")) {
        Reason reason;
        std::vector<std::string> warnings;
        const auto settings = readSettings(entry.path().string(), reason, warnings);
        INFO(reason.m_text);
        CHECK(settings);
        const bool isTrial = entry.path().filename() == "trial.yaml";
        CHECK(warnings.size() == (isTrial ? 1 : 0));
        if (settings && !isTrial)
            CHECK(settings->m_controlAddresses.size() == 5);
        ++files;
    }
    CHECK(files >= 5);
}

SCENARIO("settings are read with their units and defaults")
{
    const Outcome outcome = parse(entryOnly + R"(
entry: { listen: 10.0.0.9, port: 80, max_body: 64 KiB, caller_classes: { crew: 4 } }
shutdown: { grace: 1.5 s }
logging: { level: debug, file: /var/log/f.log }
limits: { queries: 7 }
)");
    INFO(outcome.m_reason.m_text);
    REQUIRE(outcome.m_settings);
    const Settings& settings = *outcome.m_settings;
    // Guards against ignored units, which make a value wrong by a factor of 1000 or 1024.
    CHECK(settings.m_entry.m_maxBody == 65536);
    CHECK(settings.m_shutdownGrace == Milliseconds(1500));
    CHECK(settings.m_entry.m_port == 80);
    CHECK(settings.m_entry.m_maxConnections == EntrySettings().m_maxConnections);
    CHECK(settings.m_entry.m_callerClasses.at(CallerClass("crew")) == 4);
    CHECK(settings.m_entry.m_callerClasses.at(CallerClass("default")) == 1);
    CHECK(settings.m_logging.m_level == LogLevel::Debug);
    CHECK(settings.m_limits.m_queries == 7);
    CHECK(settings.m_controlAddresses == std::vector<SocketAddress> { { "10.0.0.1", 8401 } });
    CHECK(settings.m_entryRole);
    CHECK_FALSE(settings.m_controlRole);
}

// Guards against errors that are reported one at a time: each would cost a restart while the VM is out of service.
TEST_CASE("All errors are reported at once, with line, key, what was found and what is allowed")
{
    const Outcome outcome = parse(R"(vm: { id: "a b", data_centre: north }
roles: [entry, controll]
entry:
  port: 70000
  max_body: 64
  max_conections: 5
shutdown: { grace: 30 }
control_addresses: ["10.0.0.1"]
logging: { level: verbose }
entry: {}
limits: 5
)");
    REQUIRE_FALSE(outcome.m_settings);
    CHECK(outcome.m_reason.m_code == ResultCode::InvalidSettings);
    const std::string& text = outcome.m_reason.m_text;
    INFO(text);
    CHECK(text.find("f.yaml:1: vm.id: found 'a b'; allowed: 1 to 64 letters") != std::string::npos);
    CHECK(text.find("f.yaml:2: roles: found 'controll'; allowed: a list of entry, control") != std::string::npos);
    CHECK(
        text.find("f.yaml:4: entry.port: found '70000'; allowed: a whole number from 1 to 65535") != std::string::npos);
    CHECK(text.find("f.yaml:5: entry.max_body: found '64'; allowed: a size with its unit") != std::string::npos);
    CHECK(text.find("f.yaml:6: entry.max_conections: found an unknown key") != std::string::npos);
    CHECK(text.find("did you mean 'max_connections'?") != std::string::npos);
    CHECK(text.find("f.yaml:7: shutdown.grace: found '30'; allowed: a duration with its unit") != std::string::npos);
    CHECK(text.find("f.yaml:8: control_addresses: found '10.0.0.1'") != std::string::npos);
    CHECK(text.find("f.yaml:9: logging.level: found 'verbose'; allowed: debug, info, warning") != std::string::npos);
    CHECK(text.find("f.yaml:10: entry: found the key twice") != std::string::npos);
    CHECK(text.find("f.yaml:11: limits: found '5'; allowed: a map") != std::string::npos);
}

// Guards against a cluster that cannot elect a leader, and against one that loses its state with a single disk without
// a warning.
SCENARIO("roles, sections and members are checked for consistency")
{
    const std::string threeMembers
        = "    - { vm: a1, address: \"10.0.0.1:8401\" }\n    - { vm: a2, address: \"10.0.0.2:8401\" }\n"
          "    - { vm: a3, address: \"10.0.0.3:8401\" }\n";
    const Outcome valid = parse(control(threeMembers));
    INFO(valid.m_reason.m_text);
    REQUIRE(valid.m_settings);
    CHECK(valid.m_settings->m_controlAddresses.size() == 3);

    const Outcome single = parse(control("    - { vm: a1, address: \"10.0.0.1:8401\" }\n"));
    CHECK(single.m_settings);
    CHECK(single.m_warnings.size() == 1);

    const std::vector<std::pair<std::string, std::string>> invalid {
        { control("    - { vm: a1, address: \"10.0.0.1:8401\" }\n    - { vm: a2, address: \"10.0.0.2:8401\" }\n"),
            "2 members" },
        { control(threeMembers
              + "    - { vm: a3, address: \"10.0.0.3:8401\" }\n    - { vm: a5, address: \"10.0.0.5:1\" }\n"),
            "'a3' twice" },
        { "vm: { id: b9, data_centre: n }" + control(threeMembers).substr(control(threeMembers).find('\n')),
            "no member 'b9'" },
        { "vm: { id: a1, data_centre: n }\nroles: [control]\n", "control.data_folder" },
        { "vm: { id: a1, data_centre: n }\nroles: [entry]\n", "control_addresses" },
        { "vm: { id: a1, data_centre: n }\nroles: []\n", "no role" },
        { entryOnly + "control: { data_folder: /x }\n", "a section without its role" },
        { "", "allowed: a map" },
        { "vm: [", "a valid YAML document" },
        { "roles: [entry]\ncontrol_addresses: [\"[::1]:5\"]\n", "vm.id: found nothing" },
    };
    for (const auto& [text, expected] : invalid) {
        const Outcome outcome = parse(text);
        INFO(text << outcome.m_reason.m_text);
        CHECK_FALSE(outcome.m_settings);
        CHECK(outcome.m_reason.m_text.find(expected) != std::string::npos);
    }
}

// Guards against a daemon that starts with default settings because its file is missing.
TEST_CASE("A missing file is an error")
{
    Reason reason;
    std::vector<std::string> warnings;
    CHECK_FALSE(readSettings("/nonexistent/f.yaml", reason, warnings));
    CHECK(reason.m_code == ResultCode::InvalidSettings);
    CHECK_FALSE(readSettings("/", reason, warnings));
}

// Guards against a VM that is configured with seed addresses and starts without knowing its control VMs.
TEST_CASE("settings with seeds are read and checked for the roles routes and control")
{
    const std::string vm = "vm: { id: a1, data_centre: north }\n";
    const std::string seeds = "seeds:\n  addresses: [\"10.0.0.2:8106\", \"10.0.0.3:8106\"]\n  link_port: 7380\n";

    SECTION("the control addresses are those of the seeds with the port for links")
    {
        const Outcome outcome = parse(vm
            + "roles: [routes]\nroutes:\n  listen: 10.0.0.1:8104\n  health: 10.0.0.1:8108\n  merge_port: 7380\n"
              "  extra_load_share: 0.25\n"
            + seeds);
        INFO(outcome.m_reason.m_text);
        REQUIRE(outcome.m_settings);
        REQUIRE(outcome.m_settings->m_controlAddresses.size() == 2);
        CHECK(outcome.m_settings->m_controlAddresses[1].text() == "10.0.0.3:7380");
        CHECK(outcome.m_settings->m_routes.m_extraLoadShare == 0.25);
    }
    SECTION("a control VM with seeds needs no list of members")
    {
        const Outcome outcome = parse(vm
            + "roles: [control]\ncontrol:\n  listen: 10.0.0.2:7380\n  api: 10.0.0.2:8106\n  data_folder: /data\n"
              "  bootstrap: true\n  endpoint_heartbeat: 1200 ms\n  tolerated_losses: 2\n"
            + seeds);
        INFO(outcome.m_reason.m_text);
        REQUIRE(outcome.m_settings);
        CHECK(outcome.m_settings->m_control.m_endpointHeartbeat == Milliseconds(1200));
        CHECK(outcome.m_settings->m_control.m_toleratedLosses == 2);
    }
    SECTION("a role without its section, a section without its role and a share above 10 are errors")
    {
        CHECK_FALSE(parse(vm + "roles: [routes]\n" + seeds).m_settings);
        CHECK_FALSE(parse(entryOnly + "routes:\n  listen: 10.0.0.1:1\n  health: 10.0.0.1:2\n").m_settings);
        CHECK_FALSE(parse(vm
            + "roles: [routes]\nroutes:\n  listen: 10.0.0.1:1\n  health: 10.0.0.1:2\n  extra_load_share: 10.5\n"
            + seeds)
                        .m_settings);
    }
    SECTION("limits of extra load are decimal numbers, and a key without a value has its default")
    {
        const std::string routes
            = vm + seeds + "roles: [routes]\nroutes:\n  listen: 10.0.0.1:1\n  health: 10.0.0.1:2\n";
        const Outcome outcome = parse(routes + "  extra_load_share: 1.5\n  extra_load_calls: 35.83\n  merge_port:\n");
        INFO(outcome.m_reason.m_text);
        REQUIRE(outcome.m_settings);
        CHECK(outcome.m_settings->m_routes.m_extraLoadShare == 1.5);
        CHECK(outcome.m_settings->m_routes.m_extraLoadCalls == 35.83);
        CHECK(outcome.m_settings->m_routes.m_mergePort == 0);
        for (const char* wrong : { "0x10", "-1", "nan", "inf", "1,5", "5 calls", "2e9" })
            CHECK_FALSE(parse(routes + "  extra_load_calls: " + wrong + "\n").m_settings);
    }
    SECTION("a required key without a value is an error")
    {
        const Outcome outcome = parse(vm + seeds + "roles: [routes]\nroutes:\n  listen:\n  health: 10.0.0.1:2\n");
        CHECK(outcome.m_reason.m_text.find("routes.listen: found nothing") != std::string::npos);
    }
    SECTION("settings with neither seeds nor control addresses are refused")
    {
        CHECK_FALSE(parse(vm + "roles: [routes]\nroutes:\n  listen: 10.0.0.1:1\n  health: 10.0.0.1:2\n").m_settings);
    }
}
