#pragma once

#include "Process/AllowanceHome.h"
#include "Request/AllowanceDecision.h"
#include "Request/AllowancePolicy.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace poplardock {

/// Decides for each request whether its team is within its allowance: at the home when this daemon is the
/// home, otherwise with tokens borrowed from the home.
///
/// Each team has at most one loan and one borrow in flight here; requests that arrive meanwhile wait for it.
/// A refusal by the home holds back further borrows until the home expects a token. Tokens of a loan are
/// never spent at or after LOAN_TERM from when the request for it was sent.
/// Thread safety: all methods may be called from any thread. No lock is held across a network call.
class AllowanceClient
{
public:
    struct Options
    {
        TimeSource clock = Clock::now;
        /// For tokens spent from loans; may be empty. The home records the tokens spent there.
        AdmissionRecorder recorder;
        /// Limit for the connect and for each wait for an answer of the home.
        Milliseconds timeout { 500 };
    };

    AllowanceClient(FleetState &state, AllowanceHome &home, PeerClients &peers, Options options);

    /// Spends a token for one request. Blocks for at most two calls to the home and the borrows that are already
    /// in flight. "now" is the arrival; the instant of spending is read from the clock.
    auto acquire(const std::string &team, TimePoint now) -> AllowanceDecision;
    /// Returns the unused tokens of loans that are about to lapse. To be called every 100 ms or so from one thread.
    auto maintain() -> void;

private:
    struct OpenLoan
    {
        std::int64_t number = 0;
        std::int64_t granted = 0;
        std::int64_t returned = 0;
        std::int64_t remaining = 0;
        TimePoint deadline;
    };

    /// The last result without a token, for all requests until the given time.
    struct Refusal
    {
        AllowanceDecision decision;
        TimePoint until;
    };

    struct TeamState
    {
        DemandEstimate demand;
        /// The last loan until the home has settled it; its tokens may be spent before its deadline.
        std::optional<OpenLoan> loan;
        bool isBorrowing = false;
        /// Requests that wait for the borrow in flight.
        std::int64_t waiting = 0;
        std::optional<Refusal> refusal;
    };

    /// Where a team's home is by the version in force; pointers live as long as the version.
    struct Location
    {
        Member self;
        FleetVersionPointer version;
        const Team *team = nullptr;
        const Member *home = nullptr;
        bool isHere = false;
    };

    using BorrowResult = std::variant<LoanAnswer, NotHomeAnswer, HomeNotActing, CallFailure>;

    auto locate(const std::string &team) const -> Location;
    auto acquireBorrowed(const Location &location) -> std::optional<AllowanceDecision>;
    auto borrow(const Location &location, std::int64_t want) -> void;
    auto borrowOnce(const Location &location, std::int64_t want) -> BorrowResult;
    auto send(const std::string &address, const LoanRequest &request) -> BorrowResult;
    auto prepare(const Location &location, TeamState &entry, std::int64_t want) -> LoanRequest;
    auto applyAnswer(const LoanRequest &request, const LoanAnswer &answer, TimePoint sentAt) -> void;
    auto choose(const Location &location, const TeamState &entry, TimePoint now) const -> AllowanceChoice;
    auto pendingReturns() -> std::vector<std::string>;
    auto returnTokens(const Location &location) -> BorrowResult;

    FleetState &state_;
    AllowanceHome &home_;
    PeerClients &peers_;
    const Options options_;
    std::mutex mutex_;
    std::condition_variable borrowEnded_;
    std::map<std::string, TeamState> teams_;
    std::int64_t nextNumber_ = 1;
};

} // namespace poplardock
