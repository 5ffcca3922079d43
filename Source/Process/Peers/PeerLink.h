#pragma once

#include "Connection/Io/DatagramSocket.h"
#include "Process/Peers/MessageParts.h"
#include "Process/Peers/PeerDirectory.h"
#include "Process/Store/ObjectStore.h"

#include <functional>
#include <random>

namespace poplardock {

/// Exchanges reports, digests, summaries and rosters with the other daemons. Finds them through their records in the store,
/// sends this daemon's reports to the relays of its data centre and, as a relay, digests to the other data centres and
/// summaries to the daemons that report to it, and applies what it receives to the directory.
/// Thread safety: the loop's thread only.
class PeerLink
{
public:
    struct Handlers
    {
        /// Returns the report to send; the link sets its name, data centre, incarnation and sequence.
        std::function<DaemonReport()> collectReport;
        /// The state of this daemon's views, for summaries.
        std::function<FreshnessState()> collectFreshness;
        /// Reports, digests or a summary have been applied since the last call.
        std::function<void()> onReports;
        /// A relay has told the state of its views in answer to a report that was sent at that time.
        std::function<void(const std::string &sender, const FreshnessState &, BootTime sentAt)> onFreshness;
        /// Any other message has arrived; a response goes to "sender".
        std::function<void(const std::string &sender, const PeerMessage &)> onMessage;
    };

    struct Identity
    {
        std::string name;
        std::string dataCentre;
        /// "IP:port" at which this daemon receives datagrams and calls.
        std::string address;
        int capacity = 1;

        auto operator==(const Identity &) const -> bool = default;
    };

    struct Counts
    {
        /// Lines of messages that were left out, and messages that were dropped, since they could not be read.
        std::uint64_t unreadableLines = 0;
        std::uint64_t unreadableMessages = 0;
        /// Messages that were too long for their parts, and datagrams that the system did not take.
        std::uint64_t failedSends = 0;

        auto operator==(const Counts &) const -> bool = default;
    };

    PeerLink(EventLoop &loop, ObjectStore &store, PeerDirectory &directory, Identity identity, Handlers handlers);

    /// Opens the socket and registers this daemon in the store. Errors: as DatagramSocket::open().
    auto start() -> absl::Status;
    /// Whether the records of the daemons have been read from the store at least once since this daemon's own was there.
    [[nodiscard]] auto hasListedMembers() const -> bool;
    /// Stops sending and receiving.
    auto stop() -> void;
    auto send(const std::string &address, const PeerMessage &message) -> void;
    /// Sends a report to the relays immediately, for a change that should not wait for the next period. Digests and
    /// summaries keep their own periods.
    auto sendReports() -> void;
    [[nodiscard]] auto incarnation() const -> const std::string &;
    [[nodiscard]] auto counts() const -> Counts;

private:
    auto registerSelf() -> void;
    /// Writes the record again in place of the one of an earlier start if its address or data centre has changed.
    auto replaceRecord(const StoredObject &record) -> void;
    auto retryRegistration(const absl::Status &status) -> void;
    /// The record is in the store: a list that is read from now on shows all daemons that cannot find this one there.
    auto handleRegistered() -> void;
    auto listMembers() -> void;
    auto handleMembers(const StoreList &list) -> void;
    [[nodiscard]] auto nextListDelay() -> Milliseconds;
    auto scheduleReport() -> void;
    [[nodiscard]] auto makeReport() -> DaemonReport;
    auto sendDigest() -> void;
    auto scheduleSummaries() -> void;
    auto sendSummaries() -> void;
    /// Requests the rosters that the sender of a digest or summary, at that address, has named and this daemon does not have.
    auto requestRosters(const std::string &sender, const std::string &address) -> void;
    auto scheduleNotification() -> void;
    /// Sends the text as one datagram, or as several parts.
    auto sendText(const std::string &address, std::string_view text) -> void;
    auto handleText(const std::string &sender, std::string_view text) -> void;
    /// Logs what could not be read or sent, at most once in a while.
    auto logTrouble(const char *event, const std::string &peer, std::string_view reason) -> void;
    auto handleDatagram(const std::string &sender, std::string_view text) -> void;
    auto handleReport(const std::string &sender, const DaemonReport &report) -> void;
    auto handleDigest(const std::string &sender, const DataCentreDigest &digest) -> void;
    auto handleSummary(const std::string &sender, const FleetSummary &summary) -> void;
    auto handleRosterRequest(const std::string &sender, const RosterRequest &request) -> void;
    struct MessageVisitor;

    EventLoop &loop_;
    ObjectStore &store_;
    PeerDirectory &directory_;
    const Identity identity_;
    const std::string incarnation_;
    Handlers handlers_;
    std::unique_ptr<DatagramSocket> socket_;
    MessageAssembler assembler_;
    std::uint64_t messageNumber_ = 0;
    Counts counts_;
    BootTime troubleLoggedAt_;
    std::uint64_t sequence_ = 0;
    std::uint64_t digestTick_ = 0;
    std::uint64_t summaryTick_ = 0;
    /// When the roster of each data centre was last requested.
    std::map<std::string, BootTime> rostersRequestedAt_;
    /// The relays of the last report, for the log.
    std::vector<std::string> relays_;
    std::mt19937 random_;
    /// Lists that came since this daemon's record was in the store, and those in a row that failed.
    int listCount_ = 0;
    int failedLists_ = 0;
    bool isRegistered_ = false;
    bool isNotificationPending_ = false;
    Timer reportTimer_;
    Timer digestTimer_;
    Timer summaryTimer_;
    Timer registerTimer_;
    Timer listTimer_;
    Timer notificationTimer_;
};

} // namespace poplardock
