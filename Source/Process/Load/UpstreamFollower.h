#pragma once

#include "Process/Load/UpstreamDirectory.h"
#include "Process/Store/KindWatch.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace poplardock {

/// Keeps the directory of upstreams in step with their entries in the store, which it reads by lists and watches or
/// fetches from a peer that knows newer ones.
/// Thread safety: the loop's thread only.
class UpstreamFollower
{
public:
    /// Path of the internal call between daemons that returns the changes after a revision: "AFTER/FEED_FORM/FINGERPRINT" is appended,
    /// by daemons of earlier versions "AFTER" alone.
    static constexpr const char *PEER_PATH = "/upstreams/";
    static constexpr const char *FEED_FORM = "2";

    /// "removalBound": time after which an upstream whose entry has disappeared must get no more requests. All other
    /// arguments must outlive the follower.
    UpstreamFollower(EventLoop &loop,
                     ObjectStore &store,
                     const WireDialect &dialect,
                     UpstreamDirectory &directory,
                     HttpClient &peers,
                     Milliseconds removalBound);

    auto start() -> void;
    /// Whether the entries have been listed, or fetched from a peer, at least once.
    [[nodiscard]] auto hasSynced() const -> bool;
    /// Highest revision at which an entry is known to have changed.
    [[nodiscard]] auto revision() const -> std::uint64_t;
    /// Revision of the store up to which all changes of entries are known.
    [[nodiscard]] auto syncedRevision() const -> std::uint64_t;
    [[nodiscard]] auto watch() -> KindWatch &;
    /// To be called while the store does not respond: entries may expire that their upstreams renew once it is back, if the
    /// outage is long enough for that.
    auto recordStoreLost(BootTime lostSince, BootTime now) -> void;

    /// Fetches and applies the changes that the peer at "IP:port" knows beyond this daemon. Lists the store when the entries differ from
    /// the peer's afterwards although both go up to the same revision.
    auto fetchFromPeer(const std::string &address) -> void;
    /// The response to another daemon's fetchFromPeer(): all changes after the revision in the target or, where this daemon may not know
    /// all of them, the names of all entries. It knows them all, too, if the fingerprint in the target is that of its own entries as of the
    /// revision: then none of them was changed or removed since. Refused while this daemon has synced nothing, and to a daemon of an
    /// earlier version that would need all entries.
    [[nodiscard]] auto responseForPeer(const std::string &target) const -> HttpResult;

private:
    auto handleList(const StoreList &list) -> void;
    auto handleEvents(const StoreEvents &events) -> void;
    auto put(const StoredObject &object) -> void;
    /// Handles an entry that was not present any more at that revision of the store.
    auto handleRemoval(const std::string &name, std::uint64_t revision) -> void;
    /// Errors: InvalidArgument for a feed with malformed lines. The others have been applied, but this daemon is not synced by them.
    auto applyFeed(const std::string &feed) -> absl::Status;
    /// Applies a line of a feed and returns the name in it; unset for a malformed one.
    auto applyFeedLine(const std::string &line) -> std::optional<std::string>;
    /// Handles the entries that a list or a whole feed of that revision does not have.
    auto removeAbsent(const std::set<std::string> &present, std::uint64_t revision) -> void;
    /// Hash of the names and versions of the entries that had changed last at the revision or before.
    [[nodiscard]] auto fingerprint(std::uint64_t revision) const -> std::uint64_t;
    /// Time until which an upstream that becomes suspect now may be used.
    [[nodiscard]] auto suspectUsableUntil(BootTime now) const -> BootTime;

    const WireDialect &dialect_;
    UpstreamDirectory &directory_;
    HttpClient &peers_;
    const Milliseconds removalBound_;
    /// The present entries, and the revisions at which others were removed, for responses to peers.
    std::map<std::string, StoredObject> entries_;
    std::map<std::string, std::uint64_t> removals_;
    std::uint64_t revision_ = 0;
    std::uint64_t syncedRevision_ = 0;
    /// All entries that were removed after this revision are in removals_. Before it, a list shows what is there, not what was.
    std::uint64_t historyFrom_ = 0;
    bool hasSynced_ = false;
    /// When the store was last listed because the entries differed from a peer's.
    BootTime divergedAt_;
    /// End of the last outage in which entries may have expired, as far as known.
    BootTime outageEnd_;
    KindWatch watch_;
};

} // namespace poplardock
