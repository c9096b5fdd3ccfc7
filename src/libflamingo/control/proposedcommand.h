#pragma once

#include "control/command.h"

#include <cstdint>

namespace flamingo {

/** Content of one entry of the replicated log. */
struct ProposedCommand {
    std::uint64_t m_proposer = 0; // random number of the process that proposed it
    std::uint64_t m_number = 0; // pairs the entry with the request that it came from
    Command m_command;
};

} // namespace flamingo
