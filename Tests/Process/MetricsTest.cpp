#include "Process/Metrics.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

// Guards against quantiles that are off by more than the bin width stated in the header.
BOOST_AUTO_TEST_CASE(QuantilesAreExactToTheBinWidth)
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
