#include "Request/CallerIdentity.h"

#include "Connection/CallerAuthentication.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

auto routeOn(const std::string &host, RouteKind kind, bool isPublic) -> ServiceRoute
{
    ServiceRoute route;
    route.host = host;
    route.prefix = "/";
    route.kind = kind;
    route.isPublic = isPublic;
    return route;
}

auto versionWith(std::vector<ServiceRoute> routes, bool hasTeams) -> ServingVersion
{
    ServingVersion::Data data;
    data.routes = std::move(routes);
    if (hasTeams) {
        ServedTeam team;
        team.team.name = "weavers";
        team.team.keys.push_back({ {}, sha256Hex("key1"), false });
        data.teams.push_back(std::move(team));
    }
    return ServingVersion(std::move(data));
}

auto nameOf(const CallerIdentity &identity) -> std::string
{
    if (identity.refusal) {
        return std::string(describe(*identity.refusal).name);
    }
    return identity.team == nullptr ? "nobody" : identity.team->team.name;
}

const std::string MISSING(describe(ResultCode::KeyMissing).name);
const std::string UNKNOWN(describe(ResultCode::KeyUnknown).name);
const std::string STALE(describe(ResultCode::ConfigurationStale).name);

} // namespace

BOOST_AUTO_TEST_SUITE(CallerIdentitySuite)

BOOST_AUTO_TEST_CASE(APublicRouteAsksForNoKey)
{
    const ServingVersion version = versionWith({ routeOn("shop", RouteKind::Plain, true), routeOn("shop", RouteKind::Plain, false) }, true);
    const auto &routes = version.data().routes;
    BOOST_TEST(nameOf(identifyCaller(version, routes.data(), "", false)) == "nobody");
    BOOST_TEST(nameOf(identifyCaller(version, &routes[1], "key1", true)) == "weavers");
    BOOST_TEST(nameOf(identifyCaller(version, &routes[1], "key9", true)) == UNKNOWN);
    BOOST_TEST(nameOf(identifyCaller(version, &routes[1], "", true)) == MISSING);
    BOOST_TEST(nameOf(identifyCaller(version, &routes[1], "key1", false)) == STALE);
    BOOST_TEST(nameOf(identifyCaller(versionWith({}, false), nullptr, "", false)) == "nobody");
}

// Guards against a job call whose caller depends on a route that takes no jobs.
BOOST_AUTO_TEST_CASE(AKeyDecidesOnAJobCall)
{
    for (const RouteKind kind : { RouteKind::Plain, RouteKind::Stream, RouteKind::Batch }) {
        for (const bool isPublic : { false, true }) {
            const ServingVersion version = versionWith({ routeOn("shop", kind, isPublic), routeOn("other", RouteKind::Batch, true) }, true);
            const bool isOpen = kind == RouteKind::Batch && isPublic;
            for (const ServiceRoute *route : { static_cast<const ServiceRoute *>(nullptr), version.data().routes.data() }) {
                BOOST_TEST(nameOf(identifyJobCaller(version, route, "shop", "key1", true)) == "weavers");
                BOOST_TEST(nameOf(identifyJobCaller(version, route, "shop", "key1", false)) == STALE);
                BOOST_TEST(nameOf(identifyJobCaller(version, route, "shop", "", true)) == (isOpen ? "nobody" : MISSING));
                BOOST_TEST(nameOf(identifyJobCaller(version, route, "shop", "key9", true)) == (isOpen ? "nobody" : UNKNOWN));
            }
        }
    }
    BOOST_TEST(nameOf(identifyJobCaller(versionWith({}, false), nullptr, "shop", "", false)) == "nobody");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
