#pragma once

#include "Connection/Io/DatagramSocket.h"
#include "Process/Peers/PeerDirectory.h"
#include "Process/Store/ObjectStore.h"

#include <functional>

namespace poplardock {

/// Exchanges reports and digests with the other daemons. Finds them through their records in the store, sends this
/// daemon's reports to the daemons of its data centre and, as a relay, digests to the other data centres, and applies
/// the reports and digests that it receives to the directory.
/// Thread safety: the loop's thread only.
class PeerLink
{
public:
    struct Handlers
    {
        /// Returns the report to send; the link sets its name, data centre, incarnation and sequence.
        std::function<DaemonReport()> collectReport;
        /// Reports or digests have been applied since the last call.
        std::function<void()> onReports;
        /// Any other message has arrived; a response goes to "sender".
        std::function<void(const std::string &sender, const PeerMessage &)> onMessage;
    };

    struct Identity
    {
        std::string name;
        std::string dataCentre;
        /// "IP:port" at which this daemon receives datagrams and calls.
        std::string address;

        auto operator==(const Identity &) const -> bool = default;
    };

    PeerLink(EventLoop &loop, ObjectStore &store, PeerDirectory &directory, Identity identity, Handlers handlers);

    /// Opens the socket and registers this daemon in the store. Errors: as DatagramSocket::open().
    auto start() -> absl::Status;
    /// Stops sending and receiving.
    auto stop() -> void;
    auto send(const std::string &address, const PeerMessage &message) -> void;
    /// Sends a report to the local peers immediately, for a change that should not wait for the next period. Digests keep
    /// their own period.
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
