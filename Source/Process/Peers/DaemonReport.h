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

/// What a daemon tells the others of its data centre about itself, several times a second.
struct DaemonReport
{
    std::string name;
    std::string dataCentre;
    /// Unique for each start of a daemon.
    std::string incarnation;
    /// Grows with each report of an incarnation.
    std::uint64_t sequence = 0;
    /// The daemon shuts down; its jobs are to be taken over.
    bool isDraining = false;
    /// The daemon has had an answer of the store lately.
    bool hasStoreContact = true;
    /// Its work in flight, by upstream.
    WorkCounts work;
    /// Its demand in requests per second, by team.
    std::map<std::string, double> demand;
    /// Jobs that it owns and answers for.
    std::vector<std::string> jobs;
    /// Requests at whose run an upstream died, with the number of deaths that the daemon saw itself.
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
    /// Time since the sender of the digest heard that report.
    Milliseconds age { 0 };
    bool isDraining = false;
    bool hasStoreContact = true;
    std::vector<std::string> jobs;

    auto operator==(const DigestEntry &) const -> bool = default;
};

/// The living daemons of one data centre and the sums of their reports, as a relay tells them to the other data centres.
struct DataCentreDigest
{
    std::string dataCentre;
    /// Name of the relay that made it.
    std::string sender;
    /// Grows with each digest of an incarnation of the sender.
    std::uint64_t sequence = 0;
    /// A daemon of the receiving data centre has passed it on; it goes no further.
    bool isForwarded = false;
    std::vector<DigestEntry> daemons;
    WorkCounts work;
    /// A daemon with batch work, by upstream.
    std::map<std::string, std::string> batchHolders;
    std::map<std::string, double> demand;
    std::map<std::string, int> crashes;

    auto operator==(const DataCentreDigest &) const -> bool = default;
};

/// Asks a daemon to break off batch runs at an upstream, because an online request needs the slot.
struct PreemptionRequest
{
    std::string upstream;

    auto operator==(const PreemptionRequest &) const -> bool = default;
};

/// Asks the home of a team's allowance for one token.
struct TokenRequest
{
    std::string team;
    /// Chosen by the asker; the answer carries it.
    std::uint64_t correlationId = 0;

    auto operator==(const TokenRequest &) const -> bool = default;
};

struct TokenResponse
{
    enum class Outcome
    {
        Granted,
        Refused,
        /// The asked daemon does not take itself for the home.
        NotHome,
    };

    std::uint64_t correlationId = 0;
    Outcome outcome = Outcome::NotHome;
    /// Refused only: time until the next token.
    Milliseconds retryAfter { 0 };

    auto operator==(const TokenResponse &) const -> bool = default;
};

/// Asks a daemon how old its belief of the configuration is.
struct FreshnessRequest
{
    std::uint64_t correlationId = 0;

    auto operator==(const FreshnessRequest &) const -> bool = default;
};

struct FreshnessResponse
{
    std::uint64_t correlationId = 0;
    /// Revision of the configuration in force at the answering daemon.
    std::uint64_t configurationRevision = 0;
    /// Time since the call was sent by which the store confirmed it.
    Milliseconds age { 0 };
    /// Highest revision of an upstream's entry that the daemon has seen.
    std::uint64_t upstreamRevision = 0;

    auto operator==(const FreshnessResponse &) const -> bool = default;
};

using PeerMessage
    = std::variant<DaemonReport, DataCentreDigest, PreemptionRequest, TokenRequest, TokenResponse, FreshnessRequest, FreshnessResponse>;

/// One datagram's text. Precondition: names hold no blanks.
auto encodePeerMessage(const PeerMessage &message) -> std::string;
/// Errors: InvalidArgument for anything that encodePeerMessage() does not write.
auto decodePeerMessage(std::string_view text) -> absl::StatusOr<PeerMessage>;

} // namespace poplardock
