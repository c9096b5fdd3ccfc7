#pragma once

#include "control/applychange.h"
#include "control/codec.h"
#include "control/controlclient.h"
#include "control/controlservice.h"
#include "control/digest.h"
#include "control/tests/commandmaker.h"

#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace flamingo {

/**
 * Simulates several control VMs with one committed log, and entry VMs with their own clocks and links.
 *
 * The log is a list: a proposal of the leader is committed at once unless the leader is isolated. An isolated leader
 * acts as leader until depose() is called, but its heartbeat rounds are no longer confirmed.
 */
class ControlFixture {
public:
    struct Control {
        std::unique_ptr<ControlService> m_service;
        std::size_t m_applied = 0;
        bool m_actsAsLeader = false;
        bool m_isolated = false; // whether it is partitioned from the other control VMs
        MonotonicTime m_leaderSince;
        std::size_t m_readyAt = 0; // length of the log when it became leader
        std::optional<MonotonicTime> m_round; // start of the last confirmed heartbeat round
    };
    struct Entry {
        std::unique_ptr<ControlClient> m_client;
        double m_clockRate = 1.0; // seconds on its clock for each second of the simulation
        bool m_frozen = false;
        bool m_isolated = false; // whether it is partitioned from all control VMs
        // Messages in flight with their arrival times, in order.
        std::deque<std::pair<MonotonicTime, std::string>> m_inbox;
        std::deque<std::pair<MonotonicTime, std::string>> m_outbox;
        LinkId m_link;
        std::size_t m_control = 0; // index of the control VM at the other end of the link
        bool m_open = false;
        Revision m_deliveredRevision; // revision of the last state that the client published
    };

    ControlFixture(std::size_t controls, std::size_t entries, std::uint32_t seed = 1)
        : m_random(seed)
    {
        for (std::size_t index = 0; index < controls; ++index)
            addControl(index);
        for (std::size_t index = 0; index < entries; ++index)
            addEntry(index);
        elect(0);
    }

    /** Makes a control VM the leader. The previous leader is isolated and still acts as leader until depose(). */
    void elect(std::size_t index)
    {
        // A leader learns of the next term from the log, so one that still acts as leader must not receive entries.
        m_controls[m_leader].m_isolated = m_leader != index;
        m_leader = index;
        Control& control = m_controls[index];
        control.m_isolated = false;
        control.m_actsAsLeader = true;
        control.m_leaderSince = m_now;
        control.m_readyAt = m_log.size();
        control.m_round.reset();
        control.m_service->onRoleChanged(m_now);
    }
    /** Tells a former leader that it is no longer the leader. */
    void depose(std::size_t index)
    {
        m_controls[index].m_actsAsLeader = false;
        m_controls[index].m_round.reset();
        m_controls[index].m_service->onRoleChanged(m_now);
    }
    /** Advances time in steps and runs all control VMs and all entry VMs that are not frozen. */
    void run(Milliseconds time, Milliseconds step = Milliseconds(20))
    {
        for (const MonotonicTime end = m_now + time; m_now < end;) {
            m_now += step;
            for (std::size_t index = 0; index < m_controls.size(); ++index)
                runControl(index);
            for (Entry& entry : m_entries)
                runEntry(entry);
        }
    }
    ControlService& leader() { return *m_controls[m_leader].m_service; }
    ControlClient& client(std::size_t index) { return *m_entries[index].m_client; }
    /** Returns the time on the clock of an entry VM. */
    MonotonicTime clock(const Entry& entry) const
    {
        const auto elapsed = std::chrono::duration<double>(m_now - m_start) * entry.m_clockRate;
        return m_start + std::chrono::duration_cast<MonotonicTime::duration>(elapsed);
    }
    bool serves(std::size_t index) { return m_entries[index].m_client->mayServe(clock(m_entries[index])); }
    /** Appends a command to the log without a proposal by the leader, and returns its result. */
    CommandResult commit(CommandBody body, const std::string& id = {})
    {
        Command command { CommandId(id), {}, wallClock(), std::move(body) };
        m_log.push_back(encodeProposedCommand({ 99, 0, command }));
        catchUp(m_leader);
        Replica probe;
        for (const std::string& entry : m_log) {
            Reason reason;
            m_lastResult = apply(probe.m_state, decodeProposedCommand(entry, reason)->m_command, probe.m_changes);
        }
        return m_lastResult;
    }
    LogTime wallClock() const
    {
        return LogTime(startSeconds * 1000 + std::chrono::duration_cast<Milliseconds>(m_now - m_start).count());
    }

