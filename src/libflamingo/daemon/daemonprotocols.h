#pragma once

namespace flamingo {

struct CallerProtocol;
struct ControlProtocol;

/** The HTTP protocols of the routes role and of the control role's interface; null where a daemon has none. */
struct DaemonProtocols {
    const CallerProtocol* m_callers = nullptr;
    const ControlProtocol* m_control = nullptr;
};

} // namespace flamingo
