#include "Version/FleetCodec.h"

#include <Poco/SHA2Engine.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>

namespace poplardock {

namespace {

constexpr std::size_t SHA256_HEX_LENGTH = 64;

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
    const auto object = Json::parseObject(text);
    return object.ok() ? absl::StatusOr<std::string>(Json::toText(**object)) : object.status();
}

auto makeShard(const JsonObject &object) -> Shard
{
    // Text that was written and read once has the form that later readers get from the store.
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

/// Collects the shards of one version, each content once.
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

auto appendArray(const JsonObject &object, const char *key, JsonArray &target) -> absl::Status
{
    const auto entries = Json::requireArray(object, key);
    if (!entries.ok()) {
        return entries.status();
    }
    const JsonArray &array = **entries;
    for (std::size_t index = 0; index < array.size(); ++index) {
        target.add(array.get(static_cast<unsigned int>(index)));
    }
    return absl::OkStatus();
}

auto readTeams(const FleetRoot &root, const ShardContents &contents) -> absl::StatusOr<JsonArray::Ptr>
{
    JsonArray::Ptr teams = new JsonArray;
    for (const std::string &name : root.teamShards) {
        const auto shard = parseShard(contents, name);
        const absl::Status status = shard.ok() ? appendArray(**shard, "teams", *teams) : shard.status();
        if (!status.ok()) {
            return status;
        }
    }
    return teams;
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
    const bool areNames = std::all_of(names.begin(), names.end(), isShardName);
    return areNames ? absl::OkStatus() : absl::InvalidArgumentError("a shard name of the root is not a SHA-256");
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
    const auto object = Json::parseObject(text);
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
    if (*revision < 1 || *configurationRevision < 0 || *configurationRevision > *revision) {
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

auto FleetCodec::encode(const FleetVersion &version) -> EncodedFleet
{
    const Configuration::Data data = sorted(version.configuration.data());
    std::array<std::vector<Team>, TEAM_SHARD_COUNT> teams;
    for (const Team &team : data.teams) {
        teams[teamShardOf(team.name)].push_back(team);
    }
    EncodedFleet encoded;
    encoded.root.revision = version.revision;
    encoded.root.configurationRevision = version.configurationRevision;
    ShardCollector collector(encoded.shards);
    for (std::size_t index = 0; index < TEAM_SHARD_COUNT; ++index) {
        encoded.root.teamShards[index] = collector.add(entriesShard("teams", teams[index], [](const Team &team) { return toJson(team); }));
    }
    JsonObject classes = entriesShard("classes", data.classes, [](const ServiceClass &entry) { return toJson(entry); });
    classes.set("default_class", data.defaultClass);
    encoded.root.classShard = collector.add(classes);
    encoded.root.routeShard = collector.add(entriesShard("routes", data.routes, [](const Route &route) { return toJson(route); }));
    encoded.root.upstreamShard
        = collector.add(entriesShard("upstreams", data.upstreams, [](const Upstream &entry) { return toJson(entry, false); }));
    encoded.root.memberShard = collector.add(*version.members.toJson());
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

auto FleetCodec::assemble(const FleetRoot &root, const ShardContents &contents) -> absl::StatusOr<FleetVersion>
{
    const auto teams = readTeams(root, contents);
    const auto classes = parseShard(contents, root.classShard);
    const auto routes = parseShard(contents, root.routeShard);
    const auto upstreams = parseShard(contents, root.upstreamShard);
    const auto memberShard = parseShard(contents, root.memberShard);
    for (const absl::Status &status : { teams.status(), classes.status(), routes.status(), upstreams.status(), memberShard.status() }) {
        if (!status.ok()) {
            return status;
        }
    }
    JsonObject document;
    document.set("teams", *teams);
    document.set("classes", (*classes)->get("classes"));
    document.set("default_class", (*classes)->get("default_class"));
    document.set("routes", (*routes)->get("routes"));
    document.set("upstreams", (*upstreams)->get("upstreams"));
    auto configuration = Configuration::fromJson(document);
    auto members = MemberTable::fromJson(**memberShard);
    if (!configuration.ok() || !members.ok()) {
        return configuration.ok() ? members.status() : configuration.status();
    }
    // Teams come in the order of their shards.
    auto ordered = Configuration::create(sorted(configuration->data()));
    if (!ordered.ok()) {
        return ordered.status();
    }
    return FleetVersion { root.revision, root.configurationRevision, *std::move(ordered), *std::move(members) };
}

} // namespace poplardock
