#pragma once

#include "Process/CrashSuspects.h"
#include "Process/Load/UpstreamDirectory.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace poplardock {

/// Work and demand: of one daemon, or added up over several.
struct LoadSums
{
    /// Work in flight, by upstream.
    WorkCounts work;
    /// Requests per second, by team.
    std::map<std::string, double> demand;

    auto operator==(const LoadSums &) const -> bool = default;
};

/// A job and the daemon that owns it.
struct JobOwner
{
    std::string job;
    std::string owner;

    auto operator==(const JobOwner &) const -> bool = default;
};

/// A daemon's state, which it sends to the relays of its data centre several times a second.
struct DaemonReport : LoadSums
{
    std::string name;
    std::string dataCentre;
    /// Unique for each start of a daemon.
    std::string incarnation;
    /// Increases with each report of an incarnation.
    std::uint64_t sequence = 0;
    /// Relative processor capacity of the VM.
    int capacity = 1;
    /// The daemon is shutting down; its jobs are to be taken over.
    bool isDraining = false;
    /// The daemon has recently had a response from the store.
    bool hasStoreContact = true;
    /// Whether the recipient is the sender's second relay, which answers less often than the first.
    bool isToBackup = false;
    /// Jobs that the daemon has come to own a short time ago; all of its jobs while it is draining.
    std::vector<std::string> jobs;
    /// Jobs that the daemon has recently cancelled in the store without their owner.
    std::vector<std::string> cancelledJobs;
    std::vector<CrashSuspect> crashSuspects;
    std::vector<UpstreamLimit> upstreamLimits;
    std::vector<ColdStatement> coldStatements;
    std::vector<LeavingUpstream> leavingUpstreams;

    auto operator==(const DaemonReport &) const -> bool = default;
};

/// One daemon in a roster.
struct RosterEntry
{
    std::string name;
    /// "IP:port" for datagrams and calls.
    std::string address;
    std::string incarnation;
    int capacity = 1;
    bool isDraining = false;
    bool hasStoreContact = true;

    auto operator==(const RosterEntry &) const -> bool = default;
};

/// The live daemons of one data centre, as its relay hears them. Sent only on request; digests and summaries name the
/// version, which confirms all entries at once.
struct Roster
{
    std::string dataCentre;
    /// Hash of the entries; the same entries have the same version at every relay.
    std::uint64_t version = 0;
    std::vector<RosterEntry> entries;

    auto operator==(const Roster &) const -> bool = default;
};

struct RosterRequest
{
    std::string dataCentre;

    auto operator==(const RosterRequest &) const -> bool = default;
};

/// The sums over one data centre, which its relays send to the relays of the other data centres.
struct DataCentreDigest : LoadSums
{
    std::string dataCentre;
    /// Name and incarnation of the relay that made the digest.
    std::string sender;
    std::string incarnation;
    /// Increases with each digest of an incarnation of the sender.
    std::uint64_t sequence = 0;
    std::uint64_t rosterVersion = 0;
    /// Jobs of daemons of this data centre that have recently got a new owner.
    std::vector<JobOwner> jobs;
    /// Jobs that daemons of this data centre have recently cancelled in the store.
    std::vector<std::string> cancelledJobs;
    std::vector<CrashSuspect> crashSuspects;
    std::vector<UpstreamLimit> upstreamLimits;
    std::vector<ColdStatement> coldStatements;
    std::vector<LeavingUpstream> leavingUpstreams;

    auto operator==(const DataCentreDigest &) const -> bool = default;
};

/// A data centre's roster, as a relay knows it.
struct RosterState
{
    std::string dataCentre;
    std::uint64_t version = 0;
    /// Time since the relay last knew that the daemons in it were alive.
    Milliseconds age { 0 };

    auto operator==(const RosterState &) const -> bool = default;
};

