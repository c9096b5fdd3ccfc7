#pragma once

namespace flamingo {

// Request paths of the opening handshake. Each selects one protocol.
constexpr char peerLinkPath[] = "/peer"; // between control VMs
constexpr char entryLinkPath[] = "/entry"; // from entry VMs to control VMs

} // namespace flamingo
