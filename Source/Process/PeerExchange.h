#pragma once

#include "Process/FleetState.h"
#include "Process/Json.h"
#include "Process/PeerClients.h"
#include "Process/VersionWatcher.h"

#include <Poco/Dynamic/Var.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace poplardock {

/// Where and when a field of an exchange came from.
struct ExchangeSource
{
    std::string member;
    /// True for an answer to this daemon's own request, false for a request that the member sent. A request
    /// may be as old as a pause of this process.
    bool isAnswer = false;
    /// When the own request was sent, or the time of arrival of the member's request.
    TimePoint at;

    auto operator==(const ExchangeSource &) const -> bool = default;
};

/// What a member said in its last answer.
struct PeerReport
{
    std::string incarnation;
    std::uint64_t revision = 0;
    TimePoint sentAt;
    /// For how long the member had not heard each other member when it answered.
    std::map<std::string, Milliseconds> silence;
    std::set<std::string> tombstones;

    auto operator==(const PeerReport &) const -> bool = default;
};

struct ExchangeCounts
{
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesReceived = 0;
    /// Bytes of message bodies, without HTTP headers.
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t failures = 0;

    auto operator==(const ExchangeCounts &) const -> bool = default;
};

/// How many members have a change in force.
struct ConfirmationCount
{
    std::size_t members = 0;
    std::size_t confirmedBy = 0;

    auto operator==(const ConfirmationCount &) const -> bool = default;
};

/// Exchanges revisions, ages of confirmations, silence of members, withdrawn keys and registered fields with
/// up to 7 random members each second.
///
/// Confirmations and heard times are taken only from answers to own requests and dated from when the request
/// was sent. A request of a member raises only what is monotone.
/// Thread safety: start() and stop() once each, from one thread; addField() before start(); the other
/// methods from any thread. No lock is held across a call to a peer, a producer or a consumer.
class PeerExchange
{
public:
    using Producer = std::function<Poco::Dynamic::Var()>;
    using Consumer = std::function<void(const Poco::Dynamic::Var &, const ExchangeSource &)>;

    /// The references must outlive this object.
    PeerExchange(FleetState &state, VersionWatcher &watcher, PeerClients &peers, std::uint64_t seed);
    PeerExchange(const PeerExchange &) = delete;
    auto operator=(const PeerExchange &) -> PeerExchange & = delete;
    PeerExchange(PeerExchange &&) = delete;
    auto operator=(PeerExchange &&) -> PeerExchange & = delete;
    ~PeerExchange();

    /// Adds a field with a JSON value to each message. An empty value is left out. The consumer is called
    /// with the value of each message that has the field, from several threads. An exception that it throws
    /// is logged and has no other effect.
    /// Preconditions: before start(); the name is in use by no other field.
    auto addField(const std::string &name, Producer producer, Consumer consumer) -> void;
    auto setIncarnation(const std::string &incarnation) -> void;

    auto start() -> void;
    auto stop() -> void;

    /// Starts a round without waiting for the next second. Members with an unfinished exchange are left out.
    auto exchangeNow() -> void;
    /// One exchange with one member, in the calling thread.
    auto exchangeWith(const Member &member) -> absl::Status;
    /// Takes the request of a member and returns the answer. Errors: InvalidArgument.
    auto handleRequest(const std::string &body) -> absl::StatusOr<std::string>;

    /// Exchanges until all members have the revision in force or the deadline has passed.
    auto awaitRevision(std::uint64_t revision, TimePoint deadline) -> ConfirmationCount;
    /// As awaitRevision(), for a withdrawn key that is not in a version yet.
    auto awaitTombstone(const std::string &keyId, TimePoint deadline) -> ConfirmationCount;

    /// For how long each other member has not been heard, from the moment it became known here.
    [[nodiscard]] auto silence(TimePoint now) const -> std::map<std::string, Milliseconds>;
    /// The last answer of each member of the version in force, with the incarnation of its record.
    [[nodiscard]] auto reports() const -> std::map<std::string, PeerReport>;
    [[nodiscard]] auto counts() const -> ExchangeCounts;

private:
    struct Field
    {
        Producer producer;
        Consumer consumer;
    };

    auto makeMessage() const -> std::string;
    auto pendingTombstones(const FleetVersion &version) const -> std::vector<std::string>;
    auto acceptAnswer(const Member &member, const JsonObject &message, TimePoint sentAt, std::uint64_t sentRevision) -> absl::Status;
    auto raiseMonotone(const JsonObject &message) -> absl::Status;
    auto consumeFields(const JsonObject &message, const ExchangeSource &source) -> void;
    auto isPlausible(std::uint64_t revision) const -> bool;
    auto startRound() -> void;
    auto noteMembers(TimePoint now) -> void;
    /// Decides whether a member has a change in force, by its last answer and the version in force here.
    using ReportTest = std::function<bool(const FleetVersion &, const PeerReport &)>;
    auto awaitReports(const ReportTest &isConfirmed, TimePoint deadline) -> ConfirmationCount;
    auto countConfirmed(const FleetVersion &version, const ReportTest &isConfirmed) const -> ConfirmationCount;
    auto roundLoop(const std::stop_token &stop) -> void;
    auto workLoop(const std::stop_token &stop) -> void;

    FleetState &state_;
    VersionWatcher &watcher_;
    PeerClients &peers_;
    std::map<std::string, Field> fields_;

    mutable std::mutex mutex_;
    std::condition_variable_any changed_;
    std::mt19937_64 random_;
    std::string incarnation_;
    /// Members to exchange with, and the names of those queued or in an exchange.
    std::deque<Member> queue_;
    std::set<std::string> busy_;
    bool isRoundWanted_ = false;
    std::map<std::string, PeerReport> reports_;
    /// When a member with this name and incarnation was first seen in the table.
    std::map<std::pair<std::string, std::string>, TimePoint> knownSince_;
    ExchangeCounts counts_;
    std::vector<std::jthread> threads_;
};

} // namespace poplardock
