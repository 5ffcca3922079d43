#include "Process/Peers/PeerLink.h"

#include "Process/EventLog.h"
#include "Process/Json.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace poplardock {

namespace {

constexpr const char *MEMBER_KIND = "members";
constexpr const char *ADDRESS_FIELD = "peers";
constexpr const char *DATA_CENTRE_FIELD = "data_centre";
constexpr const char *CAPACITY_FIELD = "capacity";

constexpr Milliseconds REGISTRATION_RETRY_DELAY { 500 };
/// Daemons start within a third of a second of each other and find all others with the first listings. Later listings
/// only find VMs that could not reach any other daemon.
constexpr Milliseconds INITIAL_LIST_INTERVAL { 600 };
constexpr Milliseconds LIST_INTERVAL { 15000 };
constexpr int INITIAL_LISTINGS = 3;
/// How often the interval doubles at most while lists fail.
constexpr int MAXIMUM_LIST_DOUBLINGS = 1;
/// Shortest time between two requests for the same roster; the answer takes a few milliseconds.
constexpr Milliseconds ROSTER_REQUEST_INTERVAL { 40 };
/// Reports that arrive within this time share one notification.
constexpr Milliseconds NOTIFICATION_DELAY { 40 };
/// A peer whose messages cannot be read sends several a second.
constexpr Milliseconds TROUBLE_LOG_PERIOD { 10000 };

auto generateIncarnation() -> std::string
{
    std::random_device device;
    return absl::StrCat(absl::Hex(device(), absl::kZeroPad8), absl::Hex(device(), absl::kZeroPad8));
}

} // namespace

PeerLink::PeerLink(EventLoop &loop, ObjectStore &store, PeerDirectory &directory, Identity identity, Handlers handlers)
    : loop_(loop)
    , store_(store)
    , directory_(directory)
    , identity_(std::move(identity))
    , incarnation_(generateIncarnation())
    , handlers_(std::move(handlers))
    , random_(std::random_device()())
{
}

auto PeerLink::start() -> absl::Status
{
    auto socket = DatagramSocket::open(
        loop_, identity_.address, [this](const std::string &sender, std::string_view text) { handleDatagram(sender, text); });
    if (!socket.ok()) {
        return socket.status();
    }
    socket_ = *std::move(socket);
    registerSelf();
    listMembers();
    scheduleReport();
    scheduleSummaries();
    digestTimer_ = loop_.every(PeerDirectory::DIGEST_PERIOD, [this] { sendDigest(); });
    return absl::OkStatus();
}

auto PeerLink::hasListedMembers() const -> bool
{
    return listCount_ > 0;
}

auto PeerLink::stop() -> void
{
    reportTimer_.cancel();
    digestTimer_.cancel();
    summaryTimer_.cancel();
    registerTimer_.cancel();
    listTimer_.cancel();
    notificationTimer_.cancel();
    socket_ = nullptr;
}

auto PeerLink::registerSelf() -> void
{
    JsonObject spec;
    spec.set(ADDRESS_FIELD, identity_.address);
    spec.set(DATA_CENTRE_FIELD, identity_.dataCentre);
    spec.set(CAPACITY_FIELD, identity_.capacity);
    StoredObject record;
    record.kind = MEMBER_KIND;
    record.name = identity_.name;
    record.spec = Json::toText(spec);
    store_.create(record, [this, record](const absl::StatusOr<StoredObject> &created) {
        if (created.ok()) {
            handleRegistered();
        } else if (absl::IsAlreadyExists(created.status())) {
            replaceRecord(record);
        } else {
            retryRegistration(created.status());
        }
    });
}

auto PeerLink::replaceRecord(const StoredObject &record) -> void
{
    store_.read(MEMBER_KIND, identity_.name, [this, record](const absl::StatusOr<StoredObject> &found) {
        if (!found.ok()) {
            retryRegistration(found.status());
            return;
        }
        if (found->spec == record.spec) {
            handleRegistered();
            return;
        }
        StoredObject changed = record;
        changed.version = found->version;
        store_.replace(changed, [this](const absl::StatusOr<StoredObject> &result) {
            if (result.ok()) {
                handleRegistered();
            } else {
                retryRegistration(result.status());
            }
        });
    });
}

auto PeerLink::retryRegistration(const absl::Status &status) -> void
{
    EventLog::write("member_record_failed", { { "reason", status.message() } });
    registerTimer_ = loop_.at(BootClock::now() + REGISTRATION_RETRY_DELAY, [this] { registerSelf(); });
}

auto PeerLink::handleRegistered() -> void
{
    isRegistered_ = true;
    listMembers();
}

auto PeerLink::listMembers() -> void
{
    listTimer_.cancel();
    // Only the first list has to show what was written a moment ago.
    const bool allowsStale = listCount_ > 0 || !isRegistered_;
    const auto take = [this, isComplete = isRegistered_](const absl::StatusOr<StoreList> &list) {
        if (list.ok()) {
            failedLists_ = 0;
            handleMembers(*list);
            if (isComplete) {
                ++listCount_;
                directory_.recordMembersListed(BootClock::now());
            }
        } else {
            ++failedLists_;
        }
        listTimer_ = loop_.at(BootClock::now() + nextListDelay(), [this] { listMembers(); });
    };
    store_.listAll(MEMBER_KIND, allowsStale, take);
}

