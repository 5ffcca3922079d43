#include "Request/Slowdown.h"

#include <algorithm>
#include <cmath>

namespace poplardock::Slowdown {

namespace {

/// A slow phase lasts about 600 ms, so a statement is made on average in the middle of one and holds for half of that.
constexpr double TIME_CONSTANT_MS = 300;
/// Weight of a statement in the mean, when the one before it has lost its meaning: the mean covers about 20 of them.
constexpr double MEAN_WEIGHT = 0.05;

} // namespace

auto expectedAfter(double stated, double mean, double ageMs) -> double
{
    return mean + (stated - mean) * std::exp(-std::max(0.0, ageMs) / TIME_CONSTANT_MS);
}

auto meanOver(double current, double mean, double durationMs) -> double
{
    if (durationMs <= 0) {
        return current;
    }
    const double part = TIME_CONSTANT_MS / durationMs * -std::expm1(-durationMs / TIME_CONSTANT_MS);
    return mean + (current - mean) * part;
}

auto meanAfter(double mean, double stated, double sinceLastMs) -> double
{
    return mean - MEAN_WEIGHT * std::expm1(-std::max(0.0, sinceLastMs) / TIME_CONSTANT_MS) * (stated - mean);
}

auto durationOf(double usualMs, double current, double mean) -> double
{
    // The duration determines the mean, which determines the duration. Starting from the usual duration, two steps come
    // within some percent of the fixed point.
    const double firstEstimate = usualMs * meanOver(current, mean, usualMs);
    return usualMs * meanOver(current, mean, firstEstimate);
}

auto usualTimeOf(double measuredMs, double stated, double mean) -> double
{
    return measuredMs / meanOver(stated, mean, measuredMs);
}

} // namespace poplardock::Slowdown
