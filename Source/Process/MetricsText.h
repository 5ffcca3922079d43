#pragma once

#include "Process/Metrics.h"

#include <string>

namespace poplardock {

/// Formats counters and latency quantiles in the Prometheus text format: "poplardock_NAME_total VALUE",
/// "poplardock_NAME_ms{quantile="0.5"} VALUE" and "poplardock_NAME_ms_count VALUE". Thread-safe.
auto metricsText(const Metrics &metrics) -> std::string;

} // namespace poplardock