auto PeerLink::handleMembers(const StoreList &list) -> void
{
    for (const StoredObject &record : list.objects) {
        const auto spec = Json::parseObject(record.spec);
        const auto address = spec.ok() ? Json::requireString(**spec, ADDRESS_FIELD) : spec.status();
        const auto dataCentre = spec.ok() ? Json::requireString(**spec, DATA_CENTRE_FIELD) : spec.status();
        const auto capacity = spec.ok() ? Json::optionalInteger(**spec, CAPACITY_FIELD, 1) : spec.status();
        const absl::Status status = !address.ok() ? address.status() : !dataCentre.ok() ? dataCentre.status() : capacity.status();
        if (status.ok()) {
            directory_.addMember(record.name, *address, *dataCentre, static_cast<int>(*capacity), BootClock::now());
        } else {
            EventLog::write("member_record_unreadable", { { "member", record.name }, { "reason", status.message() } });
        }
    }
}

auto PeerLink::nextListDelay() -> Milliseconds
{
    if (listCount_ > 0) {
        return listCount_ <= INITIAL_LISTINGS ? INITIAL_LIST_INTERVAL : LIST_INTERVAL;
    }
    // All daemons of a fleet may have started while the store was away.
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    const Milliseconds longest = INITIAL_LIST_INTERVAL * (1 << std::min(failedLists_, MAXIMUM_LIST_DOUBLINGS));
    return std::chrono::duration_cast<Milliseconds>(longest * jitter(random_));
}

auto PeerLink::scheduleReport() -> void
{
    reportTimer_ = loop_.at(BootClock::now() + directory_.reportPeriod(), [this] {
        sendReports();
        scheduleReport();
    });
}

auto PeerLink::makeReport() -> DaemonReport
{
    DaemonReport report = handlers_.collectReport();
    report.name = identity_.name;
    report.dataCentre = identity_.dataCentre;
    report.incarnation = incarnation_;
    report.capacity = identity_.capacity;
    report.sequence = ++sequence_;
    return report;
}

auto PeerLink::sendReports() -> void
{
    const BootTime now = BootClock::now();
    DaemonReport report = makeReport();
    directory_.recordOwnReport(report, now);
    const std::vector<std::string> relays = directory_.relaysOf(identity_.dataCentre, now);
    if (relays != relays_) {
        EventLog::write("relays_changed",
                        { { "first", relays.front() },
                          { "second", relays.back() },
                          { "reporters", static_cast<std::uint64_t>(directory_.reporters(now).size()) } });
        relays_ = relays;
    }
    for (const Peer *peer : directory_.reportTargets(now)) {
        report.isToBackup = peer->name != relays.front();
        sendText(peer->address, encodePeerMessage(report));
    }
}

auto PeerLink::sendDigest() -> void
{
    const BootTime now = BootClock::now();
    const std::vector<std::string> targets = directory_.digestTargets(++digestTick_, now);
    if (targets.empty() || !directory_.isSettled(now)) {
        return;
    }
    DataCentreDigest digest = directory_.makeDigest(makeReport(), identity_.address, now);
    digest.sequence = digestTick_;
    const std::string text = encodePeerMessage(digest);
    for (const std::string &address : targets) {
        sendText(address, text);
    }
}

auto PeerLink::scheduleSummaries() -> void
{
    summaryTimer_ = loop_.at(BootClock::now() + directory_.summaryPeriod(), [this] {
        sendSummaries();
        scheduleSummaries();
    });
}

auto PeerLink::sendSummaries() -> void
{
    const BootTime now = BootClock::now();
    const std::vector<PeerDirectory::Reporter> reporters = directory_.summaryTargets(++summaryTick_, now);
    if (reporters.empty()) {
        return;
    }
    FleetSummary summary = directory_.makeSummary(makeReport(), identity_.address, now);
    summary.sequence = summaryTick_;
    summary.freshness = handlers_.collectFreshness();
    for (const PeerDirectory::Reporter &reporter : reporters) {
        summary.echoedReport = reporter.sequence;
        sendText(reporter.peer->address, encodePeerMessage(summary));
    }
}

auto PeerLink::requestRosters(const std::string &sender, const std::string &address) -> void
{
    const BootTime now = BootClock::now();
    for (const std::string &dataCentre : directory_.missingRosters(sender)) {
        BootTime &requestedAt = rostersRequestedAt_[dataCentre];
        if (now - requestedAt >= ROSTER_REQUEST_INTERVAL) {
            requestedAt = now;
            send(address, RosterRequest { dataCentre });
        }
    }
}

