#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace flamingo {

/** Key of a claim. Ordered by the time in the request id, so that the oldest claims come first. */
struct ClaimKey {
    std::int64_t m_seconds = 0; // Unix seconds from the request id
    ServiceName m_service;
    RequestId m_request;

    friend bool operator==(const ClaimKey& a, const ClaimKey& b)
    {
        return a.m_seconds == b.m_seconds && a.m_service == b.m_service && a.m_request == b.m_request;
    }
    friend bool operator<(const ClaimKey& a, const ClaimKey& b)
    {
        return std::tie(a.m_seconds, a.m_service, a.m_request) < std::tie(b.m_seconds, b.m_service, b.m_request);
    }
};

enum class ClaimPhase {
    InProgress, // one run holds the claim and may send the request once
    Done, // the endpoint answered
    NotRun, // the last run ended without running the request, which may be claimed again
    Unknown, // the holder cannot tell whether the request ran
    Lost, // the holder departed before it settled the claim
};

/** A non-idempotent request that was claimed at least once. */
struct ClaimRecord {
    std::uint64_t m_bodyHash = 0;
    VmId m_vm; // VM of the last run, which holds the claim
    Incarnation m_vmIncarnation;
    std::uint64_t m_run = 0; // number of the last run on that VM
    ClaimPhase m_phase = ClaimPhase::InProgress;
    bool m_answerKept = false; // false for an answer over the size limit
    std::string m_answer;
};

} // namespace flamingo
