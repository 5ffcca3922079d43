#include "Process/AllowanceClient.h"

#include "Support/AllowanceFleet.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

BOOST_AUTO_TEST_SUITE(AllowanceClientSuite)

// Guards against a fleet that never admits, and against one that admits more than the burst at an instant.
BOOST_AUTO_TEST_CASE(FleetAdmitsTheBurst)
{
    AllowanceFleet fleet({ "r", "r", "r", "r", "r", "r" }, { { "t", 10, 20, {} } });
    BOOST_TEST(!fleet.daemon(0).admits("t"));
    fleet.runTakeoverWait();
    fleet.run(Milliseconds(2000));
    int admitted = 0;
    for (int round = 0; round < 20; ++round) {
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            admitted += fleet.daemon(index).admits("t") ? 1 : 0;
        }
    }
    BOOST_TEST(admitted == 20);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
