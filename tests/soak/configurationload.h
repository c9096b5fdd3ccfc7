#pragma once

#include "process/tier.h"

#include <atomic>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace flamingo::test {

/**
 * An operator that creates services one after another, and readers that ask any VM for the services.
 *
 * A change that was reported as in force must be in every answer to a read that is sent later.
 * Thread safety: none, apart from its own threads; the tier must outlive it.
 */
class ConfigurationLoad {
public:
    ConfigurationLoad(const Tier& tier, std::uint64_t seed);
    ~ConfigurationLoad();
    ConfigurationLoad(const ConfigurationLoad&) = delete;
    ConfigurationLoad& operator=(const ConfigurationLoad&) = delete;

    void stop();

    /** Returns the changes that the VM does not show. Precondition: stopped. */
    std::vector<std::string> missingAt(int vm) const;

    int changes() const { return static_cast<int>(m_inForce.size()); }
    int reads() const { return m_reads; }
    /** Returns the reads that lacked a change; each was printed. */
    int staleReads() const { return m_staleReads; }

private:
    void operate(std::uint64_t seed);
    void read(std::uint64_t seed);
    std::vector<std::string> inForce();

    const Tier& m_tier;
    std::mutex m_mutex;
    std::vector<std::string> m_inForce; // names of services
    std::atomic<int> m_reads { 0 };
    std::atomic<int> m_staleReads { 0 };
    std::atomic<bool> m_stop { false };
    std::vector<std::thread> m_threads;
};

} // namespace flamingo::test
