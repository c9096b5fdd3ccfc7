#pragma once

namespace flamingo {

// Request paths of the opening handshake. Each selects one protocol.
constexpr char peerLinkPath[] = "/peer"; // between members of the control group
constexpr char entryLinkPath[] = "/entry"; // from entry VMs to the control group

} // namespace flamingo
