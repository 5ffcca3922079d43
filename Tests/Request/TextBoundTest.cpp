#include "Request/TextBound.h"

#include <boost/test/unit_test.hpp>

#include <limits>

namespace poplardock {

BOOST_AUTO_TEST_SUITE(TextBoundSuite)

// Guards against a bound that a sound answer exceeds, or that an odd number of tokens removes.
BOOST_AUTO_TEST_CASE(TheBoundFollowsTheTokens)
{
    constexpr std::size_t LARGEST = 900000;
    BOOST_TEST(maximumTextBytes(1) >= 64U << 10U);
    BOOST_TEST(maximumTextBytes(242) > 242U * 1000);
    BOOST_TEST(maximumTextBytes(242) < LARGEST);
    for (const std::int64_t tokens :
         { std::int64_t(0), std::int64_t(-1), std::int64_t(100000), std::numeric_limits<std::int64_t>::max() }) {
        BOOST_TEST(maximumTextBytes(tokens) == LARGEST);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
