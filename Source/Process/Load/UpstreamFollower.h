#pragma once

#include "Process/Load/UpstreamDirectory.h"
#include "Process/Store/KindWatch.h"

#include <map>
#include <string>

namespace poplardock {

/// Follows the upstreams' entries in the store, or as another daemon knows them, and keeps the directory of them.
/// Thread safety: the loop's thread only.
class UpstreamFollower
{
public:
    /// Path of the daemons' own call that gives out what has changed after a revision; the revision follows.
    static constexpr const char *PEER_PATH = "/upstreams/";

    /// "leaveBound": time after which an upstream whose entry is gone must get nothing more. All other arguments must
    /// outlive the follower.
    UpstreamFollower(EventLoop &loop,
                     ObjectStore &store,
                     const WireDialect &dialect,
                     UpstreamDirectory &directory,
                     HttpClient &peers,
                     Milliseconds leaveBound);

    auto start() -> void;
    /// Whether the entries have been listed once.
    [[nodiscard]] auto hasSynced() const -> bool;
    /// Revision of the last change of an entry that was seen.
    [[nodiscard]] auto revision() const -> std::uint64_t;
    /// Revision of the store up to which all changes are known.
    [[nodiscard]] auto syncedRevision() const -> std::uint64_t;
    [[nodiscard]] auto watch() -> KindWatch &;
    /// The store did not answer until now: entries may have lapsed that their upstreams are about to renew.
    auto recordStoreLost(BootTime now) -> void;

    /// Takes what the daemon at that address knows beyond this one.
    auto fetchFromPeer(const std::string &address) -> void;
    /// The answer to another daemon's fetchFromPeer().
    [[nodiscard]] auto responseForPeer(const std::string &target) const -> HttpResult;

private:
    auto handleList(const StoreList &list) -> void;
    auto handleEvents(const StoreEvents &events) -> void;
    auto put(const StoredObject &object) -> void;
    auto handleRemoval(const std::string &name, std::uint64_t revision) -> void;
    auto applyFeed(const std::string &feed) -> absl::Status;
    [[nodiscard]] auto suspectUsableUntil(BootTime now) const -> BootTime;

    const WireDialect &dialect_;
    UpstreamDirectory &directory_;
    HttpClient &peers_;
    const Milliseconds removalBound_;
    /// The entries as they were last seen, and the revisions at which others were missed, for daemons that ask.
    std::map<std::string, StoredObject> entries_;
    std::map<std::string, std::uint64_t> removals_;
    std::uint64_t revision_ = 0;
    std::uint64_t syncedRevision_ = 0;
    bool hasSynced_ = false;
    BootTime storeLostAt_;
    KindWatch watch_;
};

} // namespace poplardock
