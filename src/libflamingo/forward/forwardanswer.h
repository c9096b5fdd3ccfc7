#pragma once

#include "base/ids.h"
#include "base/resultcode.h"
#include "base/time.h"
#include "http/httpfield.h"

#include <cstdint>
#include <string>
#include <vector>

namespace flamingo {

/** The final answer to a forwarded request. */
struct ForwardAnswer {
    enum class Kind {
        Passed, // the answer of one endpoint, unchanged
        Merged, // the greatest records of several endpoints
        Own, // this system's refusal or failure
    };

    Kind m_kind = Kind::Own;
    RequestId m_id;
    ResultCode m_code = ResultCode::Ok;
    std::string m_text; // reason for people
    unsigned m_status = 0; // HTTP status of a passed answer
    HttpFields m_fields; // of a passed answer
    std::string m_body;
    std::vector<std::string> m_receipts; // of the endpoints whose answers are contained
    std::uint32_t m_shards = 0;
    std::uint32_t m_missingShards = 0;
    bool m_moreFollows = false; // of a merging VM: missing shards are still worked on and can be asked for
    Milliseconds m_retryAfter { 100 }; // of a refusal
    std::uint32_t m_calls = 0; // to endpoints, hedges and retries included
};

} // namespace flamingo
