#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <optional>
#include <string>

namespace flamingo {

/** One statement of the command language, as an operator sends it. */
struct StatementRequest {
    std::string m_text;
    CommandId m_commandId; // empty when the operator gave none
    std::optional<ConfigurationVersion> m_expectedVersion;
    Milliseconds m_wait { 0 }; // longest wait for "in force"
};

} // namespace flamingo
