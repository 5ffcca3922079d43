#pragma once

#include "Request/ResultCode.h"
#include "Request/UpstreamLoad.h"
#include "Version/ServiceClass.h"

#include <optional>
#include <vector>

namespace poplardock {

/// Returns the candidate with the lowest predicted time to the first token. Draining and ejected candidates are
/// skipped. Null when no candidate is left, also when all are ejected, although chooseUpstream() uses ejected ones then.
/// The result points into "candidates".
auto fastestCandidate(const std::vector<UpstreamLoad> &candidates, TimePoint now) -> const UpstreamLoad *;

/// Compares the predicted time to the first token at the fastest candidate with the target of the service class.
/// Returns Overloaded with a retry hint when the target cannot be met. Returns nothing when the request is admitted,
/// and also when no candidate is usable: the selection of an upstream reports that error. Pure function.
auto refuseIfOverloaded(const std::vector<UpstreamLoad> &candidates, const ServiceClass &serviceClass, TimePoint now)
    -> std::optional<RequestError>;

} // namespace poplardock
