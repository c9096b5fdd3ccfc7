#pragma once

#include "base/ids.h"

#include <optional>

namespace flamingo {

/** What a SHOW statement lists. */
enum class ShowSubject {
    Services,
    Endpoints,
    Vms,
    Versions,
    Leases,
    Quarantine,
    Members,
    Claims,
};

/** Lists records; changes nothing. */
struct ShowStatement {
    ShowSubject m_subject = ShowSubject::Services;
    std::optional<ServiceName> m_service; // for ENDPOINTS and CLAIMS
};

} // namespace flamingo
