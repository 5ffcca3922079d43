#include "Process/Peers/PeerLink.h"

#include "Process/EventLog.h"
#include "Process/Json.h"

#include <absl/strings/str_cat.h>

#include <random>

namespace poplardock {

namespace {

constexpr const char *MEMBER_KIND = "members";
constexpr const char *ADDRESS_FIELD = "peers";
constexpr const char *DATA_CENTRE_FIELD = "data_centre";

constexpr Milliseconds REGISTRATION_RETRY_DELAY { 500 };
/// Daemons start within a third of a second of each other and find all others with the first listings. Later listings
/// only find VMs that could not reach any other daemon.
constexpr Milliseconds INITIAL_LIST_INTERVAL { 600 };
constexpr Milliseconds LIST_INTERVAL { 15000 };
constexpr int INITIAL_LISTINGS = 3;
/// Reports that arrive within this time share one notification.
constexpr Milliseconds NOTIFICATION_DELAY { 40 };

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
    digestTimer_ = loop_.every(PeerDirectory::DIGEST_PERIOD, [this] { sendDigest(); });
    return absl::OkStatus();
}

auto PeerLink::stop() -> void
{
    reportTimer_.cancel();
    digestTimer_.cancel();
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
    StoredObject record;
    record.kind = MEMBER_KIND;
    record.name = identity_.name;
    record.spec = Json::toText(spec);
    store_.create(record, [this, record](const absl::StatusOr<StoredObject> &created) {
        const absl::Status &status = created.status();
        if (status.ok()) {
            return;
        }
        if (!absl::IsAlreadyExists(status)) {
            registerTimer_ = loop_.at(BootClock::now() + REGISTRATION_RETRY_DELAY, [this] { registerSelf(); });
            return;
        }
        // The record of an earlier start is replaced only if its address or data centre has changed.
        store_.read(MEMBER_KIND, identity_.name, [this, record](const absl::StatusOr<StoredObject> &found) {
            if (found.ok() && found->spec != record.spec) {
                StoredObject changed = record;
                changed.version = found->version;
                store_.replace(changed, [](const absl::StatusOr<StoredObject> &result) {
                    if (!result.ok()) {
                        EventLog::write("member_record_failed", { { "reason", result.status().message() } });
                    }
                });
            }
        });
    });
}

auto PeerLink::listMembers() -> void
{
    store_.listAll(MEMBER_KIND, true, [this](const absl::StatusOr<StoreList> &list) {
        if (list.ok()) {
            for (const StoredObject &record : list->objects) {
                const auto spec = Json::parseObject(record.spec);
                const auto address = spec.ok() ? Json::requireString(**spec, ADDRESS_FIELD) : spec.status();
                const auto dataCentre = spec.ok() ? Json::requireString(**spec, DATA_CENTRE_FIELD) : spec.status();
                const absl::Status status = address.ok() ? dataCentre.status() : address.status();
                if (status.ok()) {
                    directory_.addMember(record.name, *address, *dataCentre);
                } else {
                    EventLog::write("member_record_unreadable", { { "member", record.name }, { "reason", status.message() } });
                }
            }
        }
        ++listingCount_;
        const Milliseconds interval = listingCount_ <= INITIAL_LISTINGS ? INITIAL_LIST_INTERVAL : LIST_INTERVAL;
        listTimer_ = loop_.at(BootClock::now() + interval, [this] { listMembers(); });
    });
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
    report.sequence = ++sequence_;
    return report;
}

auto PeerLink::sendReports() -> void
{
    const std::string text = encodePeerMessage(makeReport());
    for (const Peer *peer : directory_.localPeers()) {
        socket_->sendTo(peer->address, text);
    }
}

auto PeerLink::sendDigest() -> void
{
    const BootTime now = BootClock::now();
    const std::vector<std::string> targets = directory_.digestTargets(++digestTick_, now);
    if (targets.empty()) {
        return;
    }
    DataCentreDigest digest = directory_.makeDigest(makeReport(), identity_.address, now);
    digest.sequence = digestTick_;
    const std::string text = encodePeerMessage(digest);
    for (const std::string &address : targets) {
        socket_->sendTo(address, text);
    }
}

auto PeerLink::handleDigest(DataCentreDigest digest) -> void
{
    if (!directory_.handleDigest(digest, BootClock::now())) {
        return;
    }
    scheduleNotification();
    if (digest.isForwarded) {
        return;
    }
    digest.isForwarded = true;
    const std::string text = encodePeerMessage(digest);
    for (const Peer *peer : directory_.localPeers()) {
        socket_->sendTo(peer->address, text);
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
    if (socket_ != nullptr) {
        socket_->sendTo(address, encodePeerMessage(message));
    }
}

auto PeerLink::incarnation() const -> const std::string &
{
    return incarnation_;
}

auto PeerLink::handleDatagram(const std::string &sender, std::string_view text) -> void
{
    const auto message = decodePeerMessage(text);
    if (!message.ok()) {
        EventLog::write("peer_message_unreadable", { { "sender", sender }, { "reason", message.status().message() } });
        return;
    }
    if (const auto *digest = std::get_if<DataCentreDigest>(&*message)) {
        handleDigest(*digest);
        return;
    }
    if (!std::holds_alternative<DaemonReport>(*message)) {
        handlers_.onMessage(sender, *message);
        return;
    }
    const auto &report = std::get<DaemonReport>(*message);
    const Peer *known = directory_.find(report.name);
    if (known == nullptr || known->report.incarnation != report.incarnation) {
        EventLog::write("peer_heard", { { "peer", report.name }, { "incarnation", report.incarnation }, { "address", sender } });
    }
    if (directory_.handleReport(report, sender, BootClock::now())) {
        scheduleNotification();
    }
}

} // namespace poplardock
