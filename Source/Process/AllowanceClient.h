#pragma once

#include "Process/AllowanceHome.h"
#include "Process/BorrowedTokens.h"
#include "Request/AllowanceDecision.h"
#include "Request/AllowancePolicy.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace poplardock {

/// Decides for each request whether its team is within its allowance: with the team's bucket when this daemon is the
/// team's home, otherwise with tokens borrowed from the home.
///
/// For each team there is at most one loan and one borrow in flight; requests that arrive meanwhile wait for that
/// borrow. After a refusal, no borrow is sent before the retry time that the home gave. A token of a loan is never
/// spent once LOAN_TERM has passed since the request for the loan was sent.
/// Thread safety: all methods may be called from any thread. No lock is held across a network call.
class AllowanceClient
{
public:
    /// Whether the request may be forwarded to the home (RelayToHome). Never for a job submission, since any daemon
    /// can store it.
    enum class Forwarding
    {
        Allowed,
        Never,
    };

    struct Options
    {
        TimeSource clock = Clock::now;
        /// Called for tokens spent from loans; may be empty. AllowanceHome records the tokens spent at the home.
        AdmissionRecorder recorder;
        /// Limits the connect to the home, and each wait for data from it.
        Milliseconds timeout { 500 };
        /// Waits before the home is asked again; blocks the thread of the request.
        std::function<void(Milliseconds)> pause = [](Milliseconds time) {
            std::this_thread::sleep_for(time);
        };
    };

    AllowanceClient(FleetState &state, AllowanceHome &home, PeerClients &peers, Options options);

    /// Spends a token for one request. Blocks for at most two calls to the home and the borrows that are already
    /// in flight, and for a fifth of a second more while the home waits for the handover by the former one. "now" is the arrival of the
    /// request; the time of spending is read from the clock.
    auto acquire(const std::string &team, TimePoint now, Forwarding forwarding = Forwarding::Allowed) -> AllowanceDecision;
    /// Returns the unused tokens of loans that are about to expire; while demand continues, the same message requests
    /// a new loan. To be called about every 100 ms from one thread.
    auto maintain() -> void;
    /// Demand, borrowed tokens and waiting requests of each team that has sent requests to this daemon, for the state
    /// dump.
    [[nodiscard]] auto toJson() -> JsonObject::Ptr;

private:
    struct TeamState
    {
        BorrowedTokens tokens;
        /// Whether a borrow or a return is in flight.
        bool isBorrowing = false;
        /// Requests that wait for the borrow in flight.
        std::int64_t waiting = 0;
    };

    /// The team and its home in the version in force; the pointers are valid as long as "version" is held.
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
    /// Nothing after a borrow: the caller locates the home again and retries.
    auto acquireBorrowed(const Location &location, Forwarding forwarding) -> std::optional<AllowanceDecision>;
    /// Borrows for a waiting request, with one retry, and more while the home is not acting yet. Records a loan or a refusal, or neither
    /// when this daemon has become the home.
    auto borrow(const Location &location, std::int64_t want) -> void;
    /// Borrows "want" tokens, or one for each waiting request if those are more. "ownNeed" is 1 when the calling
    /// thread itself has a request that waits, else 0.
    auto borrowOnce(const Location &location, std::int64_t want, std::int64_t ownNeed) -> BorrowResult;
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
