#pragma once

#include "control/publishedstate.h"
#include "language/showstatement.h"

#include <string>

namespace flamingo {

/**
 * Returns the rows of a SHOW statement about the published state, as a JSON array of objects.
 *
 * Leases, members and claims are not part of that state; for them the array is empty. Thread-safe.
 */
std::string stateRows(const PublishedState& state, const ShowStatement& statement);

} // namespace flamingo
