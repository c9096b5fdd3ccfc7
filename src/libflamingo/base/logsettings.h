#pragma once

#include "base/loglevel.h"

#include <string>

namespace flamingo {

/** Where log lines go, and which. */
struct LogSettings {
    LogLevel m_level = LogLevel::Info;
    std::string m_file; // appended to; empty for standard output
};

} // namespace flamingo