/// What a daemon answers of its view of the configuration and the upstreams.
struct FreshnessState
{
    /// Revision of the configuration in force at the responding daemon.
    std::uint64_t configurationRevision = 0;
    /// Time since the store confirmed the configuration.
    Milliseconds age { 0 };
    /// Highest revision of an upstream's entry that is known to the daemon.
    std::uint64_t upstreamRevision = 0;
    /// Revision of the last change of the evacuations that is known to the daemon; 0 if it follows none. Left out of the text
    /// then, so that daemons without the feature exchange the same messages as before.
    std::uint64_t evacuationRevision = 0;

    auto operator==(const FreshnessState &) const -> bool = default;
};

/// The sums over the whole fleet, the receiving daemon included, which a relay sends to each daemon that reports to it.
struct FleetSummary : LoadSums
{
    std::string sender;
    std::string incarnation;
    /// Increases with each summary of an incarnation of the sender.
    std::uint64_t sequence = 0;
    /// Sequence of the recipient's last report that the relay has received. The sums include that report.
    std::uint64_t echoedReport = 0;
    FreshnessState freshness;
    std::vector<RosterState> rosters;
    std::vector<JobOwner> jobs;
    std::vector<std::string> cancelledJobs;
    std::vector<CrashSuspect> crashSuspects;
    std::vector<UpstreamLimit> upstreamLimits;
    std::vector<ColdStatement> coldStatements;
    std::vector<LeavingUpstream> leavingUpstreams;

    auto operator==(const FleetSummary &) const -> bool = default;
};

/// Requests that a daemon preempt its batch work at an upstream, because an online request needs the slot. A daemon that
/// has none there passes it on.
struct PreemptionRequest
{
    std::string upstream;
    /// How often it may still be passed on.
    int hops = 0;

    auto operator==(const PreemptionRequest &) const -> bool = default;
};

/// Requests one token from the home of a team's allowance.
struct TokenRequest
{
    std::string team;
    /// Set by the requesting daemon; the response carries it too.
    std::uint64_t correlationId = 0;

    auto operator==(const TokenRequest &) const -> bool = default;
};

struct TokenResponse
{
    enum class Outcome
    {
        Granted,
        Refused,
        /// The responding daemon does not consider itself the home.
        NotHome,
    };

    std::uint64_t correlationId = 0;
    Outcome outcome = Outcome::NotHome;
    /// Refused only: time until the next token.
    Milliseconds retryAfter { 0 };

    auto operator==(const TokenResponse &) const -> bool = default;
};

/// Requests a token of an upstream's limit from a daemon that may have one to spare. Answered only if it has.
struct LimitTokenRequest
{
    std::string upstream;

    auto operator==(const LimitTokenRequest &) const -> bool = default;
};

/// A token of an upstream's limit, which the sender has given up for the recipient.
struct LimitTokenGrant
{
    std::string upstream;

    auto operator==(const LimitTokenGrant &) const -> bool = default;
};

/// Queries the age of a daemon's view of the configuration, and the revisions that it knows.
struct FreshnessRequest
{
    std::uint64_t correlationId = 0;

    auto operator==(const FreshnessRequest &) const -> bool = default;
};

struct FreshnessResponse
{
    std::uint64_t correlationId = 0;
    FreshnessState state;

    auto operator==(const FreshnessResponse &) const -> bool = default;
};

using PeerMessage = std::variant<DaemonReport,
                                 DataCentreDigest,
                                 FleetSummary,
                                 RosterRequest,
                                 Roster,
                                 PreemptionRequest,
                                 TokenRequest,
                                 TokenResponse,
                                 LimitTokenRequest,
                                 LimitTokenGrant,
                                 FreshnessRequest,
                                 FreshnessResponse>;

/// The text of a message. Names may hold any bytes; a name of more than MAXIMUM_WORD_BYTES cannot be read back. Thread-safe.
auto encodePeerMessage(const PeerMessage &message) -> std::string;
/// Reads the text of a message. A line of a report, digest or summary that cannot be read is left out, and its beginning is added to
/// "unreadable". Thread-safe. Errors: InvalidArgument when the first line, or any line of a roster, is not what encodePeerMessage()
/// writes.
auto decodePeerMessage(std::string_view text, std::vector<std::string> *unreadable = nullptr) -> absl::StatusOr<PeerMessage>;

} // namespace poplardock
