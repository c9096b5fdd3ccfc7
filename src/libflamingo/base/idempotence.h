#pragma once

namespace flamingo {

/** Whether a request may run more than once. */
enum class Idempotence {
    Idempotent,
    NonIdempotent,
};

} // namespace flamingo
