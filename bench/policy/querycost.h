#pragma once

#include "control/publishedstate.h"

namespace flamingo::bench {

/** Prints the processor time of whole queries and of merging, as CSV rows. */
void measureQueries();

/** Returns a state with services of 400 shards and two replicas each. */
PublishedState stateOf(unsigned endpoints);

} // namespace flamingo::bench
