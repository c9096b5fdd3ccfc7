#pragma once

#include "control/publishedstate.h"

namespace flamingo::bench {

/** Prints the processor time of whole queries and of merging hits as CSV rows. */
void measureQueries();

/** Returns a state with this number of endpoints; each service has 400 shards with two replicas each. */
PublishedState makeState(unsigned endpoints);

} // namespace flamingo::bench
