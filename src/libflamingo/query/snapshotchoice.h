#pragma once

#include "base/reason.h"
#include "routing/routingtable.h"

#include <optional>

namespace flamingo {

/** Returns the fraction of the snapshot's weight whose shards have a replica that takes new work. */
double availableCoverage(const SnapshotRoutes& snapshot);

/** Returns whether the weight is at least the fraction of the snapshot's whole weight. */
bool reachesFloor(const SnapshotRoutes& snapshot, std::uint64_t weight, double floor);

/**
 * Chooses the snapshot and layout of a query by the service's policy.
 *
 * Newest: the newest version whose available coverage reaches the floor and is above zero, of its
 * layouts the fullest. Fullest: the highest available coverage, the newest of equals. Weights come from
 * the layout record. Returns nothing with the reason when none reaches the floor.
 */
std::optional<SnapshotId> chooseSnapshot(const ServiceRoutes& service, double floor, Reason& reason);

} // namespace flamingo
