#pragma once

#include "control/endpointrecord.h"
#include "control/snapshotlayout.h"

#include <vector>

namespace flamingo {

enum class AnnouncementAction {
    Register,
    Renew,
    Drain,
    Leave,
};

/** What an endpoint says about itself. Only a registration fills more than id and incarnation. */
struct Announcement {
    AnnouncementAction m_action = AnnouncementAction::Register;
    EndpointRecord m_endpoint;
    std::vector<SnapshotLayout> m_layouts;
};

} // namespace flamingo
