#include "platform/StoreFormat.h"

#include "platform/ConfigurationFormat.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace poplardock::platform {

namespace {

const std::string CONFIGURATION = R"({"version":7,"routes":[
{"name":"r1","host":"h","pathPrefix":"/a/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":300,"priority":0,"service":"m","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"targetGapMs":300},
{"name":"r2","host":"h","pathPrefix":"/a/b/","kind":"non_idempotent","timeoutMs":5000,"split":[{"service":"m","weight":90},{"service":"n","weight":10}],"maxAttempts":1,"public":true},
{"name":"r3","host":"h","pathPrefix":"/j/","kind":"batch","service":"m","maxAttempts":3,"targetCompletionMs":18000,"retentionS":60.5}],
"services":[{"name":"m","maxConnections":300,"engine":{"slots":8,"stride":7}},{"name":"n"}],
"limits":{"maxHeaderBytes":1000,"maxBodyBytes":2000,"headerTimeoutMs":3,"idleTimeoutMs":4},
"tenants":[{"name":"t","apiKeys":["k1","k2"],"priority":1,"ratePerS":60,"burst":30}]})";

auto upstreamEntry(const std::string &spec) -> StoredObject
{
    return { "servers", "i-1", 3, {}, spec };
}

} // namespace

BOOST_AUTO_TEST_SUITE(StoreFormatSuite)

// Guards against failing a whole list because one entry, written by another writer, cannot be decoded.
BOOST_AUTO_TEST_CASE(ListsSkipUndecodableEntries)
{
    const auto list = decodeList(
        "servers",
        R"({"items":["text",{"metadata":{"name":"a","revision":4},"spec":{"x":1},"status":null},{"metadata":{}}],"hasMore":true,"at":9})");
    BOOST_REQUIRE(list.ok());
    BOOST_REQUIRE(list->objects.size() == 1);
    BOOST_TEST(list->objects[0].name == "a");
    BOOST_TEST(list->objects[0].version == 4);
    BOOST_TEST(list->objects[0].spec == R"({"x":1})");
    BOOST_TEST(list->hasMore);
    BOOST_TEST(list->revision == 9);
    BOOST_TEST(!decodeList("servers", "not json").ok());
    BOOST_TEST(!decodeList("servers", "{}").ok());
}

// Guards against taking the removal of an object for a change, and against failing on an undecodable event.
BOOST_AUTO_TEST_CASE(RemovalsAreDecoded)
{
    const auto events = decodeEvents(
        "servers",
        R"({"events":[{"deleted":true,"object":{"metadata":{"name":"a","revision":5},"spec":{}}},{"deleted":false,"object":"x"}],"at":6})");
    BOOST_REQUIRE(events.ok());
    BOOST_REQUIRE(events->events.size() == 1);
    BOOST_TEST(events->events[0].isRemoved);
    BOOST_TEST(events->revision == 6);
}

// Guards against a replace without the expected revision, a create with one, and query parameters that are lost.
BOOST_AUTO_TEST_CASE(CallsCarryRevisionsAndQueries)
{
    const StoredObject object { "jobs", "j1", 12, {}, R"({"a":1})" };
    BOOST_TEST(replaceCall(object).target == "/-/objects/jobs/j1");
    BOOST_TEST(replaceCall(object).body == R"({"metadata":{"name":"j1","revision":12},"spec":{"a":1}})");
    BOOST_TEST(createCall(object).target == "/-/objects/jobs");
    BOOST_TEST(createCall(object).body == R"({"metadata":{"name":"j1"},"spec":{"a":1}})");
    StoreQuery query;
    query.watchRevision = 5;
    query.wait = Milliseconds(2000);
    BOOST_TEST(listCall("servers", query).target == "/-/objects/servers?watch=5&waitMs=2000");
    StoreQuery stale;
    stale.allowsStale = true;
    stale.after = "b";
    BOOST_TEST(listCall("jobs", stale).target == "/-/objects/jobs?after=b&allowStale=1");
    // A name of another writer, at the end of a page.
    stale.after = "a b&c?d/e";
    BOOST_TEST(listCall("jobs", stale).target == "/-/objects/jobs?after=a%20b%26c%3fd%2fe&allowStale=1");
    BOOST_TEST(removeCall("members", "a b/c").target == "/-/objects/members/a%20b%2fc");
}

