#pragma once

#include "process/childprocess.h"
#include "process/httpcall.h"
#include "support/faultrelay.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace flamingo::test {

using Json = nlohmann::json;

/** Bounds a wait for something that must come; it is far above the expected time. */
constexpr std::chrono::seconds hangLimit { 60 };

/**
 * Daemons and stub endpoints on a loopback network of their own, with a temporary folder.
 *
 * VMs are numbered from 1; the first three also run the control role. The calls over HTTP are thread-safe.
 */
class Tier {
public:
    static constexpr int controlVms = 3;

    /** How VMs reach the control VMs. */
    enum class Links {
        Direct,
        Relayed, // through linkRelay()
    };

    /** Starts the daemons and waits until all are admitted and serve. */
    explicit Tier(int vms, Links links = Links::Direct);
    ~Tier();
    Tier(const Tier&) = delete;
    Tier& operator=(const Tier&) = delete;

    int vmCount() const { return static_cast<int>(m_vms.size()) - 1; }
    ChildProcess& vm(int number) { return *m_vms.at(number); }
    std::string vmAddress(int number) const { return m_network + "." + std::to_string(number); }
    std::string dataFolder(int number) const { return m_folder + "/vm" + std::to_string(number); }
    const std::string& network() const { return m_network; }
    const std::string& folder() const { return m_folder; }

    /** Returns the relay in front of a control VM's links. Precondition: the links are relayed. */
    FaultRelay& linkRelay(int number) { return *m_relays.at(number - 1); }

    void startVm(int number);
    bool isServing(int number) const;

    /** Starts a stub process for a service ("{ name: ... }" in YAML flow style); returns its index. */
    std::size_t startStub(const std::string& service, const std::string& faults = "{}");
    ChildProcess& stub(std::size_t index) { return *m_stubs.at(index); }
    std::size_t stubCount() const { return m_stubs.size(); }
    /** Starts a stub process again that has ended. */
    void restartStub(std::size_t index);
    HttpReply stubCall(std::size_t index, const std::string& method, const std::string& path, const Json& body) const;
    /** Returns the counters of one stub process; an empty object when it does not answer. */
    Json stubCounters(std::size_t index) const;
    std::string executionLog() const { return m_folder + "/executions"; }

    HttpReply post(
        int vm, const std::string& path, const Json& body, std::chrono::milliseconds limit = hangLimit) const;
    HttpReply statement(int vm, const std::string& text, std::chrono::milliseconds wait = {},
        const std::string& commandId = {}, std::optional<std::uint64_t> expectedVersion = {}) const;
    /** Runs a statement until it succeeds; an earlier try may have taken effect, so a command id is given. */
    HttpReply settle(int vm, const std::string& text, const std::string& commandId) const;
    HttpReply query(int vm, const std::string& service, const std::string& body, int deadlineMs = 2000) const;

    /** Returns the rows of a SHOW statement; an empty array when the VM cannot tell. */
    Json rows(int vm, const std::string& text) const;
    /** Returns the number of the VM whose control member leads, or 0. */
    int leader(int askedVm) const;

    /** Waits until so many endpoints of the service are active as the VM sees it. */
    void waitForEndpoints(int vm, const std::string& service, std::size_t count) const;

    /** Waits for a condition and returns the time that took; throws after the hang limit. */
    static std::chrono::milliseconds waitFor(const char* what, const std::function<bool()>& condition);

    /** Tells the tier that a check failed, so that its folder with the logs is kept. */
    void keepFolder() { m_keep = true; }

private:
    std::string m_network;
    std::string m_folder;
    std::vector<std::unique_ptr<FaultRelay>> m_relays; // in front of the links of each control VM
    std::vector<std::unique_ptr<ChildProcess>> m_vms;
    std::vector<std::unique_ptr<ChildProcess>> m_stubs;
    bool m_keep = false;
};

} // namespace flamingo::test
