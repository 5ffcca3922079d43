#include "Version/FleetCodec.h"

#include "Support/ControlDaemon.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace poplardock {

namespace {

auto versionOf(Configuration::Data data) -> FleetVersion
{
    auto configuration = Configuration::create(std::move(data));
    BOOST_REQUIRE_MESSAGE(configuration.ok(), std::string(configuration.status().message()));
    const auto members = MemberTable::create({ { "a", "127.0.0.1:1", "dc1", "r1", 2, "i1", "vm-a" } });
    return { 7, 5, *std::move(configuration), *members };
}

auto contentsOf(const EncodedFleet &encoded) -> ShardContents
{
    ShardContents contents;
    for (const Shard &shard : encoded.shards) {
        contents.emplace(shard.name, shard.content);
    }
    return contents;
}

auto manyTeams(int count) -> Configuration::Data
{
    Configuration::Data data = sampleConfiguration();
    for (int number = 0; number < count; ++number) {
        data.teams.push_back({ "team-" + std::to_string(number), 0.1 + number, 1e6, {} });
    }
    return data;
}

} // namespace

BOOST_AUTO_TEST_SUITE(FleetCodecSuite)

// Guards against a version that is altered by encoding, by storage or by decoding.
BOOST_AUTO_TEST_CASE(RoundTripKeepsTheVersion)
{
    Configuration::Data data = manyTeams(200);
    data.upstreams.front().credential = "quote \" backslash \\ slash / tab \t \xc3\xa9";
    const FleetVersion version = versionOf(FleetCodec::sorted(data));
    const EncodedFleet encoded = FleetCodec::encode(version, {});
    const auto root = FleetRoot::fromText(encoded.root.toText());
    BOOST_REQUIRE(root.ok());
    BOOST_TEST((*root == encoded.root));
    const auto assembled = FleetCodec::assemble(*root, contentsOf(encoded), {});
    BOOST_REQUIRE(assembled.ok());
    BOOST_TEST((*assembled == version));
    BOOST_TEST((FleetCodec::encode(*assembled, {}) == encoded));
    for (const Shard &shard : encoded.shards) {
        BOOST_TEST(FleetCodec::isContentOf(shard.name, shard.content));
        // The store parses and reserializes each shard.
        BOOST_TEST(FleetCodec::isContentOf(shard.name, Json::toText(**Json::parseObject(shard.content))));
    }
}

// Guards against changes that make daemons read more than the one affected shard.
BOOST_AUTO_TEST_CASE(ChangeOfOneTeamChangesOneShard)
{
    Configuration::Data data = manyTeams(200);
    const EncodedFleet before = FleetCodec::encode(versionOf(data), {});
    const RootedVersion previous { before.root, std::make_shared<const FleetVersion>(versionOf(data)) };
    data.teams.back().burst = 3;
    const FleetVersion changed = versionOf(FleetCodec::sorted(data));
    const EncodedFleet after = FleetCodec::encode(changed, {});
    BOOST_TEST(FleetCodec::missingShards(after.root, contentsOf(before)).size() == 1U);
    // Encoding and assembling relative to the previous version give the same result, with only the changed team shard.
    const EncodedFleet delta = FleetCodec::encode(changed, previous);
    BOOST_TEST((delta.root == after.root));
    BOOST_TEST(delta.shards.size() == 1U);
    ShardContents contents = contentsOf(delta);
    contents.insert(*contentsOf(before).find(before.root.classShard));
    contents.insert(*contentsOf(before).find(before.root.routeShard));
    const auto assembled = FleetCodec::assemble(after.root, contents, previous);
    BOOST_REQUIRE(assembled.ok());
    BOOST_TEST((*assembled == changed));
}

// Guards against a team that is accepted from a shard other than the one its name hashes to.
BOOST_AUTO_TEST_CASE(TeamInWrongShardIsRejected)
{
    const EncodedFleet encoded = FleetCodec::encode(versionOf(sampleConfiguration()), {});
    FleetRoot root = encoded.root;
    const std::size_t index = FleetCodec::teamShardOf("bench");
    std::swap(root.teamShards[index], root.teamShards[(index + 1) % TEAM_SHARD_COUNT]);
    BOOST_TEST(absl::IsInvalidArgument(FleetCodec::assemble(root, contentsOf(encoded), {}).status()));
}

// Guards against shards that are rewritten although only the order of entries differs.
BOOST_AUTO_TEST_CASE(EqualContentHasEqualNames)
{
    Configuration::Data data = manyTeams(20);
    const EncodedFleet first = FleetCodec::encode(versionOf(data), {});
    std::reverse(data.teams.begin(), data.teams.end());
    std::reverse(data.classes.begin(), data.classes.end());
    std::reverse(data.upstreams.begin(), data.upstreams.end());
    BOOST_TEST((FleetCodec::encode(versionOf(data), {}) == first));
}

// Guards against accepting a root or shard that is malformed, or a root in the format of a newer build.
BOOST_AUTO_TEST_CASE(InvalidRootsAndShardsAreRejected)
{
    const EncodedFleet encoded = FleetCodec::encode(versionOf(sampleConfiguration()), {});
    JsonObject::Ptr text = *Json::parseObject(encoded.root.toText());
    text->set("format", FLEET_FORMAT + 1);
    BOOST_TEST(absl::IsUnimplemented(FleetRoot::fromText(Json::toText(*text)).status()));
    text->set("format", FLEET_FORMAT);
    text->set("revision", 0);
    BOOST_TEST(absl::IsInvalidArgument(FleetRoot::fromText(Json::toText(*text)).status()));
    text->set("revision", 9);
    text->getObject("shards")->set("routes", "../routes");
    BOOST_TEST(absl::IsInvalidArgument(FleetRoot::fromText(Json::toText(*text)).status()));
    for (const char *malformed : { "", "{}", "[]", R"({"format":1,"revision":1,"configuration_revision":1,"shards":{}})" }) {
        BOOST_TEST(absl::IsInvalidArgument(FleetRoot::fromText(malformed).status()));
    }
    ShardContents contents = contentsOf(encoded);
    contents[encoded.root.classShard] = R"({"classes":[{"name":"chat"}],"default_class":"chat"})";
    BOOST_TEST(!FleetCodec::isContentOf(encoded.root.classShard, contents[encoded.root.classShard]));
    BOOST_TEST(absl::IsInvalidArgument(FleetCodec::assemble(encoded.root, contents, {}).status()));
    contents.erase(encoded.root.classShard);
    BOOST_TEST(absl::IsInvalidArgument(FleetCodec::assemble(encoded.root, contents, {}).status()));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
