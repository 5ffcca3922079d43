#include "Request/OnlineChoice.h"

#include "Request/TieBreaker.h"

#include <algorithm>

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

/// Upstreams of each kind, near and remote, that a request compares. Daemons with the same old belief would all send
/// to the one that looks emptiest; a few drawn at random are nearly as good and spread the requests.
constexpr std::size_t SAMPLE_SIZE = 4;

struct Candidate
{
    std::size_t index = 0;
    /// A sound candidate beats an ejected one, and an ejected one beats one whose entry is gone.
    int rank = 0;
    double noise = 0;
};

auto rankOf(const UpstreamView &view, BootTime now) -> int
{
    constexpr int DOUBTFUL_RANK = 2;
    return view.isSuspect ? DOUBTFUL_RANK : view.ejectedUntil > now ? 1 : 0;
}

auto costOf(const UpstreamView &view, double random) -> double
{
    const double load = static_cast<double>(view.online + view.batch) / view.slots;
    return expectedWaitMs(view) + view.firstEventMs + FULL_MS * load * load + (view.isLocal ? 0 : REMOTE_MS) + RANDOM_MS * random;
}

auto sampleOf(std::vector<Candidate> candidates) -> std::vector<Candidate>
{
    if (candidates.size() > SAMPLE_SIZE) {
        const auto end = candidates.begin() + SAMPLE_SIZE;
        std::nth_element(
            candidates.begin(), end, candidates.end(), [](const Candidate &a, const Candidate &b) { return a.noise < b.noise; });
        candidates.erase(end, candidates.end());
    }
    return candidates;
}

auto bestOf(const std::vector<UpstreamView> &views, const std::vector<Candidate> &near, const std::vector<Candidate> &remote)
    -> std::optional<Candidate>
{
    std::optional<Candidate> best;
    double bestCost = 0;
    for (const std::vector<Candidate> *each : { &near, &remote }) {
        for (const Candidate &candidate : *each) {
            const double cost = costOf(views[candidate.index], candidate.noise);
            if (!best || candidate.rank < best->rank || (candidate.rank == best->rank && cost < bestCost)) {
                best = candidate;
                bestCost = cost;
            }
        }
    }
    return best;
}

auto choiceOf(const std::vector<UpstreamView> &views, const Candidate &candidate) -> OnlineChoice
{
    const UpstreamView &view = views[candidate.index];
    const bool isFull = view.online + view.batch >= view.slots;
    return { candidate.index, expectedWaitMs(view) + view.firstEventMs, isFull && view.online < view.slots };
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
    std::vector<Candidate> near;
    std::vector<Candidate> remote;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const UpstreamView &view = candidates[index];
        if (!excluded.contains(view.name)) {
            (view.isLocal ? near : remote).push_back({ index, rankOf(view, now), tieBreaker(random, index) });
        }
    }
    // Most requests find a free slot in the sample; only a full one is a reason to look at all upstreams.
    const auto sampled = bestOf(candidates, sampleOf(near), sampleOf(remote));
    if (sampled && sampled->rank == 0 && expectedWaitMs(candidates[sampled->index]) <= 0) {
        return choiceOf(candidates, *sampled);
    }
    const auto best = bestOf(candidates, near, remote);
    return best ? std::optional(choiceOf(candidates, *best)) : std::nullopt;
}

} // namespace poplardock
