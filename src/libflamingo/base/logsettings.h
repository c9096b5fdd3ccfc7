#pragma once

#include "base/loglevel.h"

#include <string>

namespace flamingo {

/** Destination and minimum level of log lines. */
struct LogSettings {
    LogLevel m_level = LogLevel::Info; // lowest level that is written
    std::string m_file; // path of a file to append to; empty for standard output
};

} // namespace flamingo