    std::vector<Control> m_controls;
    std::vector<Entry> m_entries;
    std::vector<std::string> m_log;
    std::size_t m_leader = 0;
    MonotonicTime m_start { std::chrono::hours(1) };
    MonotonicTime m_now = m_start;
    Milliseconds m_maxDelay { 5 }; // greatest delay of a message on a link
    CommandResult m_lastResult;

private:
    void addControl(std::size_t index)
    {
        ControlServicePorts ports;
        ports.m_propose = [this, index](const std::string& bytes) {
            if (index != m_leader || m_controls[index].m_isolated)
                return m_controls[index].m_actsAsLeader; // accepted, but never committed
            m_log.push_back(bytes);
            return true;
        };
        ports.m_readyToServe = [this, index]() {
            const Control& control = m_controls[index];
            return control.m_actsAsLeader && control.m_applied >= control.m_readyAt;
        };
        ports.m_confirmedRoundStart = [this, index]() { return m_controls[index].m_round; };
        ports.m_leaderSince = [this, index]() {
            const Control& control = m_controls[index];
            return control.m_actsAsLeader ? std::optional(control.m_leaderSince) : std::nullopt;
        };
        ports.m_leaderAddress = [this, index]() {
            return m_controls[index].m_isolated ? std::string() : "control" + std::to_string(m_leader);
        };
        ports.m_controlAddresses = []() { return std::vector<std::string>(); };
        ports.m_send = [this, index](LinkId link, const std::string& bytes) {
            for (Entry& entry : m_entries) {
                if (entry.m_open && entry.m_control == index && serviceLink(entry) == link)
                    entry.m_inbox.emplace_back(arrival(entry.m_inbox), bytes);
            }
        };
        ports.m_wallClock = [this]() { return wallClock(); };
        m_controls.emplace_back().m_service = std::make_unique<ControlService>(std::move(ports), index + 1);
    }
    void addEntry(std::size_t index)
    {
        ControlClientSettings settings;
        settings.m_vm = VmId("vm" + std::to_string(index));
        settings.m_incarnation = Incarnation(1);
        settings.m_address = "127.0.0.1:80";
        for (std::size_t control = 0; control < m_controls.size(); ++control)
            settings.m_controlAddresses.push_back("control" + std::to_string(control));
        m_entries.emplace_back();
        ControlClientPorts ports;
        ports.m_connect = [this, index](LinkId link, const std::string& address) {
            Entry& entry = m_entries[index];
            entry.m_link = link;
            entry.m_control = static_cast<std::size_t>(address.back() - '0');
            m_connecting.emplace_back(index, link);
        };
        ports.m_close = [this, index](LinkId) { closeLink(m_entries[index]); };
        ports.m_send = [this, index](LinkId, const std::string& bytes) {
            Entry& entry = m_entries[index];
            entry.m_outbox.emplace_back(arrival(entry.m_outbox), bytes);
        };
        ports.m_onState = [this, index](const std::shared_ptr<const PublishedState>& state) {
            m_entries[index].m_deliveredRevision = state->m_revision;
        };
        ports.m_random = [this]() { return static_cast<double>(m_random() % 1000) / 1000.0; };
        m_entries[index].m_client = std::make_unique<ControlClient>(std::move(settings), std::move(ports));
    }
    LinkId serviceLink(const Entry& entry) const
    {
        return LinkId(entry.m_link.value() * 1000 + static_cast<std::uint64_t>(&entry - m_entries.data()));
    }
    MonotonicTime arrival(const std::deque<std::pair<MonotonicTime, std::string>>& box)
    {
        const MonotonicTime time = m_now + Milliseconds(m_random() % (m_maxDelay.count() + 1));
        return box.empty() ? time : std::max(time, box.back().first); // in order, as on TCP
    }
    void closeLink(Entry& entry)
    {
        if (entry.m_open)
            m_controls[entry.m_control].m_service->onLinkClosed(serviceLink(entry));
        entry.m_open = false;
        entry.m_inbox.clear();
        entry.m_outbox.clear();
    }
    void catchUp(std::size_t index)
    {
        Control& control = m_controls[index];
        while (!control.m_isolated && control.m_applied < m_log.size())
            control.m_service->onApplied(m_log[control.m_applied++], m_now);
    }
    void runControl(std::size_t index)
    {
        Control& control = m_controls[index];
        if (index == m_leader && !control.m_isolated)
            control.m_round = m_now;
        catchUp(index);
        for (Entry& entry : m_entries) {
            while (entry.m_open && !entry.m_isolated && entry.m_control == index && !entry.m_outbox.empty()
                && entry.m_outbox.front().first <= m_now) {
                const std::string bytes = entry.m_outbox.front().second;
                entry.m_outbox.pop_front();
                control.m_service->onMessage(serviceLink(entry), bytes, m_now);
                catchUp(index);
            }
        }
        control.m_service->tick(m_now);
        catchUp(index);
    }
    void runEntry(Entry& entry)
    {
        if (entry.m_frozen)
            return;
        const auto connecting = std::move(m_connecting);
        m_connecting.clear();
        for (const auto& [index, link] : connecting) {
            Entry& connected = m_entries[index];
            if (connected.m_link != link || connected.m_frozen)
                continue;
            if (connected.m_isolated) {
                m_connecting.emplace_back(index, link);
                continue;
            }
            connected.m_open = true;
            m_controls[connected.m_control].m_service->onLinkOpened(serviceLink(connected));
            connected.m_client->onLinkOpened(link, clock(connected));
        }
        while (entry.m_open && !entry.m_isolated && !entry.m_inbox.empty() && entry.m_inbox.front().first <= m_now) {
            const std::string bytes = entry.m_inbox.front().second;
            entry.m_inbox.pop_front();
            entry.m_client->onMessage(entry.m_link, bytes, clock(entry));
        }
        entry.m_client->tick(clock(entry));
    }

    std::vector<std::pair<std::size_t, LinkId>> m_connecting;
    std::mt19937 m_random;
};

} // namespace flamingo
