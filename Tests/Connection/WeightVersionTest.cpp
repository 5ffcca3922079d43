#include "Support/JobChecks.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

auto requestFor(const std::string &id, const std::string &version) -> HttpCall
{
    HttpCall call = PlatformFleet::request("/plain/" + id, id, "key1");
    call.headers.add("Expect-Version", version);
    return call;
}

} // namespace

BOOST_AUTO_TEST_SUITE(WeightVersionSuite)

// Guards against sound upstreams that are taken away, for good, by requests for a version of the weights that they do not have.
BOOST_AUTO_TEST_CASE(ARequestForAnotherVersionCostsNoUpstream)
{
    PlatformFleet fleet(1, 6);
    for (int number = 0; number < 8; ++number) {
        const std::string id = absl::StrCat("v", number);
        const auto refused = fleet.call(0, requestFor(id, "2"));
        BOOST_REQUIRE(refused.has_value());
        BOOST_TEST(refused->status == 421);
        BOOST_TEST(absl::StrContains(refused->body, "3013"));
        BOOST_TEST(totalRuns(fleet, id) == 0);
    }
    BOOST_TEST(fleet.call(0, requestFor("same", "1"))->status == 200);
    BOOST_TEST(fleet.call(0, PlatformFleet::request("/plain/x", "x", "key1"))->status == 200);
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("job", 12, "key1"))->status == 202);
    BOOST_TEST(awaitResults(fleet, 0, "job", 12).size() == 12U);
}

// Guards against a request that is refused although an upstream has the version, while the upstreams change their weights in turn.
BOOST_AUTO_TEST_CASE(ARequestFindsTheUpstreamOfItsVersion)
{
    PlatformFleet fleet(1, 2);
    fleet.engines[1]->behaviour().weightVersion = "2";
    for (const char *version : { "1", "2", "2", "1" }) {
        BOOST_TEST(fleet.call(0, requestFor(absl::StrCat("r", version), version))->status == 200);
    }
}

// Guards against upstreams that are taken away by an item of a job, and against other items that wait for it.
BOOST_AUTO_TEST_CASE(AnItemForAnotherVersionHoldsNobodyUp)
{
    PlatformFleet fleet(1, 3);
    HttpCall job = PlatformFleet::submission("job", 6, "key1");
    const std::string plain = R"({"id":"job-0","path":"/batch/job-0","headers":{)";
    job.body = absl::StrReplaceAll(job.body, { { plain, plain + R"("Expect-Version":"2",)" } });
    BOOST_TEST(fleet.call(0, job)->status == 202);
    BOOST_TEST(awaitResults(fleet, 0, "job", 5).size() == 5U);
    fleet.runFor(Milliseconds(1500));
    BOOST_TEST(fleet.results(0, "job", "key1").size() == 5U);
    BOOST_TEST(fleet.call(0, PlatformFleet::request("/plain/x", "x", "key1"))->status == 200);
    fleet.engines[2]->behaviour().weightVersion = "2";
    BOOST_TEST(awaitResults(fleet, 0, "job", 6).size() == 6U);
}

// Guards against an upstream that is gone for good for a daemon because another one answered once at its address.
BOOST_AUTO_TEST_CASE(AMisdirectedRequestIsNoVerdictForGood)
{
    PlatformFleet fleet(1, 1);
    const std::string other = fleet.store.specOf("servers", "engine0");
    // An entry that names the address of another upstream, and is corrected without a new version of the entry being seen as another.
    fleet.store.put("servers", "ghost", other);
    fleet.runFor(Milliseconds(1500));
    for (int number = 0; number < 6; ++number) {
        const std::string id = absl::StrCat("g", number);
        BOOST_TEST(fleet.call(0, PlatformFleet::request("/plain/" + id, id, "key1"))->status == 200);
        BOOST_TEST(totalRuns(fleet, id) == 1);
    }
    // The address is the right one after all once the upstream says so.
    fleet.engines.push_back(std::make_unique<FakeEngine>(fleet.loop, "late"));
    FakeEngine &late = *fleet.engines.back();
    fleet.store.put("servers", "late", absl::StrReplaceAll(other, { { fleet.engines[0]->address(), late.address() } }));
    fleet.store.remove("servers", "ghost");
    fleet.store.remove("servers", "engine0");
    fleet.runFor(Milliseconds(2500));
    BOOST_TEST(fleet.call(0, PlatformFleet::request("/plain/last", "last", "key1"))->status == 200);
    BOOST_TEST(late.runsOf("last") == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
