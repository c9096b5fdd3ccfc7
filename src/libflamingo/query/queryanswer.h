#pragma once

#include "base/ids.h"
#include "base/resultcode.h"
#include "base/time.h"

#include <cstdint>
#include <string>

namespace flamingo {

/** Answer to a query, as the caller receives it. Also reports a refusal or a failure. */
struct QueryAnswer {
    ResultCode m_code = ResultCode::Ok;
    std::string m_text; // reason if the code is not Ok, or a remark on a partial answer
    RequestId m_id;
    SnapshotVersion m_snapshot;
    LayoutId m_layout;
    std::uint32_t m_shardsAnswered = 0;
    std::uint32_t m_shardsTotal = 0; // shards of the snapshot's layout
    double m_coverage = 0.0; // weight of the answered shards divided by the weight of all shards, 0 to 1
    ConfigurationVersion m_configurationVersion;
    std::string m_hits = "[]"; // JSON array, sorted by score and then by key
    Milliseconds m_retryAfter { 0 }; // set if the query was refused
    std::uint32_t m_endpointRequests = 0; // calls sent for this query, including hedges and retries
};

} // namespace flamingo