// Guards against a restriction to regions that is dropped or read where there is none.
BOOST_AUTO_TEST_CASE(AllowedRegionsAreDecoded)
{
    const auto none = decodeConfiguration({ "config", "main", 44, {}, CONFIGURATION });
    BOOST_REQUIRE(none.ok());
    BOOST_TEST(!ServingVersion(*none).hasRegions());
    const std::string spec
        = R"({"routes":[{"name":"r","host":"h","pathPrefix":"/","kind":"idempotent","service":"m","allowedRegions":["east","west"]}],)"
          R"("tenants":[{"name":"t","apiKeys":["k"],"allowedRegions":["west"]}]})";
    const auto data = decodeConfiguration({ "config", "main", 45, {}, spec });
    BOOST_REQUIRE_MESSAGE(data.ok(), data.status().message());
    const ServingVersion version(*data);
    BOOST_TEST(version.hasRegions());
    BOOST_TEST((version.findRoute("h", "/")->allowedRegions == std::vector<std::string> { "east", "west" }));
    BOOST_TEST((version.findTeam("t")->allowedRegions == std::vector<std::string> { "west" }));
    const std::string odd = R"({"tenants":[{"name":"t","apiKeys":["k"],"allowedRegions":"west"}]})";
    BOOST_TEST(!decodeConfiguration({ "config", "main", 46, {}, odd }).ok());
}

// Guards against reading whether a route is retryable, its limits or the keys from the wrong fields.
BOOST_AUTO_TEST_CASE(AConfigurationIsDecoded)
{
    const auto data = decodeConfiguration({ "config", "main", 44, {}, CONFIGURATION });
    BOOST_REQUIRE_MESSAGE(data.ok(), data.status().message());
    const ServingVersion version(*data);
    BOOST_TEST(version.data().revision == 44);
    BOOST_TEST(version.data().number == 7);
    const ServiceRoute *stream = version.findRoute("h", "/a/x?y=/a/b/");
    BOOST_REQUIRE(stream != nullptr);
    BOOST_TEST(stream->name == "r1");
    BOOST_TEST(stream->isRetryable);
    BOOST_TEST(stream->isResumable);
    BOOST_TEST(stream->gapTarget.count() == 300);
    const ServiceRoute *longest = version.findRoute("h", "/a/b/c");
    BOOST_REQUIRE(longest != nullptr);
    BOOST_TEST(longest->name == "r2");
    BOOST_TEST(!longest->isRetryable);
    BOOST_TEST(longest->isPublic);
    BOOST_TEST(longest->shares.size() == 2);
    const auto &routes = version.data().routes;
    const auto batch = std::find_if(routes.begin(), routes.end(), [](const ServiceRoute &route) { return route.name == "r3"; });
    BOOST_REQUIRE((batch != routes.end()));
    BOOST_TEST((batch->kind == RouteKind::Batch));
    BOOST_TEST(batch->jobTarget.count() == 18000);
    BOOST_TEST(batch->jobRetention.count() == 60500);
    BOOST_TEST(version.findRoute("other", "/a/") == nullptr);
    BOOST_TEST(version.findRoute("h", "/a") == nullptr);
    BOOST_REQUIRE(version.findTeamOfKey("k2") != nullptr);
    BOOST_TEST(version.findTeamOfKey("k2")->team.ratePerSecond == 60);
    BOOST_TEST(version.findTeamOfKey("k3") == nullptr);
    const auto &groups = version.data().groups;
    const auto group = std::find_if(groups.begin(), groups.end(), [](const GroupLimits &each) { return each.name == "m"; });
    BOOST_REQUIRE((group != groups.end()));
    BOOST_TEST(group->slots == 8);
    BOOST_TEST(version.data().callerLimits.headBytes == 1000);
}

// Guards against applying a configuration of which some fields are invalid.
BOOST_AUTO_TEST_CASE(AnInvalidConfigurationIsRejected)
{
    for (const std::string spec : { "[]", R"({"routes":[{"name":"r"}]})", R"({"tenants":[{"name":5}]})", R"({"routes":"none"})" }) {
        BOOST_TEST(!decodeConfiguration({ "config", "main", 1, {}, spec }).ok(), spec);
    }
}

// Guards against an upstream that is lost, or taken for warm, because of a cold time that is not readable.
BOOST_AUTO_TEST_CASE(ColdTimesOfEntriesAreRead)
{
    const auto coldTimeOf = [](const std::string &value) {
        const auto upstream = decodeUpstream(upstreamEntry(
            R"({"service":"m","address":"10.0.0.1:80","zone":"a","slots":8,"state":"ready","coldRemainingMs":)" + value + "}"));
        BOOST_REQUIRE(upstream.ok());
        return upstream->coldRemaining;
    };
    BOOST_TEST(coldTimeOf("7500")->count() == 7500);
    BOOST_TEST(coldTimeOf("0")->count() == 0);
    for (const std::string value : { "null", "-1", R"("soon")", "[]" }) {
        BOOST_TEST(!coldTimeOf(value), value);
    }
    const auto version = decodeConfiguration(
        { "config", "main", 1, {}, R"({"services":[{"name":"m","coldStartS":7.5,"coldPerS":9.8},{"name":"n","coldPerS":-1}]})" });
    BOOST_REQUIRE(version.ok());
    BOOST_TEST(version->groups[0].coldStart.count() == 7500);
    BOOST_TEST(version->groups[0].coldPerSecond == 9.8);
    BOOST_TEST(version->groups[1].coldPerSecond == 0);
}

