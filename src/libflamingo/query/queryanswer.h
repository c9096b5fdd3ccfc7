#pragma once

#include "base/ids.h"
#include "base/resultcode.h"
#include "base/time.h"

#include <cstdint>
#include <string>

namespace flamingo {

/** What a caller receives for a query, also when it is refused or fails. */
struct QueryAnswer {
    ResultCode m_code = ResultCode::Ok;
    std::string m_text; // reason when the code is not Ok
    RequestId m_id;
    SnapshotVersion m_snapshot;
    LayoutId m_layout;
    std::uint32_t m_shardsAnswered = 0;
    std::uint32_t m_shardsTotal = 0; // shards of the snapshot's layout
    double m_coverage = 0.0; // answered weight over the weight of the whole layout
    ConfigurationVersion m_configurationVersion;
    std::string m_hits = "[]"; // JSON array, sorted by score and then by key
    Milliseconds m_retryAfter { 0 }; // for refusals
    std::uint32_t m_endpointRequests = 0; // sent for this query, hedges and retries included
};

} // namespace flamingo
