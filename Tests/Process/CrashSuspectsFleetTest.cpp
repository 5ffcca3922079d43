#include "Support/CrashChecks.h"

namespace poplardock {

BOOST_AUTO_TEST_SUITE(CrashSuspectsFleetSuite)

// Guards against a part that goes on crashing upstreams, and against sound requests that are refused because they share
// their other parts with it.
BOOST_AUTO_TEST_CASE(OnlyTheCrashingPartIsRefused)
{
    checkOnlyPartIsRefused(0, 10, [](CrashSimulation &, int) {});
}

// Guards against sound parts that stay refused after all upstreams crashed at once, for another reason than the part.
BOOST_AUTO_TEST_CASE(OnlyTheCrashingPartIsRefusedAfterAllUpstreamsCrashed)
{
    constexpr int CRASH_SECOND = 8;
    // Twice the window, within which sound requests have to return.
    constexpr int RECOVERY_SECONDS = 6;
    checkOnlyPartIsRefused(3, CRASH_SECOND + RECOVERY_SECONDS, [](CrashSimulation &simulation, int second) {
        if (second == CRASH_SECOND) {
            simulation.crashAll();
        }
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
