#include "process/tier.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace flamingo::test {

namespace {

using Tcp = boost::asio::ip::tcp;

constexpr std::uint16_t httpPort = 8400;
constexpr std::uint16_t linkPort = 8401;
constexpr std::uint16_t firstAdminPort = 9800;
constexpr int relayHostOffset = 50; // added to the VM number for the last part of the relay's address

bool portsAreFree(const std::string& network, int vms)
{
    boost::asio::io_context io;
    for (int number = 1; number <= vms; ++number) {
        for (const std::uint16_t port : { httpPort, linkPort }) {
            boost::system::error_code error;
            Tcp::acceptor acceptor(io);
            acceptor.open(Tcp::v4());
            acceptor.bind({ boost::asio::ip::make_address(network + "." + std::to_string(number)), port }, error);
            if (error)
                return false;
        }
    }
    return true;
}

std::string freeNetwork(int vms)
{
    static std::atomic<unsigned> next { static_cast<unsigned>(::getpid()) * 7 };
    for (int tries = 0; tries < 100; ++tries) {
        const unsigned number = next++;
        const std::string network
            = "127." + std::to_string(128 + number / 250 % 100) + "." + std::to_string(number % 250);
        if (portsAreFree(network, vms))
            return network;
    }
    throw std::runtime_error("no free loopback network found in 100 tries");
}

} // namespace

Tier::Tier(int vms, Links links)
    : m_network(freeNetwork(vms))
{
    char folder[] = "/tmp/flamingo-process-XXXXXX";
    if (!::mkdtemp(folder))
        throw std::runtime_error("cannot create a temporary folder in /tmp");
    m_folder = folder;
    std::string members;
    std::string addresses;
    for (int number = 1; number <= controlVms; ++number) {
        std::string host = vmAddress(number);
        if (links == Links::Relayed) {
            host = m_network + "." + std::to_string(relayHostOffset + number);
            m_relays.push_back(std::make_unique<FaultRelay>(host, linkPort, vmAddress(number), linkPort));
        }
        const std::string address = "\"" + host + ":" + std::to_string(linkPort) + "\"";
        members
            += (members.empty() ? "" : ", ") + ("{ vm: vm" + std::to_string(number)) + ", address: " + address + " }";
        addresses += (addresses.empty() ? "" : ", ") + address;
    }
    m_vms.push_back(nullptr); // VMs are numbered from 1
    for (int number = 1; number <= vms; ++number) {
        const std::string name = "vm" + std::to_string(number);
        std::ofstream settings(m_folder + "/" + name + ".yaml");
        settings << "vm: { id: " << name << ", data_centre: dc" << (number - 1) % 3 + 1 << " }\n"
                 << "entry: { listen: " << vmAddress(number) << ", port: " << httpPort << " }\n";
        if (number <= controlVms)
            settings << "roles: [entry, control]\ncontrol: { listen: \"" << vmAddress(number) << ":" << linkPort
                     << "\", data_folder: " << dataFolder(number) << ", bootstrap: true, members: [" << members
                     << "] }\n";
        else
            settings << "roles: [entry]\ncontrol_addresses: [" << addresses << "]\n";
        settings.close();
        m_vms.push_back(std::make_unique<ChildProcess>());
        startVm(number);
    }
    for (int number = 1; number <= vms; ++number)
        waitFor("a VM to be serving", [&] { return isServing(number); });
}

Tier::~Tier()
{
    m_stubs.clear();
    m_vms.clear();
    if (m_keepFolder || std::uncaught_exceptions() > 0)
        std::printf("test failed; logs kept in %s\n", m_folder.c_str());
    else
        std::filesystem::remove_all(m_folder);
}

void Tier::startVm(int number)
{
    const std::string base = m_folder + "/vm" + std::to_string(number);
    vm(number).start({ FLAMINGOD, "--settings=" + base + ".yaml" }, base + ".log");
}

bool Tier::isServing(int number) const
{
    return httpCall(vmAddress(number), httpPort, "GET", "/healthz", "", std::chrono::seconds(5)).m_status == 200;
}

