#include "Request/BatchPlan.h"

#include "Request/TieBreaker.h"

#include <algorithm>
#include <cmath>

namespace poplardock::BatchPlan {

namespace {

/// Time in which about one online request comes to an upstream in a wave.
constexpr Milliseconds TIME_PER_RESERVED_SLOT { 200 };
/// What a near upstream counts more, as a part of its slots: bytes between data centres are priced.
constexpr double NEAR_BONUS = 0.4;
constexpr double RANDOM_PART = 0.15;

} // namespace

auto reservedSlots(Milliseconds beliefPeriod) -> int
{
    return 1 + static_cast<int>(beliefPeriod / TIME_PER_RESERVED_SLOT);
}

auto availableSlots(const UpstreamView &view, int reserve, BootTime now) -> int
{
    if (view.isSuspect || view.ejectedUntil > now) {
        return 0;
    }
    // An upstream with few slots still runs batch work.
    const int kept = std::min(reserve, view.slots - 1);
    return std::max(0, view.slots - kept - view.online - view.batch);
}

auto startsPerTick(const std::vector<UpstreamView> &views, int reserve, int daemons, double roundPart, double random, BootTime now) -> int
{
    int room = 0;
    for (const UpstreamView &view : views) {
        room += availableSlots(view, reserve, now);
    }
    const double part = static_cast<double>(room) / std::max(1, daemons) * std::min(1.0, roundPart);
    return static_cast<int>(std::floor(part + random));
}

auto chooseForBatch(const std::vector<UpstreamView> &views, int reserve, BootTime now, std::uint64_t random) -> std::optional<std::size_t>
{
    std::optional<std::size_t> best;
    double bestScore = 0;
    for (std::size_t index = 0; index < views.size(); ++index) {
        const UpstreamView &view = views[index];
        const int room = availableSlots(view, reserve, now);
        if (room <= 0) {
            continue;
        }
        const double noise = tieBreaker(random, index);
        const double score = static_cast<double>(room) / view.slots + (view.isLocal ? NEAR_BONUS : 0) + RANDOM_PART * noise;
        if (!best || score > bestScore) {
            best = index;
            bestScore = score;
        }
    }
    return best;
}

} // namespace poplardock::BatchPlan
