#include "Process/Metrics.h"

#include <boost/histogram.hpp>

namespace poplardock {

namespace {

constexpr double LOWEST_MS = 0.05;
constexpr double HIGHEST_MS = 600000;
/// 23.5 octaves between the limits, 8 bins each.
constexpr unsigned BINS = 188;

using LogAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using LatencyHistogram = decltype(boost::histogram::make_histogram(LogAxis(BINS, LOWEST_MS, HIGHEST_MS)));

} // namespace

struct Metrics::Histogram
{
    LatencyHistogram bins = boost::histogram::make_histogram(LogAxis(BINS, LOWEST_MS, HIGHEST_MS));
    std::uint64_t count = 0;

    /// Upper edge of the bin in which the quantile lies.
    [[nodiscard]] auto quantile(double fraction) const -> double
    {
        double seen = 0;
        for (const auto &bin : boost::histogram::indexed(bins, boost::histogram::coverage::all)) {
            seen += static_cast<double>(*bin);
            if (seen >= fraction * static_cast<double>(count)) {
                return std::min(bin.bin().upper(), HIGHEST_MS);
            }
        }
        return HIGHEST_MS;
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
    JsonObject::Ptr whole = new JsonObject;
    whole->set("counters", counters);
    whole->set("latency_ms", latencies);
    return whole;
}

} // namespace poplardock
