#pragma once

#include "Process/Clock.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace poplardock {

/// Looks for a window of t seconds that holds more than burst + rate x t admissions, over all pairs of admissions.
/// Returns a description of the worst such window. The times need not be sorted. Exact, without rounding, for up to
/// 18,000 admissions.
auto findExcessWindow(std::vector<TimePoint> admissions, double ratePerSecond, double burst) -> std::optional<std::string>;

/// Collects admissions from recorder callbacks. Thread-safe.
class AdmissionCollector
{
public:
    auto record(const std::string &team, TimePoint at) -> void;
    [[nodiscard]] auto admissions(const std::string &team) const -> std::vector<TimePoint>;
    [[nodiscard]] auto findExcessWindow(const std::string &team, double ratePerSecond, double burst) const -> std::optional<std::string>;

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::vector<TimePoint>> admissions_;
};

} // namespace poplardock
