#include "control/statecopy.h"

#include "control/applychange.h"
#include "control/digest.h"

#include <atomic>

namespace flamingo {

namespace {

// If readers hold the spare for more deltas than this, copying the whole state is cheaper than applying them.
constexpr std::size_t maxDeltasSinceSpare = 64;

} // namespace

StateCopy::StateCopy()
    : m_current(std::make_shared<PublishedState>())
{
}

StateUpdate StateCopy::update(FullCopy copy)
{
    if (copy.m_state.m_revision < m_current->m_revision)
        return StateUpdate::Stale;
    if (publishedDigest(copy.m_state) != copy.m_digest)
        return StateUpdate::Mismatch;
    m_digest = copy.m_digest;
    m_current = std::make_shared<PublishedState>(std::move(copy.m_state));
    m_spare.reset();
    m_deltasSinceSpare.clear();
    return StateUpdate::Applied;
}

std::shared_ptr<PublishedState> StateCopy::makeMutableCopy()
{
    if (m_spare && m_spare.use_count() == 1 && m_deltasSinceSpare.size() <= maxDeltasSinceSpare) {
        // Orders the reads of the last reader before the changes below.
        std::atomic_thread_fence(std::memory_order_acquire);
        for (const Delta& delta : m_deltasSinceSpare)
            applyDelta(*m_spare, delta);
        m_deltasSinceSpare.clear();
        return std::move(m_spare);
    }
    m_deltasSinceSpare.clear();
    return std::make_shared<PublishedState>(*m_current);
}

StateUpdate StateCopy::update(Delta delta)
{
    if (delta.m_to <= m_current->m_revision)
        return StateUpdate::Stale;
    if (delta.m_from != m_current->m_revision)
        return StateUpdate::Mismatch;
    std::shared_ptr<PublishedState> next = makeMutableCopy();
    m_spare.reset();
    if (!applyDelta(*next, delta))
        return StateUpdate::Mismatch;
    // The previous state becomes the spare; readers may still hold it. All states are created non-const, so that the
    // cast is well-defined.
    m_spare = std::const_pointer_cast<PublishedState>(m_current);
    m_digest = delta.m_digest;
    m_current = std::move(next);
    m_deltasSinceSpare.push_back(std::move(delta));
    return StateUpdate::Applied;
}

} // namespace flamingo
