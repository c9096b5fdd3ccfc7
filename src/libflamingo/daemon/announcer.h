#pragma once

#include "api/announcement.h"
#include "api/announcementanswer.h"

namespace flamingo {

class EntryLoop;
struct ControlLoopProxy;

/**
 * Handles the announcements of endpoints.
 *
 * Registrations, drains and departures are submitted to the control leader as commands; renewals are sent together
 * with the renewals of this VM's lease. Thread safety: announce() may be called on any thread and blocks until the
 * answer is known.
 */
class Announcer {
public:
    Announcer(const EntryLoop& entry, const ControlLoopProxy& control);

    /** Handles one announcement and returns its answer. */
    AnnouncementAnswer announce(const Announcement& announcement);

private:
    AnnouncementAnswer renew(const Announcement& announcement);

    const EntryLoop& m_entry;
    const ControlLoopProxy& m_control;
};

} // namespace flamingo
