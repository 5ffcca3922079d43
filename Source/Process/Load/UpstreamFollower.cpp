#include "Process/Load/UpstreamFollower.h"

#include "Process/EventLog.h"
#include "Process/Peers/PeerFetch.h"
#include "Version/MemberTable.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

#include <algorithm>
#include <utility>

namespace poplardock {

namespace {

/// Upstreams register one after the other at start-up; changes within this pause are returned by one watch. The pause
/// counts towards the 2 s after which a draining upstream must get no more requests.
constexpr Milliseconds WATCH_PAUSE { 500 };
constexpr Milliseconds INITIAL_WATCH_PAUSE { 1200 };
/// Entries that expired during an outage of the store are registered again within two seconds of its return.
constexpr Milliseconds REREGISTRATION_TIME { 2200 };
/// Entries expire after several seconds without a heartbeat, so a shorter outage, or a watch that is cut off, takes none.
constexpr Milliseconds OUTAGE_TIME { 1000 };
/// Part of the removal bound that may pass before this daemon hears of the removal: the pause and the retry of the store
/// watcher's watch, the period of the summaries, and the time-out of an earlier fetch.
constexpr Milliseconds REMOVAL_NEWS_TIME { 1400 };
/// Removals that are kept for peers. A peer that lags behind by more gets all entries.
constexpr std::size_t MAX_REMOVALS = 1000;
/// Time between two lists of the store because of entries that differ from a peer's.
constexpr Milliseconds DIVERGENCE_LIST_INTERVAL { 5000 };
/// First words of a feed's lines: the revisions, an entry that is present, an entry that was removed. The first line is
/// "revision KNOWN SYNCED" in its first form, and "revision2 KNOWN SYNCED AFTER FINGERPRINT" since: the feed holds all changes after
/// AFTER, which is 0 for a feed that names all entries. Of those that the asker has, it says only that they are the same.
constexpr const char *FIRST_REVISION_TAG = "revision";
constexpr const char *REVISION_TAG = "revision2";
constexpr const char *PRESENT_TAG = "present";
constexpr const char *REMOVED_TAG = "missed";
constexpr const char *UNCHANGED_TAG = "same";

/// Whether a name can stand in a line of a feed.
auto isFeedName(const std::string &name) -> bool
{
    return !name.empty()
           && std::all_of(name.begin(), name.end(), [](char each) { return absl::ascii_isgraph(static_cast<unsigned char>(each)); });
}

} // namespace

UpstreamFollower::UpstreamFollower(EventLoop &loop,
                                   ObjectStore &store,
                                   const WireDialect &dialect,
                                   UpstreamDirectory &directory,
                                   HttpClient &peers,
                                   Milliseconds removalBound)
    : dialect_(dialect)
    , directory_(directory)
    , peers_(peers)
    , removalBound_(removalBound)
    , watch_(loop,
             store,
             { dialect.upstreamKind, WATCH_PAUSE, INITIAL_WATCH_PAUSE },
             { [this](const StoreList &list) { handleList(list); },
               [this](const StoreEvents &events) {
                   handleEvents(events);
               } })
{
}

auto UpstreamFollower::start() -> void
{
    watch_.start();
}

auto UpstreamFollower::hasSynced() const -> bool
{
    return hasSynced_;
}

auto UpstreamFollower::revision() const -> std::uint64_t
{
    return revision_;
}

auto UpstreamFollower::syncedRevision() const -> std::uint64_t
{
    return syncedRevision_;
}

auto UpstreamFollower::watch() -> KindWatch &
{
    return watch_;
}

auto UpstreamFollower::recordStoreLost(BootTime lostSince, BootTime now) -> void
{
    if (now - lostSince >= OUTAGE_TIME) {
        outageEnd_ = now;
    }
}

auto UpstreamFollower::suspectUsableUntil(BootTime now) const -> BootTime
{
    const Milliseconds suspectTime = std::max(Milliseconds(0), removalBound_ - REMOVAL_NEWS_TIME);
    return std::max(now + suspectTime, outageEnd_ + REREGISTRATION_TIME);
}

auto UpstreamFollower::handleList(const StoreList &list) -> void
{
    std::set<std::string> listed;
    for (const StoredObject &object : list.objects) {
        listed.insert(object.name);
        put(object);
    }
    removeAbsent(listed, list.revision);
    // Entries that came and went since the last list or watch are known to peers, perhaps, but not here.
    historyFrom_ = std::max(historyFrom_, list.revision);
    if (watch_.isResuming()) {
        // Those peers have to compare.
        revision_ = std::max(revision_, list.revision);
    }
    hasSynced_ = true;
    syncedRevision_ = std::max(syncedRevision_, list.revision);
    EventLog::write("upstreams_listed", { { "count", static_cast<std::uint64_t>(list.objects.size()) }, { "revision", list.revision } });
}

auto UpstreamFollower::removeAbsent(const std::set<std::string> &present, std::uint64_t revision) -> void
{
    std::vector<std::string> removed;
    for (const auto &[name, object] : entries_) {
        if (!present.contains(name) && object.version <= revision) {
            removed.push_back(name);
        }
    }
    for (const std::string &name : removed) {
        revision_ = std::max(revision_, revision);
        handleRemoval(name, revision);
    }
}

auto UpstreamFollower::handleEvents(const StoreEvents &events) -> void
{
    for (const StoreEvent &event : events.events) {
        if (event.isRemoved) {
            revision_ = std::max(revision_, event.object.version);
            handleRemoval(event.object.name, event.object.version);
        } else {
            put(event.object);
        }
    }
    syncedRevision_ = std::max(syncedRevision_, events.revision);
}

auto UpstreamFollower::handleRemoval(const std::string &name, std::uint64_t revision) -> void
{
    const auto entry = entries_.find(name);
    if (entry != entries_.end() && entry->second.version > revision) {
        return;
    }
    entries_.erase(name);
    // A peer that lags behind may supply an older removal.
    std::uint64_t &removal = removals_[name];
    removal = std::max(removal, revision);
    if (removals_.size() > MAX_REMOVALS) {
        const auto oldest
            = std::min_element(removals_.begin(), removals_.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
        historyFrom_ = std::max(historyFrom_, oldest->second);
        removals_.erase(oldest);
    }
    EventLog::write("upstream_missed", { { "upstream", name }, { "revision", revision } });
    directory_.markSuspect(name, suspectUsableUntil(BootClock::now()));
}

auto UpstreamFollower::put(const StoredObject &object) -> void
{
    // A peer, or a list that was read before a watch returned, may supply an older state.
    const auto entry = entries_.find(object.name);
    const auto removal = removals_.find(object.name);
    const bool isStale = (entry != entries_.end() && entry->second.version > object.version)
                         || (removal != removals_.end() && removal->second >= object.version);
    if (isStale) {
        return;
    }
    revision_ = std::max(revision_, object.version);
    if (!isFeedName(object.name)) {
        EventLog::write("upstream_entry_unusable", { { "revision", object.version }, { "reason", "the name is no word" } });
        return;
    }
    const bool isNewVersion = entry == entries_.end() || entry->second.version != object.version;
    entries_[object.name] = object;
    removals_.erase(object.name);
    auto upstream = dialect_.decodeUpstream(object);
    if (!upstream.ok()) {
        if (isNewVersion) {
            EventLog::write("upstream_entry_unusable", { { "entry", object.name }, { "reason", upstream.status().message() } });
        }
        directory_.remove(object.name);
        return;
    }
    const auto coldRemaining = std::exchange(upstream->coldRemaining, std::nullopt);
    if (isNewVersion) {
        directory_.recordColdEntry(*upstream, coldRemaining, !hasSynced_, BootClock::now());
    }
    const Upstream *known = directory_.find(object.name);
    if (known == nullptr || *known != *upstream) {
        EventLog::write("upstream_changed",
                        { { "upstream", upstream->name },
                          { "group", upstream->group },
                          { "address", upstream->address },
                          { "leaving", upstream->isDraining } });
        if (upstream->isDraining && (known == nullptr || !known->isDraining)) {
            EventLog::write("upstream_leaving", { { "upstream", upstream->name }, { "by", "store" }, { "revision", object.version } });
        }
    }
    directory_.put(*upstream);
}

auto UpstreamFollower::fingerprint(std::uint64_t revision) const -> std::uint64_t
{
    std::uint64_t sum = 0;
    for (const auto &[name, object] : entries_) {
        sum += object.version > revision ? 0 : stableHash(absl::StrCat(name, " ", object.version));
    }
    return sum;
}

auto UpstreamFollower::responseForPeer(const std::string &target) const -> HttpResult
{
    // "AFTER" in the first form, "AFTER/2/FINGERPRINT" since.
    const std::vector<std::string> words = absl::StrSplit(absl::StripPrefix(target, PEER_PATH), '/');
    const bool isFirstForm = words.size() == 1;
    std::uint64_t after = 0;
    std::uint64_t peerFingerprint = 0;
    if (!absl::SimpleAtoi(words[0], &after)
        || (!isFirstForm && (words.size() != 3 || words[1] != FEED_FORM || !absl::SimpleAtoi(words[2], &peerFingerprint)))) {
        return { HttpStatus::BAD_REQUEST, {}, {} };
    }
    const bool isWhole = after < historyFrom_ && (isFirstForm || fingerprint(after) != peerFingerprint);
    // A daemon of an earlier version takes any answer for all changes after its revision.
    if (!hasSynced_ || (isFirstForm && isWhole)) {
        return { HttpStatus::CONFLICT, {}, {} };
    }
    std::string feed
        = isFirstForm ? absl::StrCat(FIRST_REVISION_TAG, " ", revision_, " ", syncedRevision_)
                      : absl::StrCat(
                          REVISION_TAG, " ", revision_, " ", syncedRevision_, " ", isWhole ? 0 : after, " ", fingerprint(syncedRevision_));
    for (const auto &[name, object] : entries_) {
        if (object.version > after) {
            absl::StrAppend(&feed, "\n", PRESENT_TAG, " ", name, " ", object.version, " ", object.spec);
        } else if (isWhole) {
            absl::StrAppend(&feed, "\n", UNCHANGED_TAG, " ", name, " ", object.version);
        }
    }
    for (const auto &[name, removedAt] : removals_) {
        if (removedAt > after) {
            absl::StrAppend(&feed, "\n", REMOVED_TAG, " ", name, " ", removedAt);
        }
    }
    return { HttpStatus::OK, {}, feed };
}

auto UpstreamFollower::fetchFromPeer(const std::string &address) -> void
{
    const std::string path = absl::StrCat(PEER_PATH, syncedRevision_, "/", FEED_FORM, "/", fingerprint(syncedRevision_));
    fetchFrom(peers_, address, path, [this, address](const absl::StatusOr<std::string> &feed) {
        const absl::Status status = feed.ok() ? applyFeed(*feed) : feed.status();
        EventLog::write("upstreams_fetched", { { "peer", address }, { "reason", status.message() }, { "revision", revision_ } });
    });
}

auto UpstreamFollower::applyFeedLine(const std::string &line) -> std::optional<std::string>
{
    constexpr std::size_t FIELDS = 4;
    const std::vector<std::string> words = absl::StrSplit(line, absl::MaxSplits(' ', FIELDS - 1));
    StoredObject object;
    if (words.size() < FIELDS - 1 || !absl::SimpleAtoi(words[2], &object.version)) {
        return std::nullopt;
    }
    object.kind = dialect_.upstreamKind;
    object.name = words[1];
    if (words[0] == PRESENT_TAG && words.size() == FIELDS) {
        object.spec = words[3];
        put(object);
        return object.name;
    }
    if (words.size() == FIELDS) {
        return std::nullopt;
    }
    if (words[0] == UNCHANGED_TAG) {
        const auto known = entries_.find(object.name);
        return known != entries_.end() && known->second.version >= object.version ? std::optional(object.name) : std::nullopt;
    }
    if (words[0] != REMOVED_TAG) {
        return std::nullopt;
    }
    handleRemoval(object.name, object.version);
    return object.name;
}

auto UpstreamFollower::applyFeed(const std::string &feed) -> absl::Status
{
    const std::vector<std::string> lines = absl::StrSplit(feed, '\n');
    constexpr std::size_t HEAD_FIELDS = 5;
    std::uint64_t revision = 0;
    std::uint64_t syncedRevision = 0;
    std::uint64_t since = 0;
    std::uint64_t peerFingerprint = 0;
    const std::vector<std::string> head = absl::StrSplit(lines.front(), ' ');
    if (head.size() != HEAD_FIELDS || head[0] != REVISION_TAG || !absl::SimpleAtoi(head[1], &revision)
        || !absl::SimpleAtoi(head[2], &syncedRevision) || !absl::SimpleAtoi(head[3], &since)
        || !absl::SimpleAtoi(head[4], &peerFingerprint)) {
        return absl::InvalidArgumentError("the feed has no revision");
    }
    if (since > syncedRevision_) {
        return absl::InvalidArgumentError("the feed begins after the revision that was asked for");
    }
    std::set<std::string> present;
    std::size_t malformed = 0;
    for (std::size_t index = 1; index < lines.size(); ++index) {
        const auto name = applyFeedLine(lines[index]);
        if (!name) {
            ++malformed;
        } else if (!absl::StartsWith(lines[index], REMOVED_TAG)) {
            present.insert(*name);
        }
    }
    if (malformed > 0) {
        return absl::InvalidArgumentError(absl::StrCat(malformed, " lines of the feed are malformed"));
    }
    if (since == 0) {
        removeAbsent(present, syncedRevision);
        historyFrom_ = std::max(historyFrom_, syncedRevision);
    }
    hasSynced_ = true;
    revision_ = std::max(revision_, revision);
    syncedRevision_ = std::max(syncedRevision_, syncedRevision);
    const BootTime now = BootClock::now();
    if (syncedRevision_ == syncedRevision && fingerprint(syncedRevision) != peerFingerprint
        && now - divergedAt_ > DIVERGENCE_LIST_INTERVAL) {
        divergedAt_ = now;
        EventLog::write("upstreams_diverged", { { "revision", syncedRevision } });
        watch_.refresh();
    }
    return absl::OkStatus();
}

} // namespace poplardock
