#include "Process/Peers/PeerLink.h"

#include "Process/EventLog.h"
#include "Process/Json.h"

#include <absl/strings/str_cat.h>

#include <random>

namespace poplardock {

namespace {

constexpr const char *MEMBER_KIND = "members";
constexpr const char *ADDRESS_FIELD = "peers";

constexpr Milliseconds REGISTER_PAUSE { 500 };
/// Daemons start within a third of a second of each other and find all others with the first listings; later ones
/// only find VMs that could reach nobody.
constexpr Milliseconds FIRST_LIST_PAUSE { 600 };
constexpr Milliseconds LIST_PAUSE { 15000 };
constexpr int FIRST_LISTINGS = 3;
/// Reports that come together are counted once.
constexpr Milliseconds NEWS_DELAY { 40 };

auto newIncarnation() -> std::string
{
    std::random_device device;
    return absl::StrCat(absl::Hex(device(), absl::kZeroPad8), absl::Hex(device(), absl::kZeroPad8));
}

} // namespace

PeerLink::PeerLink(EventLoop &loop, ObjectStore &store, PeerDirectory &directory, std::string name, std::string address, Handlers handlers)
    : loop_(loop)
    , store_(store)
    , directory_(directory)
    , name_(std::move(name))
    , address_(std::move(address))
    , incarnation_(newIncarnation())
    , handlers_(std::move(handlers))
{
}

auto PeerLink::start() -> absl::Status
{
    auto socket
        = DatagramSocket::open(loop_, address_, [this](const std::string &sender, std::string_view text) { takeDatagram(sender, text); });
    if (!socket.ok()) {
        return socket.status();
    }
    socket_ = *std::move(socket);
    registerSelf();
    listMembers();
    scheduleReport();
    return absl::OkStatus();
}

auto PeerLink::stop() -> void
{
    reportTimer_.cancel();
    registerTimer_.cancel();
    listTimer_.cancel();
    newsTimer_.cancel();
    socket_ = nullptr;
}

auto PeerLink::registerSelf() -> void
{
    JsonObject spec;
    spec.set(ADDRESS_FIELD, address_);
    StoredObject record;
    record.kind = MEMBER_KIND;
    record.name = name_;
    record.spec = Json::toText(spec);
    store_.create(record, [this, record](const absl::StatusOr<StoredObject> &created) {
        const absl::Status &status = created.status();
        if (status.ok()) {
            return;
        }
        if (!absl::IsAlreadyExists(status)) {
            registerTimer_ = loop_.at(BootClock::now() + REGISTER_PAUSE, [this] { registerSelf(); });
            return;
        }
        // The record of an earlier start; it is replaced only when the address has changed.
        store_.read(MEMBER_KIND, name_, [this, record](const absl::StatusOr<StoredObject> &found) {
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
                if (address.ok()) {
                    directory_.addMember(record.name, *address);
                } else {
                    EventLog::write("member_record_unreadable", { { "member", record.name }, { "reason", address.status().message() } });
                }
            }
        }
        ++listings_;
        const Milliseconds pause = listings_ <= FIRST_LISTINGS ? FIRST_LIST_PAUSE : LIST_PAUSE;
        listTimer_ = loop_.at(BootClock::now() + pause, [this] { listMembers(); });
    });
}

auto PeerLink::scheduleReport() -> void
{
    reportTimer_ = loop_.at(BootClock::now() + directory_.reportPeriod(), [this] {
        sendReports();
        scheduleReport();
    });
}

auto PeerLink::sendReports() -> void
{
    DaemonReport report = handlers_.report();
    report.name = name_;
    report.incarnation = incarnation_;
    report.sequence = ++sequence_;
    const std::string text = encodePeerMessage(report);
    for (const auto &[name, peer] : directory_.peers()) {
        socket_->sendTo(peer.address, text);
    }
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

auto PeerLink::takeDatagram(const std::string &sender, std::string_view text) -> void
{
    const auto message = decodePeerMessage(text);
    if (!message.ok()) {
        EventLog::write("peer_message_unreadable", { { "sender", sender }, { "reason", message.status().message() } });
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
    if (directory_.take(report, sender, BootClock::now()) && !hasNews_) {
        hasNews_ = true;
        newsTimer_ = loop_.at(BootClock::now() + NEWS_DELAY, [this] {
            hasNews_ = false;
            handlers_.onReports();
        });
    }
}

} // namespace poplardock
