#pragma once

#include "base/ids.h"

#include <optional>

namespace flamingo {

/** Kind of records that a SHOW statement lists. */
enum class ShowSubject {
    Services,
    Endpoints,
    Vms,
    Versions,
    Leases,
    Quarantine,
    Members,
    Claims,
    Evacuations,
};

/** Lists the records of one kind, without changing anything. */
struct ShowStatement {
    ShowSubject m_subject = ShowSubject::Services;
    std::optional<ServiceName> m_service; // restricts ENDPOINTS and CLAIMS to one service
};

} // namespace flamingo
