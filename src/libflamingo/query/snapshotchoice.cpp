#include "query/snapshotchoice.h"

#include <string>

namespace flamingo {

namespace {

// Tolerance for the rounding error of floor times weight.
constexpr double roundingTolerance = 1e-9;

bool isFuller(const SnapshotRoutes& a, const SnapshotRoutes& b)
{
    return availableCoverage(a) > availableCoverage(b) + roundingTolerance;
}

} // namespace

double availableCoverage(const SnapshotRoutes& snapshot)
{
    if (snapshot.m_totalWeight == 0)
        return 0.0;
    return double(snapshot.m_availableWeight) / double(snapshot.m_totalWeight);
}

bool reachesFloor(const SnapshotRoutes& snapshot, std::uint64_t weight, double floor)
{
    return double(weight) + roundingTolerance >= floor * double(snapshot.m_totalWeight);
}

std::optional<SnapshotId> chooseSnapshot(const ServiceRoutes& service, double floor, Reason& reason)
{
    const SnapshotRoutes* best = nullptr;
    const SnapshotRoutes* fullest = nullptr;
    // Sorted by descending version, and within a version by descending layout id.
    for (const auto& [id, snapshot] : service.m_snapshots) {
        if (!fullest || isFuller(snapshot, *fullest))
            fullest = &snapshot;
        if (snapshot.m_availableWeight == 0 || !reachesFloor(snapshot, snapshot.m_availableWeight, floor))
            continue;
        const bool replaces = best && isFuller(snapshot, *best)
            && (best->m_version == snapshot.m_version
                || service.m_definition.m_snapshotPolicy == SnapshotPolicy::Fullest);
        if (!best || replaces)
            best = &snapshot;
    }
    if (best)
        return SnapshotId(best->m_version, best->m_layout);
    if (!fullest || fullest->m_availableWeight == 0) {
        reason = { ResultCode::NoEndpoint, "no endpoint of the service takes new work" };
        return std::nullopt;
    }
    reason = { ResultCode::CoverageUnattainable,
        "the available coverage of the fullest snapshot is " + std::to_string(availableCoverage(*fullest))
            + ", below the coverage floor of " + std::to_string(floor) };
    return std::nullopt;
}

} // namespace flamingo
