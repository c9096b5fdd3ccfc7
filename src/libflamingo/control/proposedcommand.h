#pragma once

#include "control/command.h"

#include <cstdint>

namespace flamingo {

/** Content of one entry of the replicated log. */
struct ProposedCommand {
    std::uint64_t m_proposer = 0; // random number that identifies the process that proposed it
    std::uint64_t m_number = 0; // matches the entry with the pending request of the proposer
    Command m_command;
};

} // namespace flamingo
