#include "Request/UpstreamLoad.h"

#include "Process/Json.h"

#include <algorithm>
#include <cmath>

namespace poplardock {

namespace {

/// Reports arrive every second, so a report that is one second old still has half the weight.
constexpr double REPORT_HALF_LIFE_MS = 1000;
constexpr std::int64_t MAXIMUM_COUNT = 1000000;

auto millisecondsBetween(TimePoint from, TimePoint to) -> double
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

auto reportWeight(const UpstreamLoad &load, TimePoint now) -> double
{
    if (!load.reportedAt) {
        return 0;
    }
    return std::exp2(-std::max(0.0, millisecondsBetween(*load.reportedAt, now)) / REPORT_HALF_LIFE_MS);
}

auto isIdle(const UpstreamLoad &load) -> bool
{
    return load.ownOnline + load.ownBatch == 0 && load.report.running + load.report.waiting <= load.ownAtReport;
}

} // namespace

auto parseLoadReport(const std::string &json) -> std::optional<LoadReport>
{
    const auto object = Json::parseObject(json);
    if (!object.ok()) {
        return std::nullopt;
    }
    const auto running = Json::requireInteger(**object, "running");
    const auto waiting = Json::requireInteger(**object, "waiting");
    const auto isCount = [](const absl::StatusOr<std::int64_t> &value) {
        return value.ok() && *value >= 0 && *value <= MAXIMUM_COUNT;
    };
    const auto isLeaving = Json::optionalBool(**object, "leaving", false);
    if (!isCount(running) || !isCount(waiting) || !isLeaving.ok()) {
        return std::nullopt;
    }
    return LoadReport { static_cast<int>(*running), static_cast<int>(*waiting), *isLeaving };
}

auto estimateInFlight(const UpstreamLoad &load, TimePoint now) -> double
{
    const int others = std::max(0, load.report.running + load.report.waiting - load.ownAtReport);
    return load.ownOnline + load.ownBatch + others * reportWeight(load, now);
}

auto predictWaitMs(const UpstreamLoad &load, TimePoint now) -> double
{
    if (!load.serviceMs) {
        return 0;
    }
    double waiting = load.report.waiting * reportWeight(load, now);
    if (load.slots) {
        waiting = std::max(waiting, estimateInFlight(load, now) - *load.slots);
    }
    waiting = std::max(0.0, waiting - load.ownBatch);
    const double running = std::max(1.0, load.slots.value_or(load.report.running));
    return waiting * *load.serviceMs / running;
}

auto predictFirstTokenMs(const UpstreamLoad &load, TimePoint now) -> double
{
    if (isIdle(load)) {
        return 0;
    }
    return predictWaitMs(load, now) + load.firstTokenMs.value_or(0);
}

} // namespace poplardock
