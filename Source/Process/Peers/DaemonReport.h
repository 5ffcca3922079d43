#pragma once

#include "Process/Load/UpstreamDirectory.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace poplardock {

/// A daemon's state, which it sends to the other daemons of its data centre several times a second.
struct DaemonReport
{
    std::string name;
    std::string dataCentre;
    /// Unique for each start of a daemon.
    std::string incarnation;
    /// Increases with each report of an incarnation.
    std::uint64_t sequence = 0;
    /// The daemon is shutting down; its jobs are to be taken over.
    bool isDraining = false;
    /// The daemon has recently had a response from the store.
    bool hasStoreContact = true;
    /// Work in flight, by upstream.
    WorkCounts work;
    /// Requests per second, by team.
    std::map<std::string, double> demand;
    /// Jobs that the daemon owns and serves requests for.
    std::vector<std::string> jobs;
    /// Upstream crashes that this daemon observed itself, by the fingerprint of the requests that were running.
    std::map<std::string, int> crashes;

    auto operator==(const DaemonReport &) const -> bool = default;
};

/// One daemon in a digest.
struct DigestEntry
{
    std::string name;
    /// "IP:port" for datagrams and calls.
    std::string address;
    std::string incarnation;
    /// Sequence of its last report.
    std::uint64_t sequence = 0;
    /// Time since the sender of the digest received that report.
    Milliseconds age { 0 };
    bool isDraining = false;
    bool hasStoreContact = true;
    std::vector<std::string> jobs;

    auto operator==(const DigestEntry &) const -> bool = default;
};

/// The live daemons of one data centre and the sums of their reports, which a relay sends to the other data centres.
struct DataCentreDigest
{
    std::string dataCentre;
    /// Name of the relay that made the digest.
    std::string sender;
    /// Increases with each digest of an incarnation of the sender.
    std::uint64_t sequence = 0;
    /// Set on the copies that the receiving daemon forwards within its data centre; these are not forwarded again.
    bool isForwarded = false;
    std::vector<DigestEntry> daemons;
    WorkCounts work;
    /// One of the daemons that run batch work at an upstream, by upstream.
    std::map<std::string, std::string> batchHolders;
    std::map<std::string, double> demand;
    std::map<std::string, int> crashes;

    auto operator==(const DataCentreDigest &) const -> bool = default;
};

/// Requests that a daemon preempt its batch work at an upstream, because an online request needs the slot.
struct PreemptionRequest
{
    std::string upstream;

    auto operator==(const PreemptionRequest &) const -> bool = default;
};

/// Requests one token from the home of a team's allowance.
struct TokenRequest
{
    std::string team;
    /// Chosen by the requesting daemon; the response carries it too.
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

/// Queries the age of a daemon's view of the configuration, and the revisions that it knows.
struct FreshnessRequest
{
    std::uint64_t correlationId = 0;

    auto operator==(const FreshnessRequest &) const -> bool = default;
};

struct FreshnessResponse
{
    std::uint64_t correlationId = 0;
    /// Revision of the configuration in force at the responding daemon.
    std::uint64_t configurationRevision = 0;
    /// Time since the sending of the latest call with which the store confirmed the configuration.
    Milliseconds age { 0 };
    /// Highest revision of an upstream's entry that is known to the daemon.
    std::uint64_t upstreamRevision = 0;

    auto operator==(const FreshnessResponse &) const -> bool = default;
};

using PeerMessage
    = std::variant<DaemonReport, DataCentreDigest, PreemptionRequest, TokenRequest, TokenResponse, FreshnessRequest, FreshnessResponse>;

/// The text of one datagram. Precondition: names contain no spaces or line breaks.
auto encodePeerMessage(const PeerMessage &message) -> std::string;
/// Errors: InvalidArgument for anything that encodePeerMessage() does not write.
auto decodePeerMessage(std::string_view text) -> absl::StatusOr<PeerMessage>;

} // namespace poplardock
