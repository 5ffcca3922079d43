#include "Request/UpstreamChoice.h"

namespace poplardock {

namespace {

/// A slow upstream is rarely selected, so few new samples correct its average. After this time without a sample the
/// average is ignored, so that the upstream is tried again.
constexpr Milliseconds SERVICE_TIME_EXPIRY { 10000 };

auto usableCandidates(const std::vector<UpstreamLoad> &candidates, const std::set<std::string> &excluded, TimePoint now)
    -> std::vector<std::size_t>
{
    std::vector<std::size_t> usable;
    std::vector<std::size_t> ejected;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const UpstreamLoad &candidate = candidates[index];
        if (candidate.isDraining || excluded.contains(candidate.name)) {
            continue;
        }
        (candidate.ejectedUntil > now ? ejected : usable).push_back(index);
    }
    return usable.empty() ? ejected : usable;
}

auto currentServiceMs(const UpstreamLoad &candidate, TimePoint now) -> std::optional<double>
{
    return now - candidate.lastSampleAt <= SERVICE_TIME_EXPIRY ? candidate.serviceMs : std::nullopt;
}

} // namespace

auto chooseUpstream(const std::vector<UpstreamLoad> &candidates, const std::set<std::string> &excluded, std::uint64_t random, TimePoint now)
    -> std::optional<std::size_t>
{
    const std::vector<std::size_t> usable = usableCandidates(candidates, excluded, now);
    if (usable.empty()) {
        return std::nullopt;
    }
    const std::size_t firstDraw = (random & 0xffffffffU) % usable.size();
    if (usable.size() == 1) {
        return usable[firstDraw];
    }
    const std::size_t secondDraw = (firstDraw + 1 + (random >> 32U) % (usable.size() - 1)) % usable.size();
    const UpstreamLoad &first = candidates[usable[firstDraw]];
    const UpstreamLoad &second = candidates[usable[secondDraw]];
    const std::optional<double> firstMs = currentServiceMs(first, now);
    const std::optional<double> secondMs = currentServiceMs(second, now);
    // A candidate whose service time is unknown is assumed to be as fast as the other.
    const double firstScore = (estimateInFlight(first, now) + 1) * firstMs.value_or(secondMs.value_or(1));
    const double secondScore = (estimateInFlight(second, now) + 1) * secondMs.value_or(firstMs.value_or(1));
    return firstScore <= secondScore ? usable[firstDraw] : usable[secondDraw];
}

} // namespace poplardock
