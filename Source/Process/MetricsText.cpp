#include "Process/MetricsText.h"

#include <absl/strings/str_cat.h>

#include <array>

namespace poplardock {

namespace {

struct Quantile
{
    const char *key;
    const char *label;
};

constexpr std::array<Quantile, 3> QUANTILES = { Quantile { "p50", "0.5" }, Quantile { "p95", "0.95" }, Quantile { "p99", "0.99" } };

auto appendLatency(std::string &text, const std::string &name, const JsonObject &latency) -> void
{
    for (const Quantile &quantile : QUANTILES) {
        const double value = Json::optionalNumber(latency, quantile.key, 0).value_or(0);
        absl::StrAppend(&text, "poplardock_", name, "_ms{quantile=\"", quantile.label, "\"} ", value, "\n");
    }
    absl::StrAppend(&text, "poplardock_", name, "_ms_count ", Json::optionalInteger(latency, "count", 0).value_or(0), "\n");
}

} // namespace

auto metricsText(const Metrics &metrics) -> std::string
{
    const JsonObject::Ptr snapshot = metrics.toJson();
    std::string text;
    if (snapshot->isObject("counters")) {
        for (const auto &[name, value] : *snapshot->getObject("counters")) {
            absl::StrAppend(&text, "poplardock_", name, "_total ", value.convert<std::string>(), "\n");
        }
    }
    if (snapshot->isObject("latency_ms")) {
        const JsonObject::Ptr latencies = snapshot->getObject("latency_ms");
        for (const std::string &name : latencies->getNames()) {
            appendLatency(text, name, *latencies->getObject(name));
        }
    }
    return text;
}

} // namespace poplardock
