#include "Request/OnlineChoice.h"

#include <algorithm>
#include <cmath>

namespace poplardock {

namespace {

/// A peer learns of a yield and the upstream of the end of the batch run within this time.
constexpr double YIELD_MS = 15;
/// Cost of an upstream all of whose slots but one are taken. Engines slow down little as they fill, but beliefs about
/// free slots lag, and a full upstream leaves no room for that error.
constexpr double FULL_MS = 30;
/// Cost of another data centre: bytes between data centres are priced, and each way takes about a millisecond.
constexpr double REMOTE_MS = 8;
/// Costs closer than this are equal, since beliefs are about 100 ms old.
constexpr double RANDOM_MS = 4;

auto costOf(const UpstreamView &view, double random) -> double
{
    const double load = static_cast<double>(view.online + view.batch) / view.slots;
    return expectedWaitMs(view) + view.firstMs + FULL_MS * load * load + (view.isNear ? 0 : REMOTE_MS) + RANDOM_MS * random;
}

} // namespace

auto expectedWaitMs(const UpstreamView &view) -> double
{
    if (view.online + view.batch < view.slots) {
        return 0;
    }
    if (view.online < view.slots) {
        return YIELD_MS;
    }
    return view.serviceMs * (view.online - view.slots + 1) / view.slots;
}

auto chooseForOnline(const std::vector<UpstreamView> &candidates, const std::set<std::string> &excluded, BootTime now, std::uint64_t random)
    -> std::optional<OnlineChoice>
{
    // A sound candidate beats an ejected one, and an ejected one beats one whose entry is gone.
    constexpr int DOUBTFUL_RANK = 2;
    std::optional<OnlineChoice> best;
    int bestRank = 0;
    double bestCost = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const UpstreamView &view = candidates[index];
        if (excluded.contains(view.name)) {
            continue;
        }
        const int rank = view.isDoubtful ? DOUBTFUL_RANK : view.ejectedUntil > now ? 1 : 0;
        // A multiplicative sequence turns one random number into one for each candidate.
        constexpr std::uint64_t MULTIPLIER = 0x9E3779B97F4A7C15ULL;
        const double noise = std::ldexp(static_cast<double>(random * MULTIPLIER * (2 * index + 1)), -64);
        const double cost = costOf(view, noise);
        if (!best || rank < bestRank || (rank == bestRank && cost < bestCost)) {
            best = OnlineChoice { index, expectedWaitMs(view) + view.firstMs, view.online + view.batch >= view.slots && view.online < view.slots };
            bestRank = rank;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace poplardock
