#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <optional>
#include <string>

namespace flamingo {

/** One statement of the command language, sent by an operator. */
struct StatementRequest {
    std::string m_text;
    CommandId m_commandId; // empty if the operator gave none
    std::optional<ConfigurationVersion> m_expectedVersion;
    Milliseconds m_wait { 0 }; // longest time to wait until a change is in force
};

} // namespace flamingo
