#pragma once

#include "Request/ResultCode.h"
#include "Request/UpstreamSnapshot.h"
#include "Version/ServiceClass.h"

#include <optional>
#include <vector>

namespace poplardock {

/// The candidate with the lowest predicted time to the first token, leaving and ejected ones left out.
/// Null when there is none. The pointer is into the argument.
auto earliestCandidate(const std::vector<UpstreamSnapshot> &candidates, TimePoint now) -> const UpstreamSnapshot *;

/// Compares the predicted time to the first token at the best candidate with the target of the class.
/// Returns Overloaded with a retry hint when the target cannot be met, and nothing when the request is
/// admitted or no candidate is usable (the choice of an upstream reports that). Pure function.
auto refuseIfOverloaded(const std::vector<UpstreamSnapshot> &candidates, const ServiceClass &serviceClass, TimePoint now)
    -> std::optional<RequestError>;

} // namespace poplardock
