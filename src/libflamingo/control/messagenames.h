#pragma once

#include "control/messages.h"

#include <array>
#include <variant>

namespace flamingo::detail {

// Type names in the wire format, in the order of the alternatives of ControlMessage.
inline constexpr std::array<const char*, std::variant_size_v<ControlMessage>> messageNames { "hello", "renew",
    "commandRequest", "statusRequest", "notLeader", "grant", "delta", "fullCopy", "commandReply", "statusReply",
    "adminRequest", "adminReply", "controlAddresses" };

} // namespace flamingo::detail
