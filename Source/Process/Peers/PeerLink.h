#pragma once

#include "Connection/Io/DatagramSocket.h"
#include "Process/Peers/PeerDirectory.h"
#include "Process/Store/ObjectStore.h"

#include <functional>

namespace poplardock {

/// Exchanges reports and digests with the other daemons: finds them through their records in the store, sends this
/// daemon's report to those of its data centre and, as a relay, digests to the other data centres, and takes theirs.
/// Thread safety: the loop's thread only.
class PeerLink
{
public:
    struct Handlers
    {
        /// The report to send; name, incarnation and sequence are filled in.
        std::function<DaemonReport()> collectReport;
        /// Reports were taken since the last call.
        std::function<void()> onReports;
        /// Any other message, with the address to which an answer goes.
        std::function<void(const std::string &sender, const PeerMessage &)> onMessage;
    };

    struct Identity
    {
        std::string name;
        std::string dataCentre;
        /// "IP:port" for datagrams and calls of the others.
        std::string address;

        auto operator==(const Identity &) const -> bool = default;
    };

    PeerLink(EventLoop &loop, ObjectStore &store, PeerDirectory &directory, Identity identity, Handlers handlers);

    /// Errors: as DatagramSocket::open().
    auto start() -> absl::Status;
    /// Sends and hears nothing any more.
    auto stop() -> void;
    auto send(const std::string &address, const PeerMessage &message) -> void;
    /// Sends a report, and a digest as a relay, now, for a change that should not wait.
    auto sendReports() -> void;
    [[nodiscard]] auto incarnation() const -> const std::string &;

private:
    auto registerSelf() -> void;
    auto listMembers() -> void;
    auto scheduleReport() -> void;
    [[nodiscard]] auto makeReport() -> DaemonReport;
    auto sendDigest() -> void;
    auto handleDigest(DataCentreDigest digest) -> void;
    auto scheduleNotification() -> void;
    auto handleDatagram(const std::string &sender, std::string_view text) -> void;

    EventLoop &loop_;
    ObjectStore &store_;
    PeerDirectory &directory_;
    const Identity identity_;
    const std::string incarnation_;
    Handlers handlers_;
    std::unique_ptr<DatagramSocket> socket_;
    std::uint64_t sequence_ = 0;
    std::uint64_t digestTick_ = 0;
    int listingCount_ = 0;
    bool isNotificationPending_ = false;
    Timer reportTimer_;
    Timer digestTimer_;
    Timer registerTimer_;
    Timer listTimer_;
    Timer notificationTimer_;
};

} // namespace poplardock
