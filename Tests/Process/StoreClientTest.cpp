#include "Process/StoreClient.h"

#include "Fakes/FakePlatform.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

struct StoreFixture
{
    std::unique_ptr<FakePlatform> platform = *FakePlatform::start("127.0.0.1:0");
    StoreClient store { platform->address(), "test", { 1000, 1000 } };

    static auto object(const std::string &name, const std::string &spec) -> StoredObject
    {
        return { "chunks", name, 0, { { "state", "open" } }, spec };
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StoreClientSuite, StoreFixture)

// Guards against an update that overwrites a change made after its object was read.
BOOST_AUTO_TEST_CASE(SecondUpdateOfTheSameVersionIsAborted)
{
    const auto created = store.create(object("a", R"({"n":1})"));
    BOOST_REQUIRE(created.ok());
    BOOST_TEST(store.update(*created).ok());
    BOOST_TEST(absl::IsAborted(store.update(*created).status()));
    BOOST_TEST(absl::IsAlreadyExists(store.create(object("a", "{}")).status()));
}

// Guards against reporting a write as failed, or repeating it, when only its response was lost.
BOOST_AUTO_TEST_CASE(LostResponseIsResolvedByTheWriterToken)
{
    const auto created = store.create(object("a", R"({"n":1})"));
    BOOST_REQUIRE(created.ok());
    BOOST_REQUIRE(platform->setFaults(R"({"lose_write_answers":1})").ok());
    StoredObject changed = *created;
    changed.spec = R"({"n":2})";
    const auto updated = store.update(changed);
    BOOST_REQUIRE(updated.ok());
    BOOST_TEST(updated->spec == changed.spec);
    BOOST_TEST(store.callCounts().resolvedWrites == 1U);
}

// Guards against a failing store that is called at an unlimited rate.
BOOST_AUTO_TEST_CASE(CallsAreSuspendedInAnOutage)
{
    BOOST_REQUIRE(platform->setFaults(R"({"outage":true})").ok());
    for (int attempt = 0; attempt < 50; ++attempt) {
        BOOST_TEST(absl::IsUnavailable(store.get("chunks", "a").status()));
    }
    BOOST_TEST(store.isSuspended());
    BOOST_TEST(platform->callCount("GET") < 10U);
}

BOOST_AUTO_TEST_CASE(ListSelectsByLabel)
{
    BOOST_REQUIRE(store.create(object("a", "{}")).ok());
    BOOST_REQUIRE(store.create({ "chunks", "b", 0, { { "state", "done" } }, "{}" }).ok());
    const auto listed = store.list("chunks", { { "state", "open" } });
    BOOST_REQUIRE(listed.ok());
    BOOST_REQUIRE(listed->size() == 1U);
    BOOST_TEST(listed->front().name == "a");
}

// Guards against an object that is confirmed as unchanged while the store is down, and against a change that is
// returned only with the next poll.
BOOST_AUTO_TEST_CASE(AwaitChangeReturnsTheChangeOrConfirms)
{
    const auto created = store.create(object("a", R"({"n":1})"));
    BOOST_REQUIRE(created.ok());
    const auto unchanged = store.awaitChange("chunks", "a", created->version);
    BOOST_REQUIRE(unchanged.ok());
    BOOST_TEST(!unchanged->has_value());
    const auto changed = store.awaitChange("chunks", "a", 0);
    BOOST_REQUIRE(changed.ok());
    BOOST_TEST(changed->value().spec == created->spec);
    BOOST_REQUIRE(platform->setFaults(R"({"outage":true})").ok());
    BOOST_TEST(!store.awaitChange("chunks", "a", created->version).ok());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
