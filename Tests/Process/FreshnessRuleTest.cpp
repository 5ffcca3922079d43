#include "Process/FreshnessRule.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

const TimePoint NOW { std::chrono::hours(1) };
constexpr Milliseconds STALE_AGE = FRESHNESS_BOUND + Milliseconds(1);

struct Row
{
    const char *failure;
    FreshnessInput input;
    Freshness expected;
};

} // namespace

BOOST_AUTO_TEST_SUITE(FreshnessRuleSuite)

BOOST_AUTO_TEST_CASE(Table)
{
    using enum Freshness;
    const Row rows[] = {
        { "a daemon acts on a version that was never confirmed", { NOW, {}, 3, 3, 5, 5 }, Stale },
        { "a daemon refuses although its version is confirmed", { NOW, NOW - FRESHNESS_BOUND, 3, 3, 1, 5 }, Current },
        { "a cut-off daemon honours withdrawn keys", { NOW, NOW - STALE_AGE, 3, 3, 1, 5 }, Stale },
        { "half of the members are taken for a majority", { NOW, NOW - STALE_AGE, 3, 3, 2, 4 }, Stale },
        { "a store outage stops all online work", { NOW, NOW - STALE_AGE, 3, 3, 3, 5 }, StoreOutage },
        { "a single daemon stops in a store outage", { NOW, NOW - STALE_AGE, 3, 3, 1, 1 }, StoreOutage },
        { "a confirmed daemon acts although it knows a higher revision", { NOW, NOW, 3, 4, 5, 5 }, Stale },
        { "a majority acts although it knows a higher revision", { NOW, NOW - STALE_AGE, 3, 4, 5, 5 }, Stale },
        { "a daemon without members acts", { NOW, NOW - STALE_AGE, 3, 3, 0, 0 }, Stale },
    };
    for (const Row &row : rows) {
        BOOST_TEST((evaluateFreshness(row.input) == row.expected), row.failure);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
