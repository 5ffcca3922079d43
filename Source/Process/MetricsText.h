#pragma once

#include "Process/Metrics.h"

#include <string>

namespace poplardock {

/// Counters and latency quantiles in the text exposition format: "poplardock_NAME_total VALUE" and
/// "poplardock_NAME_ms{quantile="0.5"} VALUE". Thread-safe.
auto metricsText(const Metrics &metrics) -> std::string;

} // namespace poplardock
