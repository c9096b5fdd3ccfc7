#pragma once

namespace flamingo {

struct CallerProtocol;
struct ControlProtocol;

/** HTTP protocols of the routes role and of the control role; null if the program does not support one. */
struct DaemonProtocols {
    const CallerProtocol* m_callers = nullptr;
    const ControlProtocol* m_control = nullptr;
};

} // namespace flamingo
