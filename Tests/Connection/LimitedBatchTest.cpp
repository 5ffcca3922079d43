#include "Support/LimitedFleet.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

BOOST_AUTO_TEST_SUITE(LimitedBatchSuite)

// Guards against a limit that is hardly used because one daemon has all the work and its share stays as it is.
BOOST_AUTO_TEST_CASE(TheJobsOfOneDaemonUseTheLimit)
{
    LimitedFleet setting(0);
    setting.fleet.runFor(STABLE_WINDOW);
    const BootTime from = BootClock::now();
    for (const std::string id : { "a", "b", "c" }) {
        BOOST_REQUIRE(setting.fleet.call(0, PlatformFleet::submission(absl::StrCat("10b", id), 30, "key1")));
    }
    setting.fleet.runFor(2 * LIMIT_WINDOW);
    BOOST_TEST(setting.mostInWindow(from) <= LimitedFleet::allowed());
    BOOST_TEST(setting.countSince(BootClock::now() - LIMIT_WINDOW) >= LIMIT * 4 / 2);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
