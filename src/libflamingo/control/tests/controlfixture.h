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
 * Several control VMs over one committed log, and entry VMs with clocks and links of their own.
 *
 * The log is a plain list: what the leader proposes is committed at once, unless the leader is cut
 * off. A cut-off leader believes that it leads until it is told, but confirms no more rounds.
 */
class ControlFixture {
public:
    struct Control {
        std::unique_ptr<ControlService> m_service;
        std::size_t m_applied = 0;
        bool m_believesToLead = false;
        bool m_cutOff = false; // from the other control VMs
        MonotonicTime m_leaderSince;
        std::size_t m_readyAt = 0; // log length when it became leader
        std::optional<MonotonicTime> m_round;
    };
    struct Entry {
        std::unique_ptr<ControlClient> m_client;
        double m_rate = 1.0; // of its clock
        bool m_frozen = false;
        bool m_cutOff = false; // from all control VMs
        std::deque<std::pair<MonotonicTime, std::string>> m_inbox; // by arrival
        std::deque<std::pair<MonotonicTime, std::string>> m_outbox;
        LinkId m_link;
        std::size_t m_control = 0; // at the other end
        bool m_open = false;
        Revision m_shown; // of the state that was given out last
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

    /** Makes a control VM the leader; the one before does not know it yet. */
    void elect(std::size_t index)
    {
        // The log itself tells a leader of the next term, so that one that does not know of it gets no entries.
        m_controls[m_leader].m_cutOff = m_leader != index;
        m_leader = index;
        Control& control = m_controls[index];
        control.m_cutOff = false;
        control.m_believesToLead = true;
        control.m_leaderSince = m_now;
        control.m_readyAt = m_log.size();
        control.m_round.reset();
        control.m_service->onRoleChanged(m_now);
    }
    /** Tells a former leader that it no longer leads. */
    void depose(std::size_t index)
    {
        m_controls[index].m_believesToLead = false;
        m_controls[index].m_round.reset();
        m_controls[index].m_service->onRoleChanged(m_now);
    }
    /** Lets time pass in steps, with all control VMs and all entry VMs that are not frozen running. */
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
        const auto elapsed = std::chrono::duration<double>(m_now - m_start) * entry.m_rate;
        return m_start + std::chrono::duration_cast<MonotonicTime::duration>(elapsed);
    }
    bool serves(std::size_t index) { return m_entries[index].m_client->mayServe(clock(m_entries[index])); }
    /** Puts a command into the log past the leader. */
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
    Milliseconds m_maximumDelay { 5 }; // of a message on a link
    CommandResult m_lastResult;

private:
    void addControl(std::size_t index)
    {
        ControlServicePorts ports;
        ports.m_propose = [this, index](const std::string& bytes) {
            if (index != m_leader || m_controls[index].m_cutOff)
                return m_controls[index].m_believesToLead; // takes it, but cannot commit it
            m_log.push_back(bytes);
            return true;
        };
        ports.m_readyToServe = [this, index]() {
            const Control& control = m_controls[index];
            return control.m_believesToLead && control.m_applied >= control.m_readyAt;
        };
        ports.m_confirmedRoundStart = [this, index]() { return m_controls[index].m_round; };
        ports.m_leaderSince = [this, index]() {
            const Control& control = m_controls[index];
            return control.m_believesToLead ? std::optional(control.m_leaderSince) : std::nullopt;
        };
        ports.m_leaderAddress = [this, index]() {
            return m_controls[index].m_cutOff ? std::string() : "control" + std::to_string(m_leader);
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
            m_entries[index].m_shown = state->m_revision;
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
        const MonotonicTime time = m_now + Milliseconds(m_random() % (m_maximumDelay.count() + 1));
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
        while (!control.m_cutOff && control.m_applied < m_log.size())
            control.m_service->onApplied(m_log[control.m_applied++], m_now);
    }
    void runControl(std::size_t index)
    {
        Control& control = m_controls[index];
        if (index == m_leader && !control.m_cutOff)
            control.m_round = m_now;
        catchUp(index);
        for (Entry& entry : m_entries) {
            while (entry.m_open && !entry.m_cutOff && entry.m_control == index && !entry.m_outbox.empty()
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
            if (connected.m_cutOff) {
                m_connecting.emplace_back(index, link);
                continue;
            }
            connected.m_open = true;
            m_controls[connected.m_control].m_service->onLinkOpened(serviceLink(connected));
            connected.m_client->onLinkOpened(link, clock(connected));
        }
        while (entry.m_open && !entry.m_cutOff && !entry.m_inbox.empty() && entry.m_inbox.front().first <= m_now) {
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
