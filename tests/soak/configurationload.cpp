#include "soak/configurationload.h"

#include <chrono>
#include <cstdio>
#include <set>

namespace flamingo::test {

namespace {

using namespace std::chrono_literals;

constexpr int readers = 2;
constexpr auto commandWait = 2s;
constexpr auto pauseBetweenCalls = 20ms;
constexpr auto callLimit = 8s;

/** Returns the expected service names that are not in the rows. */
std::vector<std::string> missingNames(const std::vector<std::string>& expected, const Json& rows)
{
    std::set<std::string> shown;
    for (const Json& row : rows)
        shown.insert(row.at("service").get<std::string>());
    std::vector<std::string> names;
    for (const std::string& name : expected) {
        if (shown.count(name) == 0)
            names.push_back(name);
    }
    return names;
}

} // namespace

ConfigurationLoad::ConfigurationLoad(const Tier& tier, std::uint64_t seed)
    : m_tier(tier)
{
    m_threads.emplace_back([this, seed] { runOperator(seed); });
    for (int reader = 0; reader < readers; ++reader)
        m_threads.emplace_back([this, reader, seed] { runReader(seed + 1 + static_cast<std::uint64_t>(reader)); });
}

ConfigurationLoad::~ConfigurationLoad() { stop(); }

void ConfigurationLoad::stop()
{
    m_stop = true;
    for (std::thread& thread : m_threads)
        thread.join();
    m_threads.clear();
}

std::vector<std::string> ConfigurationLoad::missingServices(int vm) const
{
    HttpReply reply;
    Tier::waitFor("a read to succeed", [&] {
        reply = m_tier.statement(vm, "SHOW SERVICES");
        return reply.code() == 0;
    });
    return missingNames(m_servicesInForce, reply.m_body.value("rows", Json::array()));
}

std::vector<std::string> ConfigurationLoad::servicesInForce()
{
    const std::lock_guard lock(m_mutex);
    return m_servicesInForce;
}

void ConfigurationLoad::runOperator(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    for (int number = 0; !m_stop; ++number) {
        const std::string name = "soak" + std::to_string(number);
        // Sends the command to random VMs until it is in force, always with the same command id.
        while (!m_stop) {
            const int vm = 1 + static_cast<int>(random() % static_cast<std::uint64_t>(m_tier.vmCount()));
            const Json body { { "text", "CREATE SERVICE " + name },
                { "wait_ms", std::chrono::milliseconds(commandWait).count() }, { "command_id", name } };
            const HttpReply reply = m_tier.post(vm, "/v1/statement", body, callLimit);
            if (reply.code() == 0 && reply.m_body.value("in_force", false)) {
                const std::lock_guard lock(m_mutex);
                m_servicesInForce.push_back(name);
                break;
            }
            std::this_thread::sleep_for(pauseBetweenCalls);
        }
    }
}

void ConfigurationLoad::runReader(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    while (!m_stop) {
        const int vm = 1 + static_cast<int>(random() % static_cast<std::uint64_t>(m_tier.vmCount()));
        const std::vector<std::string> expected = servicesInForce();
        const HttpReply reply
            = m_tier.post(vm, "/v1/statement", { { "text", "SHOW SERVICES" }, { "wait_ms", 0 } }, callLimit);
        std::this_thread::sleep_for(pauseBetweenCalls);
        if (reply.code() != 0)
            continue;
        ++m_reads;
        const std::vector<std::string> names = missingNames(expected, reply.m_body.value("rows", Json::array()));
        if (names.empty())
            continue;
        ++m_staleReads;
        std::printf("stale read: vm%d did not show service %s, which was in force\n", vm, names.front().c_str());
    }
}

} // namespace flamingo::test