auto PeerLink::scheduleNotification() -> void
{
    if (isNotificationPending_) {
        return;
    }
    isNotificationPending_ = true;
    notificationTimer_ = loop_.at(BootClock::now() + NOTIFICATION_DELAY, [this] {
        isNotificationPending_ = false;
        handlers_.onReports();
    });
}

auto PeerLink::send(const std::string &address, const PeerMessage &message) -> void
{
    sendText(address, encodePeerMessage(message));
}

auto PeerLink::sendText(const std::string &address, std::string_view text) -> void
{
    if (socket_ == nullptr) {
        return;
    }
    const std::vector<std::string> datagrams = splitMessage(text, ++messageNumber_);
    bool isSent = !datagrams.empty();
    for (const std::string &datagram : datagrams) {
        isSent = socket_->sendTo(address, datagram) && isSent;
    }
    if (!isSent) {
        ++counts_.failedSends;
        logTrouble("peer_message_not_sent", address, absl::StrCat(text.size(), " bytes"));
    }
}

auto PeerLink::logTrouble(const char *event, const std::string &peer, std::string_view reason) -> void
{
    const BootTime now = BootClock::now();
    if (troubleLoggedAt_ != BootTime() && now - troubleLoggedAt_ < TROUBLE_LOG_PERIOD) {
        return;
    }
    troubleLoggedAt_ = now;
    EventLog::write(event,
                    { { "peer", peer },
                      { "reason", absl::string_view(reason.data(), reason.size()) },
                      { "unreadable_lines", counts_.unreadableLines },
                      { "unreadable_messages", counts_.unreadableMessages },
                      { "failed_sends", counts_.failedSends } });
}

auto PeerLink::counts() const -> Counts
{
    return counts_;
}

auto PeerLink::incarnation() const -> const std::string &
{
    return incarnation_;
}

/// Handles the messages about daemons here, and passes on all others.
struct PeerLink::MessageVisitor
{
    PeerLink &link;
    const std::string &sender;
    const PeerMessage &message;

    auto operator()(const DaemonReport &report) const -> void
    {
        link.handleReport(sender, report);
    }
    auto operator()(const DataCentreDigest &digest) const -> void
    {
        link.handleDigest(sender, digest);
    }
    auto operator()(const FleetSummary &summary) const -> void
    {
        link.handleSummary(sender, summary);
    }
    auto operator()(const RosterRequest &request) const -> void
    {
        link.handleRosterRequest(sender, request);
    }
    auto operator()(const Roster &roster) const -> void
    {
        if (link.directory_.handleRoster(roster, BootClock::now())) {
            link.scheduleNotification();
        }
    }
    template<typename Message>
    auto operator()(const Message & /*other*/) const -> void
    {
        link.handlers_.onMessage(sender, message);
    }
};

auto PeerLink::handleDatagram(const std::string &sender, std::string_view text) -> void
{
    if (!MessageAssembler::isPart(text)) {
        handleText(sender, text);
    } else if (const auto whole = assembler_.add(sender, text, BootClock::now())) {
        handleText(sender, *whole);
    }
}

auto PeerLink::handleText(const std::string &sender, std::string_view text) -> void
{
    std::vector<std::string> unreadable;
    const auto message = decodePeerMessage(text, &unreadable);
    if (!message.ok()) {
        ++counts_.unreadableMessages;
        logTrouble("peer_message_unreadable", sender, { message.status().message().data(), message.status().message().size() });
        return;
    }
    if (!unreadable.empty()) {
        counts_.unreadableLines += unreadable.size();
        logTrouble("peer_lines_unreadable", sender, unreadable.front());
    }
    std::visit(MessageVisitor { *this, sender, *message }, *message);
}

auto PeerLink::handleReport(const std::string &sender, const DaemonReport &report) -> void
{
    const Peer *known = directory_.find(report.name);
    if (known == nullptr || known->incarnation != report.incarnation) {
        EventLog::write("peer_heard", { { "peer", report.name }, { "incarnation", report.incarnation }, { "address", sender } });
    }
    if (directory_.handleReport(report, sender, BootClock::now())) {
        scheduleNotification();
    }
}

auto PeerLink::handleDigest(const std::string &sender, const DataCentreDigest &digest) -> void
{
    if (directory_.handleDigest(digest, BootClock::now())) {
        scheduleNotification();
        requestRosters(digest.sender, sender);
    }
}

auto PeerLink::handleSummary(const std::string &sender, const FleetSummary &summary) -> void
{
    const BootTime now = BootClock::now();
    if (!directory_.handleSummary(summary, now)) {
        return;
    }
    scheduleNotification();
    requestRosters(summary.sender, sender);
    if (const auto sentAt = directory_.reportSentAt(summary.echoedReport)) {
        handlers_.onFreshness(sender, summary.freshness, *sentAt);
    }
}

auto PeerLink::handleRosterRequest(const std::string &sender, const RosterRequest &request) -> void
{
    const auto roster = directory_.rosterOf(request.dataCentre, makeReport(), identity_.address, BootClock::now());
    if (roster) {
        send(sender, *roster);
    }
}

} // namespace poplardock
