#pragma once

#include "control/endpointrecord.h"
#include "control/snapshotlayout.h"

#include <vector>

namespace flamingo {

/** What an announcement asks for. */
enum class AnnouncementAction {
    Register,
    Renew, // keeps a registration alive
    Drain, // asks for no new work
    Leave, // ends the registration
};

/**
 * A message of an endpoint about its own state.
 *
 * Only a registration fills more than the endpoint's id and incarnation.
 */
struct Announcement {
    AnnouncementAction m_action = AnnouncementAction::Register;
    EndpointRecord m_endpoint;
    std::vector<SnapshotLayout> m_layouts;
};

} // namespace flamingo
