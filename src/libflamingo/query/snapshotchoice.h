#pragma once

#include "base/reason.h"
#include "routing/routingtable.h"

#include <optional>

namespace flamingo {

/** Returns the fraction of the snapshot's weight in shards with a replica that takes new work, 0 to 1. */
double availableCoverage(const SnapshotRoutes& snapshot);

/** Returns whether the weight is at least the fraction `floor` of the snapshot's total weight. */
bool reachesFloor(const SnapshotRoutes& snapshot, std::uint64_t weight, double floor);

/**
 * Chooses the snapshot and layout of a query according to the service's snapshot policy.
 *
 * SnapshotPolicy::Newest selects the newest version whose available coverage is above zero and reaches the
 * floor, and the layout with the highest available coverage among the layouts of that version.
 * SnapshotPolicy::Fullest selects the snapshot with the highest available coverage, and the newest among equals.
 * The shard weights come from the layout record. If no snapshot reaches the floor, returns nothing and
 * sets the reason.
 */
std::optional<SnapshotId> chooseSnapshot(const ServiceRoutes& service, double floor, Reason& reason);

} // namespace flamingo
