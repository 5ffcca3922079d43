#pragma once

#include "Process/AllowanceHome.h"
#include "Process/BorrowedTokens.h"
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
    /// Whether RelayToHome is an acceptable decision. It is not for a job submission, which any daemon can store.
    enum class Forwarding
    {
        Allowed,
        Never,
    };

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
    auto acquire(const std::string &team, TimePoint now, Forwarding forwarding = Forwarding::Allowed) -> AllowanceDecision;
    /// Returns the unused tokens of loans that are about to lapse, and takes a new loan with the same message
    /// while demand goes on. To be called every 100 ms or so from one thread.
    auto maintain() -> void;
    /// Demand, borrowed tokens and waiting requests of each team that has sent requests here, for the state dump.
    [[nodiscard]] auto toJson() -> JsonObject::Ptr;

private:
    struct TeamState
    {
        BorrowedTokens tokens;
        /// A borrow or a return is in flight.
        bool isBorrowing = false;
        /// Requests that wait for the borrow in flight.
        std::int64_t waiting = 0;
    };

    /// Where a team's home is by the version in force; pointers live as long as the version.
    struct Location
    {
        Member self;
        FleetVersionPointer version;
        const Team *team = nullptr;
        const Member *home = nullptr;
        bool isLocal = false;
    };

    using BorrowResult = std::variant<LoanResponse, NotHomeResponse, HomeNotActing, CallFailure>;

    auto locate(const std::string &team) const -> Location;
    auto acquireBorrowed(const Location &location, Forwarding forwarding) -> std::optional<AllowanceDecision>;
    /// Borrows for a request that waits, with one retry. Leaves a loan or a refusal, or neither when the home is here now.
    auto borrow(const Location &location, std::int64_t want) -> void;
    /// Borrows "want" tokens, or as many as requests wait; "own" is 1 when the caller is one of them.
    auto borrowOnce(const Location &location, std::int64_t want, std::int64_t own) -> BorrowResult;
    auto send(const std::string &address, const LoanRequest &request) -> BorrowResult;
    auto makeLoanRequest(const Location &location, TeamState &entry, std::int64_t want, std::int64_t need) -> LoanRequest;
    auto handleLoanResponse(const LoanRequest &request, const BorrowResult &result, TimePoint sentAt) -> void;
    static auto demandOf(const Location &location, const TeamState &entry, TimePoint now) -> AllowanceDemand;
    auto teamsDueForRenewal() -> std::vector<std::string>;
    auto renew(const Location &location) -> bool;

    FleetState &state_;
    AllowanceHome &home_;
    PeerClients &peers_;
    const Options options_;
    std::mutex mutex_;
    std::condition_variable borrowEnded_;
    std::map<std::string, TeamState> teams_;
    std::int64_t nextRequestNumber_ = 1;
};

} // namespace poplardock
