#pragma once

#include "Process/PeerExchange.h"
#include "Process/RootCommitter.h"
#include "Request/ResultCode.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <variant>

namespace poplardock {

/// The result of an operator's change.
struct ChangeAnswer
{
    std::uint64_t revision = 0;
    std::uint64_t configurationRevision = 0;
    std::size_t members = 0;
    /// Members that have the change in force, this daemon included.
    std::size_t confirmedBy = 0;
    /// The store could not be reached: the withdrawal is in force where it is confirmed and is written to the
    /// store later.
    bool isTombstone = false;

    /// True when a majority of the members has confirmed. Without it, members that are cut off from the store
    /// may be a majority among themselves and still act on the old revision.
    [[nodiscard]] auto isInForce() const -> bool;
    /// {"revision","configuration_revision","members","confirmed_by","in_force","tombstone"}.
    [[nodiscard]] auto toJson() const -> std::string;
    auto operator==(const ChangeAnswer &) const -> bool = default;
};

using ChangeResult = std::variant<ChangeAnswer, RequestError>;

/// Carries out operators' changes of the configuration. Each method returns when the change is committed and
/// all members have it in force, or 5 s after the commit.
///
/// A whole document names the configuration revision that it was made against and loses to any change of the
/// configuration since then. The single changes are applied to whatever configuration they meet, unless an
/// expected revision is given.
/// Common errors: ConfigurationConflict, ConfigurationInvalid, ConfigurationUncertain, StoreUnavailable,
/// StoreBudgetExhausted.
/// Thread safety: start() and stop() once each, from one thread; the other methods from any thread.
class ConfigurationEditor
{
public:
    using Expected = std::optional<std::uint64_t>;

    /// The references must outlive this object.
    ConfigurationEditor(FleetState &state, RootCommitter &committer, PeerExchange &exchange, std::uint64_t seed);
    ConfigurationEditor(const ConfigurationEditor &) = delete;
    auto operator=(const ConfigurationEditor &) -> ConfigurationEditor & = delete;
    ConfigurationEditor(ConfigurationEditor &&) = delete;
    auto operator=(ConfigurationEditor &&) -> ConfigurationEditor & = delete;
    ~ConfigurationEditor();

    /// Starts and stops the thread that writes tombstones to the store.
    auto start() -> void;
    auto stop() -> void;

    /// Replaces the configuration. An upstream without a credential keeps the one it had, since the document
    /// that operators read has none. A withdrawn key cannot be put back.
    auto apply(const JsonObject &document, std::uint64_t expected) -> ChangeResult;
    /// Withdraws a key here and at the peers at once, and then in the store; without the store the answer is a
    /// tombstone. Errors: TeamUnknown when there is no such key.
    auto withdrawKey(const std::string &keyId) -> ChangeResult;
    /// Errors: TeamUnknown.
    auto addKey(const std::string &team, const ApiKey &key, Expected expected) -> ChangeResult;
    /// Creates the team or sets its allowance. Units: requests per second, requests.
    auto setTeam(const std::string &team, double ratePerSecond, double burst, Expected expected) -> ChangeResult;
    /// Creates an online class or sets its targets. Errors: InvalidField for a batch class.
    auto setClass(const std::string &name, std::int64_t firstTokenMs, std::int64_t tokenGapMs, Expected expected) -> ChangeResult;
    /// Errors: UpstreamUnknown.
    auto leaveUpstream(const std::string &name, Expected expected) -> ChangeResult;

    /// Writes the tombstones that the version in force lacks to the store; start() repeats it.
    auto writeTombstones() -> void;

private:
    /// Changes the data in place. A value is the reason to refuse the change.
    using Edit = std::function<std::optional<RequestError>(Configuration::Data &)>;
    struct Outcome
    {
        FleetVersionPointer version;
        std::optional<RequestError> error;
    };

    auto commitEdit(const Edit &edit, Expected expected) -> Outcome;
    auto change(const Edit &edit, Expected expected) -> ChangeResult;
    auto answerFor(const FleetVersion &version) -> ChangeAnswer;

    FleetState &state_;
    RootCommitter &committer_;
    PeerExchange &exchange_;
    std::mt19937_64 random_;
    std::mutex mutex_;
    std::condition_variable_any stopped_;
    std::jthread thread_;
};

} // namespace poplardock
