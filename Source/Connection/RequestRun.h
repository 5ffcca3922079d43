#pragma once

#include "Connection/AnswerReceiver.h"
#include "Connection/CallerReply.h"
#include "Connection/CallerWatch.h"
#include "Connection/OnlineParts.h"
#include "Connection/UpstreamCall.h"
#include "Request/OnlineRequest.h"

#include <optional>
#include <set>
#include <string>

namespace poplardock {

/// The upstreams of a request in a version, leaving ones included. The pointers live as long as the version.
auto upstreamsOf(const FleetVersion &version, const OnlineRequest &request) -> std::vector<const Upstream *>;

/// Takes note of what the head of an answer says of its upstream's leaving. "sentAt": when the request was sent, or earlier.
/// Thread-safe.
auto noteLeaving(UpstreamTable &upstreams, Metrics &metrics, const std::string &upstream, const UpstreamHead &head, TimePoint sentAt)
    -> void;

/// What the crash of an upstream that runs the request is attributed to. Thread-safe.
auto crashSubjectOf(const OnlineRequest &request) -> CrashSubject;

/// Runs one admitted request: claims its idempotency key, sends it to upstreams by the rules for retries, and
/// answers the caller. Not thread-safe; used once.
class RequestRun
{
public:
    RequestRun(const OnlineParts &parts, const OnlineRequest &request, CallerReply &reply, CallerWatch::Registration &watch);

    /// Sends the answer or an error in every case.
    auto run() -> void;

private:
    /// False when the caller was answered from the claim.
    auto takeClaim() -> bool;
    auto runAttempts() -> void;
    /// One exchange with one upstream.
    auto attempt(const Upstream &upstream) -> UpstreamResult;
    /// The receiver's handlers, which also take note of an upstream that says it leaves, and withdraw the request from it.
    auto handlersFor(const Upstream &upstream, AnswerReceiver &receiver, TimePoint startedAt) -> UpstreamHandlers;
    auto learn(const Upstream &upstream,
               const UpstreamResult &result,
               const AnswerReceiver &receiver,
               TimePoint startedAt,
               InFlightRequest &work) -> void;
    auto finish(const UpstreamAnswer &answer) -> void;
    /// True when the request may go to another upstream after this failure.
    auto mayGoOn(const Upstream &upstream, const UpstreamFailure &failure) -> bool;
    /// Ends a run whose caller is gone or whose key is no longer valid.
    auto sendStopped() -> void;
    /// Says so if every upstream of the request's group is leaving; empty otherwise.
    [[nodiscard]] auto leavingReason() const -> std::string;
    auto sendFailure() -> void;
    auto recordDeathIfDead(const Upstream &upstream) -> void;

    const OnlineParts &parts_;
    const OnlineRequest &request_;
    CallerReply &reply_;
    CallerWatch::Registration &watch_;
    const CrashSubject crashSubject_;
    std::optional<Claim> claim_;
    std::set<std::string> tried_;
    /// Attempts of which an upstream got at least one byte.
    int sentAttempts_ = 0;
    /// Unset while no attempt failed.
    std::optional<UpstreamFailure> lastFailure_;
    bool isStreamed_ = false;
};

} // namespace poplardock
