#include "Process/Metrics.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

// Guards against quantiles whose error exceeds the bin width that Metrics::recordLatency() documents.
BOOST_AUTO_TEST_CASE(QuantilesAreAccurateToTheBinWidth)
{
    Metrics metrics;
    for (int value = 1; value <= 1000; ++value) {
        metrics.recordLatency("total", value);
    }
    const auto total = metrics.toJson()->getObject("latency_ms")->getObject("total");
    BOOST_TEST(total->getValue<double>("p50") >= 500);
    BOOST_TEST(total->getValue<double>("p50") <= 500 * 1.1);
    BOOST_TEST(total->getValue<double>("p99") >= 990);
    BOOST_TEST(total->getValue<double>("p99") <= 990 * 1.1);
}

BOOST_AUTO_TEST_CASE(ValuesOutsideTheBinsAreCounted)
{
    Metrics metrics;
    metrics.recordLatency("total", 0.001);
    metrics.recordLatency("total", 1e9);
    BOOST_TEST(metrics.toJson()->getObject("latency_ms")->getObject("total")->getValue<int>("count") == 2);
}

} // namespace poplardock
