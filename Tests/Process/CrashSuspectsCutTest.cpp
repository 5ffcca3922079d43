#include "Support/CrashChecks.h"

namespace poplardock {

BOOST_AUTO_TEST_SUITE(CrashSuspectsCutSuite)

// Guards against daemons that forget by a restart which part crashes upstreams, and against sound requests that they refuse.
BOOST_AUTO_TEST_CASE(OnlyTheCrashingPartIsRefusedWhileDaemonsRestart)
{
    checkOnlyPartIsRefused(1, 10, [](CrashSimulation &simulation, int second) {
        if (second % 7 == 3) {
            simulation.restartAny();
        }
    });
}

// Guards against a data centre that does not learn, after a cut, which part crashes upstreams, and against sound requests
// that either side refuses.
BOOST_AUTO_TEST_CASE(OnlyTheCrashingPartIsRefusedWhileADataCentreIsCutOff)
{
    constexpr int CUT_SECOND = 6;
    constexpr int HEALED_SECOND = 12;
    checkOnlyPartIsRefused(2, 10, [](CrashSimulation &simulation, int second) {
        if (second == CUT_SECOND || second == HEALED_SECOND) {
            simulation.setCut(second == CUT_SECOND);
        }
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
