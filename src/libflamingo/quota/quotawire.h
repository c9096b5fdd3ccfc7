#pragma once

#include "quota/quotastatus.h"
#include "quota/quotausage.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace flamingo {

/** A QuotaStatus that was sent to all VMs. */
struct QuotaAnnouncement {
    VmId m_from; // the VM that owns the quota
    QuotaStatus m_status;
};

/** A QuotaStatus that answers a report. */
struct QuotaAnswer {
    VmId m_from; // the VM that owns the quota
    QuotaStatus m_status;
};

/** A datagram between entry VMs: a CBOR array of at most a few hundred bytes. */
using QuotaMessage = std::variant<QuotaUsage, QuotaAnswer, QuotaAnnouncement>;

/** Encodes the message. Thread-safe. */
std::string encodeQuotaMessage(const QuotaMessage& message);

/** Decodes a datagram; returns nothing if it is malformed. Thread-safe. */
std::optional<QuotaMessage> decodeQuotaMessage(std::string_view datagram);

} // namespace flamingo
