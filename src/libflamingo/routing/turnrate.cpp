#include "routing/turnrate.h"

#include <cmath>

namespace flamingo {

namespace {

// Long against a pause of the endpoints, short against a change of their number.
constexpr double halfLifeSeconds = 2.0;
// Fewer turns are no evidence of how fast the queue moves.
constexpr double minTurns = 4.0;
// Expected wait, as a multiple of the time left, above which a request is refused. Covers endpoints that become faster
// and requests ahead whose callers leave.
constexpr double certaintyFactor = 1.5;

double seconds(MonotonicClock::duration time) { return std::chrono::duration<double>(time).count(); }

/** Reduces the weight of what was observed before. */
void decay(TurnRate& rate, double elapsedSeconds)
{
    const double kept = std::exp2(-elapsedSeconds / halfLifeSeconds);
    rate.m_turns *= kept;
    rate.m_seconds *= kept;
}

} // namespace

void beginWaiting(TurnRate& rate, MonotonicTime now)
{
    decay(rate, seconds(now - rate.m_since));
    rate.m_since = now;
}

void recordTurn(TurnRate& rate, MonotonicTime now)
{
    const double elapsed = seconds(now - rate.m_since);
    decay(rate, elapsed);
    rate.m_turns += 1.0;
    rate.m_seconds += elapsed;
    rate.m_since = now;
}

std::optional<Milliseconds> timeUntilRoom(
    const TurnRate& rate, std::size_t turnsBefore, MonotonicClock::duration timeLeft)
{
    if (turnsBefore == 0 || rate.m_turns < minTurns)
        return std::nullopt;
    const double wait = double(turnsBefore) * rate.m_seconds / rate.m_turns;
    if (wait <= certaintyFactor * seconds(timeLeft))
        return std::nullopt;
    return std::chrono::duration_cast<Milliseconds>(std::chrono::duration<double>(wait - seconds(timeLeft)));
}

} // namespace flamingo
