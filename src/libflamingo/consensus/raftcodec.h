#pragma once

#include "base/reason.h"
#include "consensus/configuration.h"
#include "consensus/logentry.h"
#include "consensus/raftmessage.h"
#include "consensus/snapshotinfo.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace flamingo {

// Maximum size of a frame on a control link; a receiver refuses larger frames.
constexpr std::size_t kMaxFrameBytes = std::size_t(8) << 20U;
constexpr std::uint64_t kRaftProtocolVersion = 1;

/** Returns the message as one CBOR map {"v": protocol version, "t": "raft", ...}. Thread-safe. */
std::string encodeRaftMessage(const RaftMessage& message);

/** Returns the message in the frame. Returns nothing and sets the reason if the frame is invalid. Thread-safe. */
std::optional<RaftMessage> decodeRaftMessage(std::string_view frame, Reason& reason);

// CBOR encoding of the parts that are stored in files.
std::string encodeConfiguration(const Configuration& configuration);
std::optional<Configuration> decodeConfiguration(std::string_view bytes, Reason& reason);
std::string encodeSnapshotInfo(const SnapshotInfo& info);
std::optional<SnapshotInfo> decodeSnapshotInfo(std::string_view bytes, Reason& reason);

} // namespace flamingo
