#include "Process/VersionLoader.h"

#include "Process/Log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace poplardock {

namespace {

constexpr Milliseconds PEER_TIMEOUT { 1000 };
/// Peers that are queried for one shard before the load fails.
constexpr std::size_t MAX_PEERS_PER_SHARD = 3;

} // namespace

VersionLoader::VersionLoader(StoreClient &store, FleetState &state, PeerClients &peers)
    : store_(store)
    , state_(state)
    , peers_(peers)
{
}

auto VersionLoader::readShardFromPeers(const std::string &name, const std::string &preferredPeer) -> absl::StatusOr<std::string>
{
    std::vector<std::string> addresses;
    if (!preferredPeer.empty()) {
        addresses.push_back(preferredPeer);
    }
    const FleetVersionPointer version = state_.current();
    for (const Member &member : version->members.members()) {
        if (member.name != state_.memberName() && member.address != preferredPeer) {
            addresses.push_back(member.address);
        }
    }
    addresses.resize(std::min(addresses.size(), MAX_PEERS_PER_SHARD));
    for (const std::string &address : addresses) {
        const CallResult result = peers_.clientFor(address)->call({ "GET", absl::StrCat("/peers/shards/", name), {}, {}, PEER_TIMEOUT });
        const auto *response = std::get_if<HttpResponse>(&result);
        if (response != nullptr && response->status == 200 && FleetCodec::isContentOf(name, response->body)) {
            return response->body;
        }
    }
    return absl::UnavailableError(absl::StrCat("no peer serves shard ", name));
}

auto VersionLoader::readShard(const std::string &name, const std::string &preferredPeer) -> absl::StatusOr<std::string>
{
    const auto stored = store_.get(SHARD_KIND, name);
    if (stored.ok() && FleetCodec::isContentOf(name, stored->spec)) {
        return stored->spec;
    }
    auto fromPeer = readShardFromPeers(name, preferredPeer);
    if (fromPeer.ok()) {
        return fromPeer;
    }
    if (stored.ok()) {
        return absl::DataLossError(absl::StrCat("the content of shard ", name, " does not match its name"));
    }
    if (absl::IsNotFound(stored.status())) {
        return absl::DataLossError(absl::StrCat("shard ", name, " does not exist"));
    }
    return absl::UnavailableError(absl::StrCat("shard ", name, " cannot be read: ", stored.status().message()));
}

auto VersionLoader::load(const FleetRoot &root, const std::string &preferredPeer) -> absl::StatusOr<FleetVersionPointer>
{
    ShardContents contents;
    RootedVersion previous;
    {
        const std::lock_guard lock(mutex_);
        contents = shards_;
        previous = inForce_;
    }
    if (previous.version && previous.root == root) {
        return previous.version;
    }
    for (const std::string &name : FleetCodec::missingShards(root, contents)) {
        auto content = readShard(name, preferredPeer);
        if (!content.ok()) {
            return content.status();
        }
        {
            // Kept even if a later shard cannot be read, so that a repeated load reads only those still missing.
            const std::lock_guard lock(mutex_);
            shards_[name] = *content;
        }
        contents[name] = *std::move(content);
    }
    auto version = FleetCodec::assemble(root, contents, previous);
    if (!version.ok()) {
        return version.status();
    }
    return std::make_shared<const FleetVersion>(*std::move(version));
}

auto VersionLoader::loadMembers(const FleetRoot &root) -> absl::StatusOr<MemberTable>
{
    const auto heldContent = findShard(root.memberShard);
    const auto content = heldContent ? absl::StatusOr<std::string>(*heldContent) : readShard(root.memberShard, {});
    if (!content.ok()) {
        return content.status();
    }
    const auto object = Json::parseObject(*content, Json::MAXIMUM_DOCUMENT_BYTES);
    return object.ok() ? MemberTable::fromJson(**object) : object.status();
}

auto VersionLoader::install(const FleetRoot &root, const FleetVersionPointer &version, TimePoint confirmedAt) -> bool
{
    if (!state_.install(version, confirmedAt)) {
        Log::warning(Part::Version,
                     absl::StrCat("Refused revision ", root.revision, ": revision ", state_.current()->revision, " is in force."));
        return false;
    }
    const std::lock_guard lock(mutex_);
    if (root.revision <= inForce_.root.revision) {
        return true;
    }
    inForce_ = { root, version };
    const std::vector<std::string> names = root.shardNames();
    std::erase_if(shards_, [&names](const auto &entry) { return !std::binary_search(names.begin(), names.end(), entry.first); });
    Log::info(Part::Version, absl::StrCat("Revision ", root.revision, " is in force."));
    return true;
}

auto VersionLoader::loadAndInstall(const FleetRoot &root, TimePoint confirmedAt, const std::string &preferredPeer) -> absl::Status
{
    const auto version = load(root, preferredPeer);
    if (!version.ok()) {
        return version.status();
    }
    return install(root, *version, confirmedAt) ? absl::OkStatus() : absl::FailedPreconditionError("a higher revision is in force");
}

auto VersionLoader::markRefused(const FleetRoot &root) -> void
{
    const std::lock_guard lock(mutex_);
    refusedRoot_ = root;
}

auto VersionLoader::isRefused(const FleetRoot &root) const -> bool
{
    const std::lock_guard lock(mutex_);
    return refusedRoot_ == root;
}

auto VersionLoader::addShards(const std::vector<Shard> &shards) -> void
{
    const std::lock_guard lock(mutex_);
    for (const Shard &shard : shards) {
        shards_[shard.name] = shard.content;
    }
}

auto VersionLoader::findShard(const std::string &name) const -> std::optional<std::string>
{
    const std::lock_guard lock(mutex_);
    const auto found = shards_.find(name);
    return found == shards_.end() ? std::nullopt : std::optional(found->second);
}

auto VersionLoader::inForce() const -> RootedVersion
{
    const std::lock_guard lock(mutex_);
    return inForce_;
}

} // namespace poplardock