// Guards against sending requests to an address from an invalid entry of another writer.
BOOST_AUTO_TEST_CASE(InvalidUpstreamEntriesAreRejected)
{
    const auto upstream
        = decodeUpstream(upstreamEntry(R"({"service":"m","address":"10.0.0.1:80","zone":"a","slots":8,"state":"draining","sequence":4})"));
    BOOST_REQUIRE(upstream.ok());
    BOOST_TEST(upstream->name == "i-1");
    BOOST_TEST(upstream->isDraining);
    BOOST_TEST(upstream->slots == 8);
    BOOST_TEST(!upstream->coldRemaining);
    for (const std::string spec : { R"("bytes")",
                                    "null",
                                    R"({"service":"m","address":"10.0.0.1:80","zone":"a","slots":8,"state":"dreaming"})",
                                    R"({"service":"m","address":7,"zone":"a","slots":8,"state":"ready"})",
                                    R"({"service":"m","address":"10.0.0.1","zone":"a","slots":8,"state":"ready"})",
                                    R"({"address":"10.0.0.1:80","zone":"a","slots":8,"state":"ready"})",
                                    R"({"service":"m","address":"10.0.0.1:80","zone":"a","slots":"8","state":"ready"})" }) {
        BOOST_TEST(!decodeUpstream(upstreamEntry(spec)).ok(), spec);
    }
}

// Guards against one unreadable object that takes the readable ones of the same answer with it.
BOOST_AUTO_TEST_CASE(UnreadableObjectsAreLeftOut)
{
    const std::string sound = R"({"metadata":{"name":"a","revision":4},"spec":{"x":1}})";
    const std::vector<std::string> odd { R"({"metadata":{"name":5,"revision":4},"spec":{}})",
                                         R"({"metadata":{"name":"b","revision":99999999999999999999},"spec":{}})",
                                         R"({"metadata":{"name":"\udcff","revision":4},"spec":{}})",
                                         R"({"spec":{}})",
                                         "null",
                                         "[[[]]]" };
    for (const std::string &object : odd) {
        const auto list = decodeList("servers", R"({"items":[)" + object + "," + sound + R"(],"hasMore":true,"at":7})");
        BOOST_REQUIRE(list.ok());
        BOOST_TEST(list->objects.size() == 1U, object);
        BOOST_TEST(list->unreadable == 1U, object);
        BOOST_TEST(list->hasMore);
        BOOST_TEST(list->revision == 7U);
        const auto events
            = decodeEvents("servers", R"({"events":[{"object":)" + object + R"(},{"deleted":true,"object":)" + sound + R"(}],"at":8})");
        BOOST_REQUIRE(events.ok());
        BOOST_TEST(events->events.size() == 1U, object);
        BOOST_TEST(events->events[0].isRemoved);
        BOOST_TEST(events->unreadable == 1U, object);
    }
    for (const std::string text :
         { "", "{", R"({"items":[})", R"({"items":[1,]},"at":1})", R"({"items":{},"at":1})", R"({"items":[]})", "[]" }) {
        BOOST_TEST(!decodeList("servers", text).ok(), text);
    }
}

// Guards against an entry of another writer that is kept and passed on at its whole size, beside those of servers.
BOOST_AUTO_TEST_CASE(LargeEntriesOfServersAreNotKept)
{
    const std::string large = R"({"metadata":{"name":"a","revision":4},"spec":{"zone":")" + std::string(1U << 20U, 'z') + R"("}})";
    const auto list = decodeList("servers", R"({"items":[)" + large + R"(],"hasMore":false,"at":7})");
    BOOST_REQUIRE(list.ok());
    BOOST_REQUIRE(list->objects.size() == 1U);
    BOOST_TEST(list->objects[0].name == "a");
    BOOST_TEST(list->objects[0].spec.capacity() < 100U);
    BOOST_TEST(!decodeUpstream(list->objects[0]).ok());
    const auto payloads = decodeList("payloads", R"({"items":[)" + large + R"(],"hasMore":false,"at":7})");
    BOOST_REQUIRE(payloads.ok());
    BOOST_TEST(payloads->objects[0].spec.size() > 1U << 20U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock::platform
