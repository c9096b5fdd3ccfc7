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

std::vector<std::string> missing(const std::vector<std::string>& expected, const Json& rows)
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
    m_threads.emplace_back([this, seed] { operate(seed); });
    for (int reader = 0; reader < readers; ++reader)
        m_threads.emplace_back([this, reader, seed] { read(seed + 1 + static_cast<std::uint64_t>(reader)); });
}

ConfigurationLoad::~ConfigurationLoad() { stop(); }

void ConfigurationLoad::stop()
{
    m_stop = true;
    for (std::thread& thread : m_threads)
        thread.join();
    m_threads.clear();
}

std::vector<std::string> ConfigurationLoad::missingAt(int vm) const
{
    HttpReply reply;
    Tier::waitFor("a VM to answer a read", [&] {
        reply = m_tier.statement(vm, "SHOW SERVICES");
        return reply.code() == 0;
    });
    return missing(m_inForce, reply.m_body.value("rows", Json::array()));
}

std::vector<std::string> ConfigurationLoad::inForce()
{
    const std::lock_guard lock(m_mutex);
    return m_inForce;
}

void ConfigurationLoad::operate(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    for (int number = 0; !m_stop; ++number) {
        const std::string name = "soak" + std::to_string(number);
        // The same command is sent to any VM until it is in force.
        while (!m_stop) {
            const int vm = 1 + static_cast<int>(random() % static_cast<std::uint64_t>(m_tier.vmCount()));
            const Json body { { "text", "CREATE SERVICE " + name },
                { "wait_ms", std::chrono::milliseconds(commandWait).count() }, { "command_id", name } };
            const HttpReply reply = m_tier.post(vm, "/v1/statement", body, callLimit);
            if (reply.code() == 0 && reply.m_body.value("in_force", false)) {
                const std::lock_guard lock(m_mutex);
                m_inForce.push_back(name);
                break;
            }
            std::this_thread::sleep_for(pauseBetweenCalls);
        }
    }
}

void ConfigurationLoad::read(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    while (!m_stop) {
        const int vm = 1 + static_cast<int>(random() % static_cast<std::uint64_t>(m_tier.vmCount()));
        const std::vector<std::string> expected = inForce();
        const HttpReply reply
            = m_tier.post(vm, "/v1/statement", { { "text", "SHOW SERVICES" }, { "wait_ms", 0 } }, callLimit);
        std::this_thread::sleep_for(pauseBetweenCalls);
        if (reply.code() != 0)
            continue;
        ++m_reads;
        const std::vector<std::string> names = missing(expected, reply.m_body.value("rows", Json::array()));
        if (names.empty())
            continue;
        ++m_staleReads;
        std::printf("vm%d answered a read without %s, which was in force\n", vm, names.front().c_str());
    }
}

} // namespace flamingo::test
