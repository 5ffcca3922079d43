#include "Request/BatchPlan.h"

#include "Request/TieBreaker.h"

#include <algorithm>
#include <cmath>

namespace poplardock::BatchPlan {

namespace {

/// While online load rises, about one request per this time arrives at an upstream; a slot is reserved for each.
constexpr Milliseconds TIME_PER_RESERVED_SLOT { 200 };
/// Bonus of a local upstream as a fraction of its slots, since traffic between data centres is charged.
constexpr double LOCAL_BONUS = 0.4;
/// Scores that differ by less than this count as near ties, which are broken at random so that daemons with the same
/// view choose different upstreams.
constexpr double TIE_BREAK_WEIGHT = 0.15;

auto hasLimit(const UpstreamView &view) -> bool
{
    return view.usableAt != BootTime();
}

/// Slots that batch work may take, a limit on requests left aside.
auto freeSlots(const UpstreamView &view, int reserve, BootTime now) -> int
{
    if (view.isSuspect || view.ejectedUntil > now) {
        return 0;
    }
    // The reserve never takes all slots: without online requests, batch work may use at least one.
    const int reserved = std::min(reserve, view.slots - 1);
    return std::max(0, view.slots - reserved - view.online - view.batch);
}

/// Whether batch work has to leave cold upstreams to online requests, since a warm one has an available slot.
auto hasWarmSlot(const std::vector<UpstreamView> &views, int reserve, BootTime now) -> bool
{
    return std::any_of(views.begin(), views.end(), [reserve, now](const UpstreamView &view) {
        return !view.isCold && availableSlots(view, reserve, now) > 0;
    });
}

} // namespace

auto reservedSlots(Milliseconds propagationDelay) -> int
{
    return 1 + static_cast<int>(propagationDelay / TIME_PER_RESERVED_SLOT);
}

auto availableSlots(const UpstreamView &view, int reserve, BootTime now) -> int
{
    // Of the limit of a cold upstream, batch work gets only what online requests leave.
    const BootTime limitedUntil = reserve > 0 || view.isCold ? std::max(view.spareAt, view.usableAt) : view.usableAt;
    return limitedUntil > now ? 0 : freeSlots(view, reserve, now);
}

auto limitingUpstreams(const std::vector<UpstreamView> &views, int reserve, BootTime now) -> std::vector<std::string>
{
    std::vector<std::string> limiting;
    for (const UpstreamView &view : views) {
        if (availableSlots(view, reserve, now) > 0) {
            return {};
        }
        if (hasLimit(view) && freeSlots(view, reserve, now) > 0) {
            limiting.push_back(view.name);
        }
    }
    return limiting;
}

auto startsPerTick(
    const std::vector<UpstreamView> &views, int reserve, int daemons, double tickFraction, double roundingRandom, BootTime now) -> int
{
    int shared = 0;
    // A token of a limit is this daemon's own: no other daemon starts a run with it.
    int owned = 0;
    const bool leavesCold = hasWarmSlot(views, reserve, now);
    for (const UpstreamView &view : views) {
        const int available = leavesCold && view.isCold ? 0 : availableSlots(view, reserve, now);
        shared += hasLimit(view) ? 0 : available;
        owned += hasLimit(view) ? std::min(1, available) : 0;
    }
    const double expectedStarts = owned + static_cast<double>(shared) / std::max(1, daemons) * std::min(1.0, tickFraction);
    return static_cast<int>(std::floor(expectedStarts + roundingRandom));
}

auto chooseForBatch(const std::vector<UpstreamView> &views, int reserve, BootTime now, std::uint64_t random) -> std::optional<std::size_t>
{
    std::optional<std::size_t> best;
    double bestScore = 0;
    const bool leavesCold = hasWarmSlot(views, reserve, now);
    for (std::size_t index = 0; index < views.size(); ++index) {
        const UpstreamView &view = views[index];
        const int available = leavesCold && view.isCold ? 0 : availableSlots(view, reserve, now);
        if (available <= 0) {
            continue;
        }
        const double tieBreak = tieBreaker(random, index);
        const double score = static_cast<double>(available) / view.slots + (view.isLocal ? LOCAL_BONUS : 0) + TIE_BREAK_WEIGHT * tieBreak;
        if (!best || score > bestScore) {
            best = index;
            bestScore = score;
        }
    }
    return best;
}

} // namespace poplardock::BatchPlan
