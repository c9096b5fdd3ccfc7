#pragma once

#include "api/announcement.h"
#include "api/announcementanswer.h"

namespace flamingo {

class EntryLoop;
struct ControlPort;

/**
 * Carries out what endpoints announce about themselves.
 *
 * Registrations, drains and departures are commands to the control leader; renewals travel with the
 * renewals of this VM's lease. Thread safety: announce() may be called on any thread and blocks.
 */
class Announcer {
public:
    Announcer(const EntryLoop& entry, const ControlPort& control);

    /** Carries out one announcement and returns its answer. */
    AnnouncementAnswer announce(const Announcement& announcement);

private:
    AnnouncementAnswer renew(const Announcement& announcement);

    const EntryLoop& m_entry;
    const ControlPort& m_control;
};

} // namespace flamingo
