#pragma once

#include "Process/Clock.h"

#include <absl/status/statusor.h>

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace poplardock {

/// SHA-256 over team, path and body. Equal in every daemon. Thread-safe.
auto crashFingerprint(const std::string &team, const std::string &path, const std::string &body) -> std::string;

/// Id of a prompt part that is known by its text. Equal in every daemon. Thread-safe.
auto promptPartId(const std::string &text) -> std::string;

/// What the crash of an upstream may be attributed to: a request that was running there, or one part of its prompt that
/// other requests share.
struct CrashSubject
{
    /// The crashFingerprint() of the request.
    std::string request;
    /// Ids of the shared parts of the prompt, in order.
    std::vector<std::string> parts;

    auto operator==(const CrashSubject &) const -> bool = default;
};

/// That a request was beginning its answer at an upstream when the upstream crashed.
struct CrashSighting
{
    std::string upstream;
    /// Abbreviated fingerprint of the request.
    std::string request;
    Milliseconds age { 0 };

    auto operator==(const CrashSighting &) const -> bool = default;
};

/// What a daemon knows of one suspect, for the other daemons.
struct CrashSuspect
{
    /// Names a request or a prompt part; see CrashSuspects.
    std::string key;
    /// Position of the part in the longest prompt that had it; 0 for a request.
    int depth = 0;
    /// Time since a request with the part was last answered whole; unset if none was since the first sighting.
    std::optional<Milliseconds> answeredAge;
    std::vector<CrashSighting> sightings;

    auto operator==(const CrashSuspect &) const -> bool = default;
};

/// That a refused suspect is due to be tried again: by one request in the whole fleet, which shows whether it is sound.
struct CrashTrial
{
    /// Key of the suspect.
    std::string suspect;
    /// Key for the selection of the daemon whose turn it is; all daemons name the same one at the same time.
    std::string turn;

    auto operator==(const CrashTrial &) const -> bool = default;
};

/// The text of a suspect, without line breaks. Precondition: names of upstreams contain no white space. Thread-safe.
auto encodeCrashSuspect(const CrashSuspect &suspect) -> std::string;
/// Errors: InvalidArgument for anything that encodeCrashSuspect() does not write. Thread-safe.
auto decodeCrashSuspect(std::string_view text) -> absl::StatusOr<CrashSuspect>;

/// Finds out which requests, or which shared parts of prompts, crash the upstreams that run them, so that they can be
/// refused.
///
/// All requests that were beginning their answer at an upstream that crashed are suspects, with all their shared parts. A
/// whole answer clears its parts. Of the remaining suspects, those that explain the most crashes are refused: a crash
/// that is explained by one of them does not count against the others, which only happened to run there. A request is
/// refused after two crashes, a prompt part after three crashes under at least two different requests.
///
/// Crashes that have another cause, such as a power cut that takes all upstreams at once, can have a sound suspect refused,
/// and then no answer clears it any more. So refused suspects are tried again, by one request at a time and at growing
/// intervals, a few times only: each trial of a suspect that does crash upstreams costs one of them.
///
/// Daemons exchange what they know; states merge in any order, and each crash of an upstream counts once, however many
/// daemons have seen it. Bounded in size; each crash expires after ten minutes.
/// Times are passed in, so that tests need no clock. Thread-safe.
class CrashSuspects
{
public:
    /// Suspects that are kept; those with the fewest crashes are dropped first.
    static constexpr std::size_t MAXIMUM_SUSPECTS = 256;
    /// Crashes that are kept of one suspect, the latest.
    static constexpr std::size_t MAXIMUM_SIGHTINGS = 8;
    /// Sightings in one periodic message to another daemon.
    static constexpr std::size_t MAXIMUM_SENT_SIGHTINGS = 64;

    /// Records that an upstream crashed while the request was beginning its answer there. Call it only when the
    /// connection was lost and the upstream then refused a new one.
    auto recordCrash(const CrashSubject &subject, const std::string &upstream, BootTime now) -> void;
    /// Records that an upstream has answered the request whole.
    auto recordAnswer(const CrashSubject &subject, BootTime now) -> void;
    /// Until when the request is to be refused, which may end earlier; unset if it is not.
    [[nodiscard]] auto refusedUntil(const CrashSubject &subject, BootTime now) const -> std::optional<BootTime>;
    /// The trial for which the refused request may serve; unset if none is due or the turn is about to pass on, if this daemon
    /// awaits the outcome of one, and if the request has more than one refused suspect.
    [[nodiscard]] auto dueTrial(const CrashSubject &subject, BootTime now) const -> std::optional<CrashTrial>;
    /// Records that a request is sent as a trial. False if one of this daemon is under way already.
    auto startTrial(const CrashTrial &trial, BootTime now) -> bool;
    /// Crashes under the request of that fingerprint, whatever explains them.
    [[nodiscard]] auto crashCount(const std::string &fingerprint, BootTime now) const -> int;

    /// Has states() name the refused suspects for a short time, for a daemon that has just started.
    auto announceRefused(BootTime now) -> void;
    /// What to tell the other daemons in a periodic message, at most MAXIMUM_SENT_SIGHTINGS: suspects that have changed a
    /// short time ago and, at intervals and after announceRefused(), the refused ones.
    [[nodiscard]] auto states(BootTime now) const -> std::vector<CrashSuspect>;
    /// All suspects, for an exchange with one daemon at a time.
    [[nodiscard]] auto allStates(BootTime now) const -> std::vector<CrashSuspect>;
    /// Adds what another daemon knows. Invalid states are skipped.
    auto merge(const std::vector<CrashSuspect> &states, BootTime now) -> void;
    auto removeExpired(BootTime now) -> void;

private:
    struct Sighting
    {
        std::string upstream;
        std::string request;
        BootTime at;
    };
    struct Suspect
    {
        int depth = 0;
        std::optional<BootTime> answeredAt;
        /// When this daemon last learned something of it.
        BootTime changedAt;
        /// Until when the outcome of this daemon's last trial is awaited.
        BootTime trialUntil;
        std::vector<Sighting> sightings;
    };
    /// Numbers of the crashes, by upstream and time of a sighting.
    using CrashNumbers = std::map<std::pair<std::string, BootTime>, int>;
    /// Until when a suspect is refused, and from when it may be tried; unset when it has been tried often enough.
    struct Refusal
    {
        BootTime until;
        std::optional<BootTime> trialAt;
    };
    /// A suspect that is refused because of some crashes.
    struct Culprit
    {
        std::string key;
        std::set<int> crashes;
        Refusal refusal;
    };

    /// Returns whether it was new.
    static auto addSighting(Suspect &suspect, const Sighting &sighting) -> bool;
    static auto clearUpTo(Suspect &suspect, BootTime answeredAt) -> void;
    auto add(const std::string &key, int depth, const Sighting &sighting, BootTime now) -> bool;
    [[nodiscard]] static auto stateOf(const std::string &key, const Suspect &suspect, BootTime now) -> CrashSuspect;
    auto mergeState(const CrashSuspect &state, BootTime now) -> bool;
    auto dropExpired(BootTime now) -> void;
    /// Bounds the number of suspects after a change.
    auto dropExcess(BootTime now) -> void;
    auto refused() const -> const std::map<std::string, Refusal> &;
    /// The refused suspects among the request and its parts.
    [[nodiscard]] auto refusedKeysOf(const CrashSubject &subject, BootTime now) const -> std::vector<std::string>;
    /// Precondition: "times", those of the crashes of the suspect, are sorted and reach the limit for it.
    [[nodiscard]] static auto refusalOf(const std::string &key, const std::vector<BootTime> &times) -> Refusal;
    [[nodiscard]] auto numberCrashes() const -> CrashNumbers;
    /// The suspect with the most crashes beside the explained ones, if they are enough to refuse it.
    [[nodiscard]] auto findCulprit(const CrashNumbers &numbers, const std::set<int> &explained) const -> std::optional<Culprit>;

    mutable std::mutex mutex_;
    std::map<std::string, Suspect> suspects_;
    /// Until when states() names the refused suspects.
    BootTime announceRefusedUntil_;
    /// The value of refused(), computed when it is next needed after a change: crashes come in bursts.
    mutable std::optional<std::map<std::string, Refusal>> refused_;
};

} // namespace poplardock
