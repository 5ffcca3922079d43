#include "Request/AdmissionControl.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace poplardock {

namespace {

constexpr double MAXIMUM_RETRY_SECONDS = 30;

} // namespace

auto fastestCandidate(const std::vector<UpstreamLoad> &candidates, TimePoint now) -> const UpstreamLoad *
{
    const UpstreamLoad *best = nullptr;
    double bestMs = 0;
    for (const UpstreamLoad &candidate : candidates) {
        if (candidate.isDraining || candidate.ejectedUntil > now) {
            continue;
        }
        const double predictedMs = predictFirstTokenMs(candidate, now);
        if (best == nullptr || predictedMs < bestMs) {
            best = &candidate;
            bestMs = predictedMs;
        }
    }
    return best;
}

auto refuseIfOverloaded(const std::vector<UpstreamLoad> &candidates, const ServiceClass &serviceClass, TimePoint now)
    -> std::optional<RequestError>
{
    const UpstreamLoad *best = fastestCandidate(candidates, now);
    if (best == nullptr || serviceClass.firstTokenMs <= 0) {
        return std::nullopt;
    }
    const double predictedMs = predictFirstTokenMs(*best, now);
    const double excessMs = predictedMs - static_cast<double>(serviceClass.firstTokenMs);
    if (excessMs <= 0) {
        return std::nullopt;
    }
    const auto retryAfterSeconds = static_cast<int>(std::clamp(std::ceil(excessMs / 1000), 1.0, MAXIMUM_RETRY_SECONDS));
    return RequestError { ResultCode::Overloaded,
                          absl::StrCat("the first token is expected after ",
                                       std::llround(predictedMs),
                                       " ms; the target of class ",
                                       serviceClass.name,
                                       " is ",
                                       serviceClass.firstTokenMs,
                                       " ms"),
                          retryAfterSeconds };
}

} // namespace poplardock
