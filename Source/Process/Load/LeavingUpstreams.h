#pragma once

#include "Process/Clock.h"
#include "Version/Upstream.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace poplardock {

/// An upstream that has said in an answer that it leaves, for the other daemons.
struct LeavingUpstream
{
    std::string upstream;
    /// "IP:port".
    std::string address;
    /// Unix milliseconds of the start of the upstream's run; 0 if it is unknown.
    std::int64_t startedAtMs = 0;
    /// Time since the latest answer that said so.
    Milliseconds age { 0 };

    auto operator==(const LeavingUpstream &) const -> bool = default;
};

/// The text of a mark, without line breaks. Precondition: name and address contain no white space. Thread-safe.
auto encodeLeavingUpstream(const LeavingUpstream &leaving) -> std::string;
/// Errors: InvalidArgument for anything that encodeLeavingUpstream() does not write. Thread-safe.
auto decodeLeavingUpstream(std::string_view text) -> absl::StatusOr<LeavingUpstream>;

/// The upstreams that have said in an answer, here or at another daemon, that they leave. Independent of their entries in the
/// store, which may be older: a mark ends only with its expiry or with an entry of a later run.
///
/// Daemons tell each other of new marks at once and of all marks at intervals, as with limits.
/// Times are passed in, so that tests need no clock. Thread safety: the loop's thread only.
class LeavingUpstreams
{
public:
    /// Marks that are kept; the oldest answers are dropped first.
    static constexpr std::size_t MAXIMUM_MARKS = 1024;
    /// Marks in one periodic message to another daemon.
    static constexpr std::size_t MAXIMUM_SENT_MARKS = 64;
    /// How long a mark holds after the latest answer: longer than an upstream takes to leave.
    static constexpr std::chrono::seconds RETENTION { 600 };

    /// Records that an answer of the upstream says that it leaves. Returns whether that is news.
    auto recordAnswer(const Upstream &upstream, BootTime now) -> bool;
    /// Whether the run that the entry describes, or a later one, has said that it leaves. Where either run is unknown, whether an
    /// upstream of that name and address has.
    [[nodiscard]] auto isLeaving(const Upstream &upstream, BootTime now) const -> bool;
    /// Has states() name all marks for a short time, for a daemon that has just started.
    auto announceAll(BootTime now) -> void;
    /// What to tell the other daemons in a periodic message.
    [[nodiscard]] auto states(BootTime now) const -> std::vector<LeavingUpstream>;
    /// Adds what another daemon knows. Returns the marks that are news here.
    auto merge(const std::vector<LeavingUpstream> &states, BootTime now) -> std::vector<LeavingUpstream>;
    auto removeExpired(BootTime now) -> void;
    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct Mark
    {
        std::string address;
        std::int64_t startedAtMs = 0;
        BootTime statedAt;
        /// When this daemon learnt of it.
        BootTime learntAt;
    };

    /// Returns whether the mark is new or of a later run than the one that is known.
    auto learn(const std::string &upstream, Mark mark) -> bool;

    std::map<std::string, Mark> marks_;
    BootTime announceAllUntil_;
};

} // namespace poplardock
