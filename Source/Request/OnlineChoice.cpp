#include "Request/OnlineChoice.h"

#include "Request/Slowdown.h"
#include "Request/TieBreaker.h"

#include <algorithm>

namespace poplardock {

namespace {

/// Duration of a preemption: within this time the peer is notified and the upstream has noticed the aborted batch run.
constexpr double PREEMPTION_MS = 15;
/// Penalty of an upstream whose slots are all taken; it grows with the square of the load. Engines slow down only
/// slightly as they fill up, but the view of free slots lags behind, and a nearly full upstream leaves no margin for
/// that error.
constexpr double FULL_COST_MS = 30;
/// Penalty of a remote data centre: traffic between data centres is charged, and each way takes about a millisecond.
constexpr double REMOTE_COST_MS = 8;
/// Penalty of an upstream that has named a limit, unless its whole burst is left: what is left of it is for waves.
constexpr double LIMITED_COST_MS = 15;
/// Costs that differ by less than this count as equal, since the view is about 100 ms old.
constexpr double TIE_BREAK_MS = 4;

/// Number of local and of remote upstreams that are compared for a request. Daemons with the same stale view would all
/// select the upstream that looks least loaded; the best of a small random sample is nearly as good and spreads the
/// requests.
constexpr std::size_t SAMPLE_SIZE = 4;

struct Candidate
{
    std::size_t index = 0;
    /// 0 for a healthy candidate, 1 for an ejected one, 2 for a suspect one; a lower rank always wins.
    int rank = 0;
    double tieBreak = 0;
};

auto rankOf(const UpstreamView &view, BootTime now) -> int
{
    constexpr int SUSPECT_RANK = 2;
    return view.isSuspect ? SUSPECT_RANK : view.ejectedUntil > now ? 1 : 0;
}

auto costOf(const UpstreamView &view, double tieBreak, BootTime now) -> double
{
    const double load = static_cast<double>(view.online + view.batch) / view.slots;
    return expectedWaitMs(view) + expectedFirstEventMs(view) + FULL_COST_MS * load * load + (view.isLocal ? 0 : REMOTE_COST_MS)
           + (view.spareAt > now ? LIMITED_COST_MS : 0) + TIE_BREAK_MS * tieBreak;
}

auto sampleOf(std::vector<Candidate> candidates) -> std::vector<Candidate>
{
    if (candidates.size() > SAMPLE_SIZE) {
        const auto end = candidates.begin() + SAMPLE_SIZE;
        std::nth_element(
            candidates.begin(), end, candidates.end(), [](const Candidate &a, const Candidate &b) { return a.tieBreak < b.tieBreak; });
        candidates.erase(end, candidates.end());
    }
    return candidates;
}

auto bestOf(const std::vector<UpstreamView> &views, const std::vector<Candidate> &local, const std::vector<Candidate> &remote, BootTime now)
    -> std::optional<Candidate>
{
    std::optional<Candidate> best;
    double bestCost = 0;
    for (const std::vector<Candidate> *group : { &local, &remote }) {
        for (const Candidate &candidate : *group) {
            const double cost = costOf(views[candidate.index], candidate.tieBreak, now);
            if (!best || candidate.rank < best->rank || (candidate.rank == best->rank && cost < bestCost)) {
                best = candidate;
                bestCost = cost;
            }
        }
    }
    return best;
}

auto makeChoice(const std::vector<UpstreamView> &views, const Candidate &candidate) -> OnlineChoice
{
    const UpstreamView &view = views[candidate.index];
    const bool isFull = view.online + view.batch >= view.slots;
    return { candidate.index, expectedWaitMs(view) + expectedFirstEventMs(view), isFull && view.online < view.slots };
}

/// The candidates in the data centre of the daemon and the others.
struct CandidateLists
{
    std::vector<Candidate> local;
    std::vector<Candidate> remote;
};

/// "withCold": cold upstreams count beyond their warm-up requests.
auto candidatesOf(const std::vector<UpstreamView> &views,
                  const std::set<std::string> &excluded,
                  bool withCold,
                  BootTime now,
                  std::uint64_t random) -> CandidateLists
{
    CandidateLists lists;
    for (std::size_t index = 0; index < views.size(); ++index) {
        const UpstreamView &view = views[index];
        const bool mayBeUsed = withCold || !view.isCold || view.warmUpAt <= now;
        if (mayBeUsed && !excluded.contains(view.name) && view.usableAt <= now) {
            (view.isLocal ? lists.local : lists.remote).push_back({ index, rankOf(view, now), tieBreaker(random, index) });
        }
    }
    return lists;
}

} // namespace

auto expectedWaitMs(const UpstreamView &view) -> double
{
    if (view.online + view.batch < view.slots) {
        return 0;
    }
    if (view.online < view.slots) {
        return PREEMPTION_MS;
    }
    return Slowdown::durationOf(view.serviceMs * (view.online - view.slots + 1) / view.slots, view.slowdown, view.meanSlowdown);
}

auto expectedFirstEventMs(const UpstreamView &view) -> double
{
    // A request that first waits for a slot starts under the slowdown expected at that time.
    const double slowdown = Slowdown::expectedAfter(view.slowdown, view.meanSlowdown, expectedWaitMs(view));
    return Slowdown::durationOf(view.firstEventMs, slowdown, view.meanSlowdown);
}

auto chooseForOnline(const std::vector<UpstreamView> &candidates, const std::set<std::string> &excluded, BootTime now, std::uint64_t random)
    -> std::optional<OnlineChoice>
{
    const CandidateLists preferred = candidatesOf(candidates, excluded, false, now, random);
    // Most requests find a free slot in the sample; all upstreams are compared only when the sample has none.
    const auto sampled = bestOf(candidates, sampleOf(preferred.local), sampleOf(preferred.remote), now);
    if (sampled && sampled->rank == 0 && expectedWaitMs(candidates[sampled->index]) <= 0) {
        return makeChoice(candidates, *sampled);
    }
    const auto warm = bestOf(candidates, preferred.local, preferred.remote, now);
    // A slot that batch work holds is room for an online request.
    if (warm && warm->rank == 0 && expectedWaitMs(candidates[warm->index]) <= PREEMPTION_MS) {
        return makeChoice(candidates, *warm);
    }
    const CandidateLists all = candidatesOf(candidates, excluded, true, now, random);
    const auto best = bestOf(candidates, all.local, all.remote, now);
    return best ? std::optional(makeChoice(candidates, *best)) : std::nullopt;
}

} // namespace poplardock
