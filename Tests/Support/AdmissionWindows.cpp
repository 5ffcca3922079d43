#include "Support/AdmissionWindows.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace poplardock {

namespace {

/// Units of one token; a unit is what a rate of a millionth of a token per second refills in a nanosecond.
constexpr long double TOKEN = 1e15L;

} // namespace

auto findExcessWindow(std::vector<TimePoint> admissions, double ratePerSecond, double burst) -> std::optional<std::string>
{
    std::sort(admissions.begin(), admissions.end());
    // long double represents integers exactly up to 2^64.
    const long double rate = std::round(static_cast<long double>(ratePerSecond) * 1e6L);
    const long double limit = std::round(static_cast<long double>(burst) * 1e6L) * 1e9L;
    // A window from admission i to admission j holds j - i + 1 admissions. Of the windows that end at j, the one whose
    // i has the smallest offset i - rate x time has the largest excess.
    long double smallestOffset = 0;
    std::size_t smallestIndex = 0;
    long double largestExcess = 0;
    std::optional<std::string> description;
    for (std::size_t index = 0; index < admissions.size(); ++index) {
        const auto elapsed = std::chrono::duration_cast<std::chrono::nanoseconds>(admissions[index] - admissions.front());
        const long double refilled = rate * static_cast<long double>(elapsed.count());
        const long double offset = TOKEN * static_cast<long double>(index) - refilled;
        if (index == 0 || offset < smallestOffset) {
            smallestOffset = offset;
            smallestIndex = index;
        }
        const long double excess = offset + TOKEN - smallestOffset - limit;
        if (excess > largestExcess) {
            largestExcess = excess;
            const auto width = std::chrono::duration<double>(admissions[index] - admissions[smallestIndex]).count();
            description = absl::StrCat(
                "window of ", width, " s: ", index - smallestIndex + 1, " admissions, at most ", burst + ratePerSecond * width, " allowed");
        }
    }
    return description;
}

auto AdmissionCollector::record(const std::string &team, TimePoint at) -> void
{
    const std::lock_guard lock(mutex_);
    admissions_[team].push_back(at);
}

auto AdmissionCollector::admissions(const std::string &team) const -> std::vector<TimePoint>
{
    const std::lock_guard lock(mutex_);
    const auto found = admissions_.find(team);
    return found == admissions_.end() ? std::vector<TimePoint> {} : found->second;
}

auto AdmissionCollector::findExcessWindow(const std::string &team, double ratePerSecond, double burst) const -> std::optional<std::string>
{
    return poplardock::findExcessWindow(admissions(team), ratePerSecond, burst);
}

} // namespace poplardock
