#include "Process/Load/EvacuationFollower.h"

#include "Process/EventLog.h"
#include "Process/Peers/PeerFetch.h"

namespace poplardock {

namespace {

/// Evacuations change a few times a day; several data centres that are named at once need not share one watch.
constexpr Milliseconds NO_DELAY { 0 };
constexpr const char *FROM_STORE = "store";

} // namespace

EvacuationFollower::EvacuationFollower(
    EventLoop &loop, ObjectStore &store, const WireDialect &dialect, UpstreamDirectory &directory, HttpClient &peers, Handlers handlers)
    : directory_(directory)
    , peers_(peers)
    , handlers_(std::move(handlers))
    , watch_(loop,
             store,
             { dialect.evacuationKind, NO_DELAY, NO_DELAY },
             { [this](const StoreList &list) {
                  handle(set_.applyList(list, BootClock::now()), FROM_STORE);
                  hasSynced_ = true;
              },
               [this](const StoreEvents &events) {
                   handle(set_.applyEvents(events, BootClock::now()), FROM_STORE);
               } })
{
}

auto EvacuationFollower::start() -> void
{
    watch_.start();
}

auto EvacuationFollower::hasSynced() const -> bool
{
    return hasSynced_;
}

auto EvacuationFollower::set() const -> const EvacuationSet &
{
    return set_;
}

auto EvacuationFollower::watch() -> KindWatch &
{
    return watch_;
}

auto EvacuationFollower::handle(const std::vector<EvacuationChange> &changes, const std::string &source) -> void
{
    if (changes.empty()) {
        return;
    }
    directory_.setEvacuated(set_.names());
    const BootTime now = BootClock::now();
    const BootTime confirmedAt = watch_.confirmedAt();
    for (const EvacuationChange &change : changes) {
        // News of the store may be as old as the last confirmation that there was none; the object does not say when it was written.
        const double unconfirmedMs = confirmedAt == BootTime() ? 0.0 : millisecondsBetween(confirmedAt, now);
        EventLog::write(change.hasBegun ? "evacuation_begins" : "evacuation_ends",
                        { { "data_centre", change.dataCentre },
                          { "revision", change.revision },
                          { "by", source },
                          { "age_ms", static_cast<std::int64_t>(change.age.count()) },
                          { "store_confirmed_ms_ago", unconfirmedMs },
                          { "known", directory_.knowsDataCentre(change.dataCentre) } });
        (change.hasBegun ? handlers_.onBegin : handlers_.onEnd)(change.dataCentre);
    }
}

auto EvacuationFollower::toJson(BootTime now) const -> JsonObject::Ptr
{
    const auto wallNow = std::chrono::duration_cast<Milliseconds>(WallClock::now().time_since_epoch());
    JsonArray::Ptr dataCentres = new JsonArray();
    for (const auto &[name, entry] : set_.entries()) {
        const auto age = std::chrono::duration_cast<Milliseconds>(now - entry.since);
        JsonObject::Ptr each = new JsonObject();
        each->set("name", name);
        each->set("revision", entry.revision);
        each->set("since_ms", static_cast<std::int64_t>((wallNow - age).count()));
        each->set("age_ms", static_cast<std::int64_t>(age.count()));
        each->set("known", directory_.knowsDataCentre(name));
        dataCentres->add(each);
    }
    JsonObject::Ptr result = new JsonObject();
    result->set("revision", set_.syncedRevision());
    result->set("data_centres", dataCentres);
    return result;
}

auto EvacuationFollower::responseForPeer() const -> HttpResult
{
    if (!hasSynced_) {
        return { HttpStatus::UNAVAILABLE, {}, {} };
    }
    return { HttpStatus::OK, {}, encodeEvacuations(set_.snapshot(BootClock::now())) };
}

auto EvacuationFollower::fetchFromPeer(const std::string &address) -> void
{
    fetchFrom(peers_, address, PEER_PATH, [this, address](const absl::StatusOr<std::string> &text) {
        const auto snapshot = text.ok() ? decodeEvacuations(*text) : text.status();
        EventLog::write("evacuations_fetched",
                        { { "peer", address },
                          { "reason", snapshot.status().message() },
                          { "revision", snapshot.ok() ? snapshot->syncedRevision : set_.syncedRevision() } });
        if (snapshot.ok()) {
            handle(set_.applySnapshot(*snapshot, BootClock::now()), "peer " + address);
            hasSynced_ = true;
        }
    });
}

} // namespace poplardock
