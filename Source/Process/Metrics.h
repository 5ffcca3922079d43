#pragma once

#include "Process/Json.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace poplardock {

/// Named counters and latency histograms of this process, for the metrics endpoint and the state dump.
/// Thread safety: all methods may be called from any thread.
class Metrics
{
public:
    Metrics();
    Metrics(const Metrics &) = delete;
    auto operator=(const Metrics &) -> Metrics & = delete;
    Metrics(Metrics &&) = delete;
    auto operator=(Metrics &&) -> Metrics & = delete;
    ~Metrics();

    auto count(const std::string &name, std::uint64_t amount = 1) -> void;
    /// Records one latency in milliseconds. Bins are logarithmic from 0.05 ms to 600 s, 8 per octave, so a quantile is
    /// accurate to 9% (the width of a bin).
    auto recordLatency(const std::string &name, double milliseconds) -> void;
    [[nodiscard]] auto counter(const std::string &name) const -> std::uint64_t;
    /// {"counters":{NAME:n},"latency_ms":{NAME:{"count","p50","p95","p99"}}}
    [[nodiscard]] auto toJson() const -> JsonObject::Ptr;

private:
    struct Histogram;

    mutable std::mutex mutex_;
    std::map<std::string, std::uint64_t> counters_;
    std::map<std::string, std::unique_ptr<Histogram>> histograms_;
};

} // namespace poplardock
