#include "Version/FleetCodec.h"

#include <Poco/SHA2Engine.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>

namespace poplardock {

namespace {

constexpr std::size_t SHA256_HEX_LENGTH = 64;
/// Far below the 64-bit maximum, so that a malformed root cannot use up the revision numbers.
constexpr std::int64_t MAXIMUM_REVISION = std::int64_t { 1 } << 53;

auto sha256Of(const std::string &text) -> std::string
{
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    engine.update(text);
    return Poco::DigestEngine::digestToHex(engine.digest());
}

auto isShardName(const std::string &text) -> bool
{
    const auto isLowerHex = [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    };
    return text.size() == SHA256_HEX_LENGTH && std::all_of(text.begin(), text.end(), isLowerHex);
}

/// Sorts the keys of objects and normalizes white space and numbers.
auto canonicalText(const std::string &text) -> absl::StatusOr<std::string>
{
    const auto object = Json::parseObject(text, Json::MAXIMUM_DOCUMENT_BYTES);
    return object.ok() ? absl::StatusOr<std::string>(Json::toText(**object)) : object.status();
}

auto makeShard(const JsonObject &object) -> Shard
{
    // Parsing and serializing the text once gives the form in which readers get it from the store.
    const std::string text = Json::toText(object);
    const std::string canonical = canonicalText(text).value_or(text);
    return { sha256Of(canonical), canonical };
}

template<typename Entry, typename Encoder>
auto entriesShard(const char *key, const std::vector<Entry> &entries, Encoder encoder) -> JsonObject
{
    JsonArray::Ptr array = new JsonArray;
    for (const Entry &entry : entries) {
        array->add(encoder(entry));
    }
    JsonObject object;
    object.set(key, array);
    return object;
}

auto encodeTeam(const Team &team) -> JsonObject::Ptr
{
    return toJson(team);
}

auto encodeRoute(const Route &route) -> JsonObject::Ptr
{
    return toJson(route);
}

auto encodeUpstream(const Upstream &upstream) -> JsonObject::Ptr
{
    return toJson(upstream, false);
}

auto classesShard(const Configuration::Data &data) -> JsonObject
{
    JsonObject shard = entriesShard("classes", data.classes, [](const ServiceClass &entry) { return toJson(entry); });
    shard.set("default_class", data.defaultClass);
    return shard;
}

/// Collects the shards of one version without duplicates.
class ShardCollector
{
public:
    explicit ShardCollector(std::vector<Shard> &shards)
        : shards_(shards)
    {
    }

