#pragma once

#include "base/reason.h"
#include "control/controlstate.h"
#include "control/messages.h"
#include "control/proposedcommand.h"

#include <optional>
#include <string>
#include <string_view>

namespace flamingo {

// Version of the messages between VMs and of the log entries and snapshots on disk.
constexpr std::uint32_t protocolVersion = 3;

// The functions below are pure and thread-safe. A decoder returns nothing and fills the reason when the
// bytes are not exactly one value of the expected type: MalformedBody for invalid CBOR, a wrong type, a
// missing field or an unknown type; UnsupportedProtocol for another protocol version.

/**
 * Returns the message as one CBOR map {v: protocol version, t: type name, b: fields in order}.
 *
 * Type names are "hello", "renew", "commandRequest", "statusRequest", "notLeader", "grant", "delta",
 * "fullCopy", "commandReply", "statusReply", "adminRequest", "adminReply" and "controlAddresses".
 */
std::string encodeMessage(const ControlMessage& message);
std::optional<ControlMessage> decodeMessage(std::string_view bytes, Reason& reason);

/** Returns the log entry as CBOR map {v, t: "entry", b}. */
std::string encodeProposedCommand(const ProposedCommand& entry);
std::optional<ProposedCommand> decodeProposedCommand(std::string_view bytes, Reason& reason);

/** Returns the command as CBOR map {v, t: "command", b}. */
std::string encodeCommand(const Command& command);
std::optional<Command> decodeCommand(std::string_view bytes, Reason& reason);

/** Returns the state as CBOR map {v, t: "publishedState", b}. The record sum is computed on decoding. */
std::string encodePublishedState(const PublishedState& state);
std::optional<PublishedState> decodePublishedState(std::string_view bytes, Reason& reason);

/** Returns the state as CBOR map {v, t: "controlState", b}. Decoding recomputes the derived members. */
std::string encodeControlState(const ControlState& state);
std::optional<ControlState> decodeControlState(std::string_view bytes, Reason& reason);

} // namespace flamingo
