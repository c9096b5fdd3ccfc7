#pragma once

#include <string>

namespace flamingo {

/** Whether the load balancer should send callers to this VM. */
struct HealthAnswer {
    bool m_serving = false;
    std::string m_text; // why the VM is not serving
};

} // namespace flamingo
