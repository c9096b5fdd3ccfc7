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

/** Time limit of a wait for something that must happen; far above the expected time, so that only a hang exceeds it. */
constexpr std::chrono::seconds hangLimit { 60 };

/**
 * Daemon and stub endpoint processes on their own loopback network, with a temporary folder for settings, data and
 * logs.
 *
 * VMs are numbered from 1; the first three also have the control role. The methods that make HTTP calls are
 * thread-safe.
 */
class Tier {
public:
    static constexpr int controlVms = 3;

    /** How VMs connect to the control VMs. */
    enum class Links {
        Direct,
        Relayed, // through the relays that linkRelay() returns
    };

    /** Starts the daemons and waits until all are admitted and serving. */
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

    /** Returns the relay through which VMs connect to a control VM. Precondition: the links are relayed. */
    FaultRelay& linkRelay(int number) { return *m_relays.at(number - 1); }

    void startVm(int number);
    bool isServing(int number) const;

    /** Starts a stub endpoint process for a service ("{ name: ... }" in YAML flow style) and returns its index. */
    std::size_t startStub(const std::string& service, const std::string& faults = "{}");
    ChildProcess& stub(std::size_t index) { return *m_stubs.at(index); }
    std::size_t stubCount() const { return m_stubs.size(); }
    /** Starts a stub process again. Precondition: it has exited. */
    void restartStub(std::size_t index);
    HttpReply stubCall(std::size_t index, const std::string& method, const std::string& path, const Json& body) const;
    /** Returns the counters of one stub process; an empty object if it does not answer. */
    Json stubCounters(std::size_t index) const;
    std::string executionLog() const { return m_folder + "/executions"; }

    HttpReply post(
        int vm, const std::string& path, const Json& body, std::chrono::milliseconds limit = hangLimit) const;
    HttpReply statement(int vm, const std::string& text, std::chrono::milliseconds wait = {},
        const std::string& commandId = {}, std::optional<std::uint64_t> expectedVersion = {}) const;
    /**
     * Sends a statement until it succeeds. All attempts have the same command id, because an earlier attempt may
     * already have taken effect.
     */
    HttpReply runUntilSuccess(int vm, const std::string& text, const std::string& commandId) const;
    HttpReply query(int vm, const std::string& service, const std::string& body, int deadlineMs = 2000) const;

    /** Returns the rows of a SHOW statement; an empty array if the VM does not answer with success. */
    Json rows(int vm, const std::string& text) const;
    /** Returns the number of the VM whose control member is the leader according to the asked VM, or 0 if unknown. */
    int leader(int askedVm) const;

    /** Waits until exactly this number of endpoints of the service is active according to the VM. */
    void waitForEndpoints(int vm, const std::string& service, std::size_t count) const;

    /** Polls a condition until it holds and returns the elapsed time; throws after hangLimit. */
    static std::chrono::milliseconds waitFor(const char* what, const std::function<bool()>& condition);

    /** Makes the destructor keep the folder with the logs, for the analysis of a failed check. */
    void keepFolder() { m_keepFolder = true; }

private:
    std::string m_network;
    std::string m_folder;
    std::vector<std::unique_ptr<FaultRelay>> m_relays; // one for each control VM; empty with direct links
    std::vector<std::unique_ptr<ChildProcess>> m_vms; // by number; index 0 is unused
    std::vector<std::unique_ptr<ChildProcess>> m_stubs;
    bool m_keepFolder = false;
};

} // namespace flamingo::test
