#pragma once

#include "base/ids.h"
#include "base/resultcode.h"
#include "base/time.h"
#include "endpoint/endpointlifetime.h"
#include "http/httpfield.h"

#include <cstdint>
#include <string>
#include <vector>

namespace flamingo {

/** The final answer to a forwarded request. */
struct ForwardAnswer {
    enum class Kind {
        Passed, // the answer of one endpoint, unchanged
        Merged, // the greatest records of several shards
        Error, // a refusal or failure that this VM generated
    };

    Kind m_kind = Kind::Error;
    RequestId m_id;
    ResultCode m_code = ResultCode::Ok;
    std::string m_text; // error message for people
    unsigned m_status = 0; // HTTP status of a passed answer
    HttpFields m_fields; // HTTP headers of a passed answer
    std::string m_body;
    std::vector<std::string> m_receipts; // of the endpoints whose replies the answer contains
    std::uint32_t m_shardCount = 0;
    std::uint32_t m_missingShards = 0;
    // From a merging VM: it still queries the missing shards, and their records can be requested later.
    bool m_moreFollows = false;
    Milliseconds m_retryAfter { 100 }; // sent with a refusal
    bool m_cutOff = false; // the VM that served a relayed request lost its links; another VM may serve it
    std::uint32_t m_usedAttempts = 0; // most attempts for one shard that ran or may have run
    std::vector<EndpointLifetime> m_leavingEndpoints; // that said so in answers to calls for this request
    std::uint32_t m_calls = 0; // number of calls, hedges and retries included
};

} // namespace flamingo
