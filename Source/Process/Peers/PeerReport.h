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

/// What a daemon tells the others about itself, several times a second.
struct PeerReport
{
    std::string name;
    /// Unique for each start of a daemon.
    std::string incarnation;
    /// Grows with each report of an incarnation.
    std::uint64_t sequence = 0;
    /// The daemon shuts down; its jobs are to be taken over.
    bool isLeaving = false;
    /// The daemon has had an answer of the store lately.
    bool hasStore = true;
    /// Its work in flight, by upstream.
    WorkCounts work;
    /// Its demand in requests per second, by team.
    std::map<std::string, double> demand;
    /// Jobs that it owns and answers for.
    std::vector<std::string> jobs;
    /// Requests at whose run an upstream died, with the number of deaths that the daemon saw itself.
    std::map<std::string, int> crashes;

    auto operator==(const PeerReport &) const -> bool = default;
};

/// Asks a daemon to break off batch runs at an upstream, because an online request needs the slot.
struct YieldRequest
{
    std::string upstream;

    auto operator==(const YieldRequest &) const -> bool = default;
};

using PeerMessage = std::variant<PeerReport, YieldRequest>;

/// One datagram's text. Precondition: names hold no blanks.
auto encodePeerMessage(const PeerMessage &message) -> std::string;
/// Errors: InvalidArgument for anything that encodePeerMessage() does not write.
auto decodePeerMessage(std::string_view text) -> absl::StatusOr<PeerMessage>;

} // namespace poplardock
