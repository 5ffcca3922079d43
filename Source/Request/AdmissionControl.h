#pragma once

#include "Request/ResultCode.h"
#include "Request/UpstreamLoad.h"
#include "Version/ServiceClass.h"

#include <optional>
#include <vector>

namespace poplardock {

/// The candidate with the lowest predicted time to the first token, leaving and ejected ones left out.
/// Null when there is none. The pointer is into the argument.
auto fastestCandidate(const std::vector<UpstreamLoad> &candidates, TimePoint now) -> const UpstreamLoad *;

/// Compares the predicted time to the first token at the best candidate with the target of the class.
/// Returns Overloaded with a retry hint when the target cannot be met, and nothing when the request is
/// admitted or no candidate is usable (the choice of an upstream reports that). Pure function.
auto refuseIfOverloaded(const std::vector<UpstreamLoad> &candidates, const ServiceClass &serviceClass, TimePoint now)
    -> std::optional<RequestError>;

} // namespace poplardock
