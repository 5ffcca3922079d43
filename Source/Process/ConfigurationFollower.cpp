#include "Process/ConfigurationFollower.h"

#include "Process/EventLog.h"
#include "Process/Peers/PeerFetch.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace poplardock {

namespace {

constexpr const char *CONFIGURATION_NAME = "main";

} // namespace

ConfigurationFollower::ConfigurationFollower(EventLoop &loop, ObjectStore &store, const WireDialect &dialect, HttpClient &peers)
    : store_(store)
    , dialect_(dialect)
    , peers_(peers)
    , watch_(loop,
             store,
             { dialect.configurationKind, Milliseconds(0), Milliseconds(0) },
             { [this](const StoreList &list) {
                  for (const StoredObject &object : list.objects) {
                      applyIfNewer(object);
                  }
              },
               [this](const StoreEvents &events) {
                   for (const StoreEvent &event : events.events) {
                       if (!event.isRemoved) {
                           applyIfNewer(event.object);
                       }
                   }
               } })
{
}

auto ConfigurationFollower::start() -> void
{
    watch_.start();
}

auto ConfigurationFollower::version() const -> const ServingVersionPointer &
{
    return version_;
}

auto ConfigurationFollower::revision() const -> std::uint64_t
{
    return version_ == nullptr ? 0 : version_->data().revision;
}

auto ConfigurationFollower::watch() -> KindWatch &
{
    return watch_;
}

auto ConfigurationFollower::applyIfNewer(const StoredObject &object) -> void
{
    if (object.name != CONFIGURATION_NAME || (version_ != nullptr && object.version <= revision())) {
        return;
    }
    auto data = dialect_.decodeConfiguration(object);
    if (!data.ok()) {
        EventLog::write("configuration_refused", { { "revision", object.version }, { "reason", data.status().message() } });
        return;
    }
    version_ = std::make_shared<const ServingVersion>(*std::move(data));
    storedObject_ = object;
    EventLog::write("configuration_in_force", { { "config", version_->data().number }, { "revision", object.version } });
}

auto ConfigurationFollower::read(std::function<void()> onRead) -> void
{
    store_.read(
        dialect_.configurationKind, CONFIGURATION_NAME, [this, onRead = std::move(onRead)](const absl::StatusOr<StoredObject> &object) {
            if (!object.ok()) {
                return;
            }
            applyIfNewer(*object);
            // A configuration that was refused does not confirm the one in force.
            if (version_ != nullptr && revision() >= object->version) {
                onRead();
            }
        });
}

auto ConfigurationFollower::fetchFromPeer(const std::string &address) -> void
{
    fetchFrom(peers_, address, PEER_PATH, [this, address](const absl::StatusOr<std::string> &body) {
        const std::size_t revisionEnd = body.ok() ? body->find('\n') : std::string::npos;
        StoredObject object;
        object.kind = dialect_.configurationKind;
        object.name = CONFIGURATION_NAME;
        const bool isParsed = revisionEnd != std::string::npos && absl::SimpleAtoi(body->substr(0, revisionEnd), &object.version);
        EventLog::write("configuration_fetched", { { "peer", address }, { "ok", isParsed }, { "revision", object.version } });
        if (isParsed) {
            object.spec = body->substr(revisionEnd + 1);
            applyIfNewer(object);
        }
    });
}

auto ConfigurationFollower::responseForPeer() const -> HttpResult
{
    if (version_ == nullptr) {
        return { HttpStatus::NOT_FOUND, {}, {} };
    }
    return { HttpStatus::OK, {}, absl::StrCat(storedObject_.version, "\n", storedObject_.spec) };
}

} // namespace poplardock
