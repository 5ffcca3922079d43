#include "Process/Metrics.h"

#include <boost/histogram.hpp>

namespace poplardock {

namespace {

constexpr double MIN_LATENCY_MS = 0.05;
constexpr double MAX_LATENCY_MS = 600000;
/// 8 bins for each of the 23.5 octaves from the minimum to the maximum latency.
constexpr unsigned BIN_COUNT = 188;

using LogAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using LatencyHistogram = decltype(boost::histogram::make_histogram(LogAxis(BIN_COUNT, MIN_LATENCY_MS, MAX_LATENCY_MS)));

} // namespace

struct Metrics::Histogram
{
    LatencyHistogram bins = boost::histogram::make_histogram(LogAxis(BIN_COUNT, MIN_LATENCY_MS, MAX_LATENCY_MS));
    std::uint64_t count = 0;

    /// Returns the upper edge of the bin that contains the quantile, in milliseconds.
    [[nodiscard]] auto quantile(double fraction) const -> double
    {
        double cumulativeCount = 0;
        for (const auto &bin : boost::histogram::indexed(bins, boost::histogram::coverage::all)) {
            cumulativeCount += static_cast<double>(*bin);
            if (cumulativeCount >= fraction * static_cast<double>(count)) {
                return std::min(bin.bin().upper(), MAX_LATENCY_MS);
            }
        }
        return MAX_LATENCY_MS;
    }
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

auto Metrics::count(const std::string &name, std::uint64_t amount) -> void
{
    const std::lock_guard lock(mutex_);
    counters_[name] += amount;
}

auto Metrics::recordLatency(const std::string &name, double milliseconds) -> void
{
    const std::lock_guard lock(mutex_);
    auto &histogram = histograms_[name];
    if (!histogram) {
        histogram = std::make_unique<Histogram>();
    }
    histogram->bins(milliseconds);
    ++histogram->count;
}

auto Metrics::counter(const std::string &name) const -> std::uint64_t
{
    const std::lock_guard lock(mutex_);
    const auto found = counters_.find(name);
    return found == counters_.end() ? 0 : found->second;
}

auto Metrics::toJson() const -> JsonObject::Ptr
{
    const std::lock_guard lock(mutex_);
    JsonObject::Ptr counters = new JsonObject;
    for (const auto &[name, value] : counters_) {
        counters->set(name, value);
    }
    JsonObject::Ptr latencies = new JsonObject;
    for (const auto &[name, histogram] : histograms_) {
        JsonObject::Ptr entry = new JsonObject;
        entry->set("count", histogram->count);
        entry->set("p50", histogram->quantile(0.50));
        entry->set("p95", histogram->quantile(0.95));
        entry->set("p99", histogram->quantile(0.99));
        latencies->set(name, entry);
    }
    JsonObject::Ptr json = new JsonObject;
    json->set("counters", counters);
    json->set("latency_ms", latencies);
    return json;
}

} // namespace poplardock
