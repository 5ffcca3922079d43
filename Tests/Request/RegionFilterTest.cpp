#include "Request/RegionFilter.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

const std::map<std::string, std::string> REGIONS { { "east-a", "east" }, { "east-b", "east" }, { "west-a", "west" } };

} // namespace

BOOST_AUTO_TEST_SUITE(RegionFilterSuite)

// Guards against a request that leaves its regions, and against a data centre of unknown region that is taken for an allowed one.
BOOST_AUTO_TEST_CASE(BothListsApply)
{
    struct Case
    {
        std::vector<std::string> route;
        std::vector<std::string> team;
        bool east = false;
        bool west = false;
    };
    for (const Case &each : { Case { { "east" }, {}, true, false },
                              Case { {}, { "west" }, false, true },
                              Case { { "east", "west" }, { "west" }, false, true },
                              Case { { "east" }, { "west" }, false, false },
                              Case { { "nowhere" }, {}, false, false } }) {
        const RegionFilter filter(each.route, each.team, REGIONS);
        BOOST_TEST(filter.isRestricted());
        BOOST_TEST(filter.allows("east-a") == each.east);
        BOOST_TEST(filter.allows("east-b") == each.east);
        BOOST_TEST(filter.allows("west-a") == each.west);
        BOOST_TEST(!filter.allows("elsewhere"));
        BOOST_TEST(!filter.allows(""));
    }
}

// Guards against a restriction where there is none, and against one that nothing can pass being taken for none.
BOOST_AUTO_TEST_CASE(WithoutListsAllAreAllowed)
{
    const RegionFilter none({}, {}, REGIONS);
    BOOST_TEST(!none.isRestricted());
    BOOST_TEST(none.allows("elsewhere"));
    BOOST_TEST((none == RegionFilter()));
    const RegionFilter nowhere({ "east" }, {}, {});
    BOOST_TEST(!nowhere.allows("east-a"));
    BOOST_TEST((none < nowhere || nowhere < none));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