    auto add(const JsonObject &object) -> std::string
    {
        Shard shard = makeShard(object);
        std::string name = shard.name;
        if (names_.insert(name).second) {
            shards_.push_back(std::move(shard));
        }
        return name;
    }

private:
    std::vector<Shard> &shards_;
    std::set<std::string> names_;
};

auto parseShard(const ShardContents &contents, const std::string &name) -> absl::StatusOr<JsonObject::Ptr>
{
    const auto found = contents.find(name);
    if (found == contents.end()) {
        return absl::InvalidArgumentError(absl::StrCat("shard ", name, " is missing"));
    }
    return Json::parseObject(found->second);
}

template<typename Entry, typename Codec>
auto readEntries(const ShardContents &contents, const std::string &shardName, const char *key, Codec codec, std::vector<Entry> &entries)
    -> absl::Status
{
    const auto shard = parseShard(contents, shardName);
    if (!shard.ok()) {
        return shard.status();
    }
    const auto array = Json::requireArray(**shard, key);
    const auto objects = Json::optionalObjects(**shard, key);
    if (!array.ok() || !objects.ok()) {
        return array.ok() ? objects.status() : array.status();
    }
    for (const JsonObject::Ptr &object : *objects) {
        auto entry = codec(*object);
        if (!entry.ok()) {
            return absl::InvalidArgumentError(absl::StrCat("shard of ", key, ": ", entry.status().message()));
        }
        entries.push_back(*std::move(entry));
    }
    return absl::OkStatus();
}

using TeamShards = std::array<std::vector<Team>, TEAM_SHARD_COUNT>;

/// Groups teams by shard; within a shard, they keep their order.
auto groupTeams(const std::vector<Team> &teams) -> TeamShards
{
    TeamShards shards;
    for (const Team &team : teams) {
        shards[FleetCodec::teamShardOf(team.name)].push_back(team);
    }
    return shards;
}

auto readTeams(const FleetRoot &root, const ShardContents &contents, const RootedVersion &previous, std::vector<Team> &teams)
    -> absl::Status
{
    const TeamShards previousTeams = previous.version ? groupTeams(previous.version->configuration.data().teams) : TeamShards();
    for (std::size_t index = 0; index < TEAM_SHARD_COUNT; ++index) {
        const std::string &name = root.teamShards[index];
        if (previous.version && name == previous.root.teamShards[index]) {
            teams.insert(teams.end(), previousTeams[index].begin(), previousTeams[index].end());
            continue;
        }
        std::vector<Team> entries;
        absl::Status status = readEntries(contents, name, "teams", teamFromJson, entries);
        if (!status.ok()) {
            return status;
        }
        const auto isOfOtherShard = [index](const Team &team) {
            return FleetCodec::teamShardOf(team.name) != index;
        };
        if (std::any_of(entries.begin(), entries.end(), isOfOtherShard)) {
            return absl::InvalidArgumentError(absl::StrCat("team shard ", index, " has a team that belongs to another shard"));
        }
        teams.insert(teams.end(), entries.begin(), entries.end());
    }
    return absl::OkStatus();
}

auto readClasses(const FleetRoot &root, const ShardContents &contents, Configuration::Data &data) -> absl::Status
{
    const auto shard = parseShard(contents, root.classShard);
    if (!shard.ok()) {
        return shard.status();
    }
    const auto defaultClass = Json::requireString(**shard, "default_class");
    if (!defaultClass.ok()) {
        return defaultClass.status();
    }
    data.defaultClass = *defaultClass;
    return readEntries(contents, root.classShard, "classes", serviceClassFromJson, data.classes);
}

auto readUpstreams(const FleetRoot &root, const ShardContents &contents, const RootedVersion &previous, Configuration::Data &data)
    -> absl::Status
{
    if (previous.version && previous.root.upstreamShard == root.upstreamShard) {
        data.upstreams = previous.version->configuration.data().upstreams;
        return absl::OkStatus();
    }
    return readEntries(contents, root.upstreamShard, "upstreams", upstreamFromJson, data.upstreams);
}

auto readMembers(const FleetRoot &root, const ShardContents &contents, const RootedVersion &previous) -> absl::StatusOr<MemberTable>
{
    if (previous.version && previous.root.memberShard == root.memberShard) {
        return previous.version->members;
    }
    const auto shard = parseShard(contents, root.memberShard);
    return shard.ok() ? MemberTable::fromJson(**shard) : shard.status();
}

auto readShardNames(const JsonObject &object, FleetRoot &root) -> absl::Status
{
    const auto teams = Json::optionalStrings(object, "teams");
    if (!teams.ok()) {
        return teams.status();
    }
    if (teams->size() != TEAM_SHARD_COUNT) {
        return absl::InvalidArgumentError(absl::StrCat("the root has ", teams->size(), " team shards instead of ", TEAM_SHARD_COUNT));
    }
    std::copy(teams->begin(), teams->end(), root.teamShards.begin());
    const std::map<const char *, std::string *> targets = { { "classes", &root.classShard },
                                                            { "routes", &root.routeShard },
                                                            { "upstreams", &root.upstreamShard },
                                                            { "members", &root.memberShard } };
    for (const auto &[key, target] : targets) {
        const auto name = Json::requireString(object, key);
        if (!name.ok()) {
            return name.status();
        }
        *target = *name;
    }
    const std::vector<std::string> names = root.shardNames();
    const bool areValid = std::all_of(names.begin(), names.end(), isShardName);
    return areValid ? absl::OkStatus() : absl::InvalidArgumentError("a shard name of the root is not a SHA-256");
}

auto readRecentCommits(const JsonObject &object, FleetRoot &root) -> absl::Status
{
    const auto entries = Json::optionalObjects(object, "recent");
    if (!entries.ok()) {
        return entries.status();
    }
    for (const JsonObject::Ptr &entry : *entries) {
        const auto id = Json::requireString(*entry, "id");
        const auto revision = Json::requireInteger(*entry, "revision");
        if (!id.ok() || !revision.ok()) {
            return absl::InvalidArgumentError("a recent commit of the root is malformed");
        }
        root.recentCommits.push_back({ *id, static_cast<std::uint64_t>(*revision) });
    }
    return absl::OkStatus();
}

} // namespace

auto FleetRoot::fromText(const std::string &text) -> absl::StatusOr<FleetRoot>
{
    const auto object = Json::parseObject(text, Json::MAXIMUM_DOCUMENT_BYTES);
    if (!object.ok()) {
        return object.status();
    }
    const auto format = Json::requireInteger(**object, "format");
    if (format.ok() && *format > FLEET_FORMAT) {
        return absl::UnimplementedError(absl::StrCat("the root has format ", *format, "; this build reads up to ", FLEET_FORMAT));
    }
    const auto revision = Json::requireInteger(**object, "revision");
    const auto configurationRevision = Json::requireInteger(**object, "configuration_revision");
    const auto shards = Json::requireObject(**object, "shards");
    for (const absl::Status &status : { format.status(), revision.status(), configurationRevision.status(), shards.status() }) {
        if (!status.ok()) {
            return status;
        }
    }
    if (*revision < 1 || *revision > MAXIMUM_REVISION || *configurationRevision < 0 || *configurationRevision > *revision) {
        return absl::InvalidArgumentError("the revisions of the root are out of range");
    }
    FleetRoot root;
    root.revision = static_cast<std::uint64_t>(*revision);
    root.configurationRevision = static_cast<std::uint64_t>(*configurationRevision);
    absl::Status status = readShardNames(**shards, root);
    status.Update(readRecentCommits(**object, root));
    return status.ok() ? absl::StatusOr<FleetRoot>(std::move(root)) : status;
}

auto FleetRoot::toText() const -> std::string
{
    JsonObject::Ptr shards = new JsonObject;
    shards->set("teams", Json::fromStrings({ teamShards.begin(), teamShards.end() }));
    shards->set("classes", classShard);
    shards->set("routes", routeShard);
    shards->set("upstreams", upstreamShard);
    shards->set("members", memberShard);
    JsonArray::Ptr recent = new JsonArray;
    for (const RecentCommit &commit : recentCommits) {
        JsonObject::Ptr entry = new JsonObject;
        entry->set("id", commit.id);
        entry->set("revision", commit.revision);
        recent->add(entry);
    }
    JsonObject object;
    object.set("format", FLEET_FORMAT);
    object.set("revision", revision);
    object.set("configuration_revision", configurationRevision);
    object.set("shards", shards);
    object.set("recent", recent);
    return Json::toText(object);
}

auto FleetRoot::shardNames() const -> std::vector<std::string>
{
    std::set<std::string> names(teamShards.begin(), teamShards.end());
    names.insert({ classShard, routeShard, upstreamShard, memberShard });
    return { names.begin(), names.end() };
}

auto FleetCodec::teamShardOf(const std::string &team) -> std::size_t
{
    return stableHash(team) % TEAM_SHARD_COUNT;
}

auto FleetCodec::sorted(Configuration::Data data) -> Configuration::Data
{
    const auto byName = [](const auto &left, const auto &right) {
        return left.name < right.name;
    };
    std::sort(data.teams.begin(), data.teams.end(), byName);
    std::sort(data.classes.begin(), data.classes.end(), byName);
    std::sort(data.upstreams.begin(), data.upstreams.end(), byName);
    std::sort(data.routes.begin(), data.routes.end(), [](const Route &left, const Route &right) { return left.prefix < right.prefix; });
    for (Team &team : data.teams) {
        std::sort(team.keys.begin(), team.keys.end(), [](const ApiKey &left, const ApiKey &right) { return left.id < right.id; });
    }
    return data;
}

auto FleetCodec::encode(const FleetVersion &version, const RootedVersion &previous) -> EncodedFleet
{
    const Configuration::Data data = sorted(version.configuration.data());
    const Configuration::Data previousData = previous.version ? sorted(previous.version->configuration.data()) : Configuration::Data();
    const TeamShards teams = groupTeams(data.teams);
    const TeamShards previousTeams = groupTeams(previousData.teams);
    const bool hasPrevious = previous.version != nullptr;
    EncodedFleet encoded;
    FleetRoot &root = encoded.root;
    root.revision = version.revision;
    root.configurationRevision = version.configurationRevision;
    ShardCollector collector(encoded.shards);
    for (std::size_t index = 0; index < TEAM_SHARD_COUNT; ++index) {
        const bool isUnchanged = hasPrevious && teams[index] == previousTeams[index];
        root.teamShards[index]
            = isUnchanged ? previous.root.teamShards[index] : collector.add(entriesShard("teams", teams[index], encodeTeam));
    }
    const bool areClassesUnchanged = hasPrevious && data.classes == previousData.classes && data.defaultClass == previousData.defaultClass;
    const bool areRoutesUnchanged = hasPrevious && data.routes == previousData.routes;
    const bool areUpstreamsUnchanged = hasPrevious && data.upstreams == previousData.upstreams;
    const bool areMembersUnchanged = hasPrevious && version.members == previous.version->members;
    root.classShard = areClassesUnchanged ? previous.root.classShard : collector.add(classesShard(data));
    root.routeShard = areRoutesUnchanged ? previous.root.routeShard : collector.add(entriesShard("routes", data.routes, encodeRoute));
    root.upstreamShard
        = areUpstreamsUnchanged ? previous.root.upstreamShard : collector.add(entriesShard("upstreams", data.upstreams, encodeUpstream));
    root.memberShard = areMembersUnchanged ? previous.root.memberShard : collector.add(*version.members.toJson());
    return encoded;
}

auto FleetCodec::missingShards(const FleetRoot &root, const ShardContents &contents) -> std::vector<std::string>
{
    std::vector<std::string> names = root.shardNames();
    std::erase_if(names, [&contents](const std::string &name) { return contents.contains(name); });
    return names;
}

auto FleetCodec::isContentOf(const std::string &name, const std::string &content) -> bool
{
    const auto canonical = canonicalText(content);
    return canonical.ok() && sha256Of(*canonical) == name;
}

auto FleetCodec::assemble(const FleetRoot &root, const ShardContents &contents, const RootedVersion &previous)
    -> absl::StatusOr<FleetVersion>
{
    Configuration::Data data;
    absl::Status status = readTeams(root, contents, previous, data.teams);
    status.Update(readClasses(root, contents, data));
    status.Update(readEntries(contents, root.routeShard, "routes", routeFromJson, data.routes));
    status.Update(readUpstreams(root, contents, previous, data));
    auto members = readMembers(root, contents, previous);
    status.Update(members.status());
    if (!status.ok()) {
        return status;
    }
    auto configuration = Configuration::create(sorted(std::move(data)));
    if (!configuration.ok()) {
        return configuration.status();
    }
    return FleetVersion { root.revision, root.configurationRevision, *std::move(configuration), *std::move(members) };
}

} // namespace poplardock