std::size_t Tier::startStub(const std::string& service, const std::string& faults)
{
    const std::size_t index = m_stubs.size();
    const std::string base = m_folder + "/stub" + std::to_string(index);
    std::ofstream scenario(base + ".yaml");
    scenario << "admin_address: " << m_network << ".250\nadmin_port: " << firstAdminPort + index
             << "\nseed: " << index + 1 << "\nexecution_log: " << executionLog() << "\ndaemons: [";
    for (int number = 1; number <= vmCount(); ++number)
        scenario << (number == 1 ? "" : ", ") << "\"" << vmAddress(number) << ":" << httpPort << "\"";
    scenario << "]\nfaults: " << faults << "\nservices:\n  - " << service << "\n";
    scenario.close();
    m_stubs.push_back(std::make_unique<ChildProcess>());
    restartStub(index);
    return index;
}

void Tier::restartStub(std::size_t index)
{
    const std::string base = m_folder + "/stub" + std::to_string(index);
    stub(index).start({ STUB_ENDPOINT, base + ".yaml" }, base + ".log");
}

HttpReply Tier::stubCall(std::size_t index, const std::string& method, const std::string& path, const Json& body) const
{
    return httpCall(m_network + ".250", static_cast<std::uint16_t>(firstAdminPort + index), method, path,
        body.is_null() ? "" : body.dump(), std::chrono::seconds(10));
}

Json Tier::stubCounters(std::size_t index) const
{
    const HttpReply reply = stubCall(index, "GET", "/stub/counters", nullptr);
    return reply.m_body.is_object() ? reply.m_body : Json::object();
}

HttpReply Tier::post(int vm, const std::string& path, const Json& body, std::chrono::milliseconds limit) const
{
    return httpCall(vmAddress(vm), httpPort, "POST", path, body.dump(), limit);
}

HttpReply Tier::statement(int vm, const std::string& text, std::chrono::milliseconds wait, const std::string& commandId,
    std::optional<std::uint64_t> expectedVersion) const
{
    Json body { { "text", text }, { "wait_ms", wait.count() } };
    if (!commandId.empty())
        body["command_id"] = commandId;
    if (expectedVersion)
        body["expected_version"] = *expectedVersion;
    return post(vm, "/v1/statement", body);
}

HttpReply Tier::runUntilSuccess(int vm, const std::string& text, const std::string& commandId) const
{
    HttpReply reply;
    waitFor("a statement to succeed", [&] {
        reply = statement(vm, text, std::chrono::seconds(20), commandId);
        return reply.code() == 0;
    });
    return reply;
}

HttpReply Tier::query(int vm, const std::string& service, const std::string& body, int deadlineMs) const
{
    return post(vm, "/v1/query", { { "service", service }, { "body", body }, { "deadline_ms", deadlineMs } });
}

Json Tier::rows(int vm, const std::string& text) const
{
    const HttpReply reply = statement(vm, text);
    return reply.code() == 0 ? reply.m_body.value("rows", Json::array()) : Json::array();
}

int Tier::leader(int askedVm) const
{
    for (const Json& row : rows(askedVm, "SHOW MEMBERS")) {
        if (row.at("leader").get<bool>())
            return std::stoi(row.at("member").get<std::string>().substr(2));
    }
    return 0;
}

void Tier::waitForEndpoints(int vm, const std::string& service, std::size_t count) const
{
    waitFor("endpoints to register", [&] {
        std::size_t active = 0;
        for (const Json& row : rows(vm, "SHOW ENDPOINTS OF " + service))
            active += row.at("state") == "active" ? 1 : 0;
        return active == count;
    });
}

std::chrono::milliseconds Tier::waitFor(const char* what, const std::function<bool()>& condition)
{
    const auto start = std::chrono::steady_clock::now();
    while (!condition()) {
        if (std::chrono::steady_clock::now() - start > hangLimit)
            throw std::runtime_error(std::string("timed out waiting for ") + what);
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start);
}

} // namespace flamingo::test
