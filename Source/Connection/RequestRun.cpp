#include "Connection/RequestRun.h"

#include "Process/Log.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <thread>

namespace poplardock {

namespace {

constexpr int MAXIMUM_SENT_ATTEMPTS = 3;
constexpr int RETRY_AFTER_SECONDS = 1;
constexpr int FIRST_SERVER_ERROR = 500;
constexpr int FIRST_NOT_SUCCESS = 300;
/// A dying process closes its connections and its listening socket one after the other, so a connect that
/// still succeeds is tried again.
constexpr int DEATH_PROBES = 2;
constexpr Milliseconds DEATH_PROBE_INTERVAL { 30 };
constexpr Milliseconds DEATH_PROBE_TIMEOUT { 200 };
/// Of a sample of the time to the first token, at least this share is taken to be no wait.
constexpr double LEAST_PREFILL_SHARE = 0.1;

auto millisecondsBetween(TimePoint from, TimePoint to) -> double
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

auto refusesConnections(const Upstream &upstream) -> bool
{
    for (int probe = 0; probe < DEATH_PROBES; ++probe) {
        if (probe > 0) {
            std::this_thread::sleep_for(DEATH_PROBE_INTERVAL);
        }
        try {
            Poco::Net::StreamSocket socket;
            socket.connect(Poco::Net::SocketAddress(upstream.address),
                           Poco::Timespan(std::chrono::microseconds(DEATH_PROBE_TIMEOUT).count()));
        } catch (const Poco::Net::ConnectionRefusedException &) {
            return true;
        } catch (const Poco::Exception &) {
            // Neither refused nor accepted, for example a time-out, does not show a death.
        }
    }
    return false;
}

auto makeUpstreamRequest(const OnlineRequest &request) -> UpstreamRequest
{
    UpstreamRequest result { request.message.method, request.message.uri, {}, request.message.body, request.deadline };
    result.headers["X-Request-Id"] = request.id;
    if (!request.message.contentType.empty()) {
        result.headers["Content-Type"] = request.message.contentType;
    }
    if (!request.message.accept.empty()) {
        result.headers["Accept"] = request.message.accept;
    }
    return result;
}

} // namespace

auto upstreamsOf(const FleetVersion &version, const OnlineRequest &request) -> std::vector<const Upstream *>
{
    return request.model.empty() ? version.configuration.upstreamsOfGroup(request.group)
                                 : version.configuration.upstreamsOfModel(request.model);
}

auto crashSubjectOf(const OnlineRequest &request) -> CrashSubject
{
    return { crashFingerprint(request.team, request.message.uri, request.message.body), request.sharedParts };
}

auto noteLeaving(UpstreamTable &upstreams, Metrics &metrics, const std::string &upstream, const UpstreamHead &head, TimePoint sentAt)
    -> void
{
    const auto report = parseLoadReport(findHeader(head, "Load-Report"));
    if (report && upstreams.recordLeaving(upstream, report->isLeaving, sentAt, Clock::now())) {
        metrics.count("upstreams_leaving_by_answer");
    }
}

RequestRun::RequestRun(const OnlineParts &parts, const OnlineRequest &request, CallerReply &reply, CallerWatch::Registration &watch)
    : parts_(parts)
    , request_(request)
    , reply_(reply)
    , watch_(watch)
    , crashSubject_(crashSubjectOf(request))
{
}

auto RequestRun::run() -> void
{
    if (takeClaim()) {
        parts_.retryBudget.recordRequest(Clock::now());
        runAttempts();
    }
}

auto RequestRun::takeClaim() -> bool
{
    const CallerMessage &message = request_.message;
    if (request_.isRetryable || message.idempotencyKey.empty()) {
        return true;
    }
    auto result = parts_.claims.claim({ request_.team, message.idempotencyKey, message.method, message.uri, message.body });
    if (auto *claim = std::get_if<Claim>(&result)) {
        claim_ = std::move(*claim);
        return true;
    }
    if (const auto *answer = std::get_if<RecordedResponse>(&result)) {
        reply_.sendWhole({ answer->status, { { "Content-Type", answer->contentType } } }, answer->body);
        return false;
    }
    reply_.sendError(std::get<RequestError>(result));
    return false;
}

auto RequestRun::runAttempts() -> void
{
    while (true) {
        const FleetVersionPointer version = parts_.state.current();
        const Upstream *upstream = parts_.upstreams.choose(upstreamsOf(*version, request_), tried_, Clock::now());
        if (upstream == nullptr) {
            break;
        }
        tried_.insert(upstream->name);
        const UpstreamResult result = attempt(*upstream);
        if (const auto *answer = std::get_if<UpstreamAnswer>(&result)) {
            finish(*answer);
            return;
        }
        lastFailure_ = std::get<UpstreamFailure>(result);
        sentAttempts_ += lastFailure_->run == RunState::NotRun ? 0 : 1;
        if (lastFailure_->isStopped) {
            sendStopped();
            return;
        }
        if (!mayGoOn(*upstream, *lastFailure_)) {
            break;
        }
    }
    sendFailure();
}

auto RequestRun::attempt(const Upstream &upstream) -> UpstreamResult
{
    const TimePoint startedAt = Clock::now();
    AnswerReceiver receiver(reply_, watch_, claim_.has_value());
    if (parts_.yieldBatch && predictWaitMs(parts_.upstreams.snapshotOf(upstream.name), startedAt) > 0) {
        parts_.yieldBatch(upstream.name);
    }
    InFlightRequest work(parts_.upstreams, upstream.name, WorkKind::Online);
    // The answer of a claimed request is recorded even when its caller is gone, for when it sends again.
    const std::stop_token stop = claim_ ? std::stop_token() : watch_.stopToken();
    UpstreamResult result = callUpstream(upstream, makeUpstreamRequest(request_), handlersFor(upstream, receiver, startedAt), stop);
    if (receiver.isTooLarge()) {
        result = UpstreamFailure { RunState::MayHaveRun, ResultCode::UpstreamAnswerInvalid, "the answer is too large" };
    }
    if (auto *answer = std::get_if<UpstreamAnswer>(&result)) {
        answer->body = receiver.body();
        isStreamed_ = receiver.isStream();
    }
    learn(upstream, result, receiver, startedAt, work);
    return result;
}

auto RequestRun::handlersFor(const Upstream &upstream, AnswerReceiver &receiver, TimePoint startedAt) -> UpstreamHandlers
{
    UpstreamHandlers handlers = receiver.handlers();
    handlers.mayStart = [this, &upstream] {
        return !parts_.upstreams.isLeaving(upstream.name, Clock::now());
    };
    handlers.onHead = [this, &upstream, startedAt, receiveHead = handlers.onHead](const UpstreamHead &head) {
        noteLeaving(parts_.upstreams, parts_.metrics, upstream.name, head, startedAt);
        return receiveHead(head);
    };
    return handlers;
}

auto RequestRun::learn(const Upstream &upstream,
                       const UpstreamResult &result,
                       const AnswerReceiver &receiver,
                       TimePoint startedAt,
                       InFlightRequest &work) -> void
{
    const auto *answer = std::get_if<UpstreamAnswer>(&result);
    if (answer == nullptr) {
        work.setOutcome({ !std::get<UpstreamFailure>(result).isStopped, {}, {} });
        return;
    }
    const TimePoint now = Clock::now();
    if (const auto report = parseLoadReport(findHeader(answer->head, "Load-Report"))) {
        parts_.upstreams.recordReport(upstream.name, *report, now);
    }
    if (answer->head.status >= FIRST_NOT_SUCCESS) {
        // An error comes early and says nothing about the speed of the upstream.
        work.setOutcome({ answer->head.status >= FIRST_SERVER_ERROR, {}, {} });
        return;
    }
    RequestOutcome outcome { false, {}, millisecondsBetween(startedAt, now) };
    if (receiver.firstByteAt()) {
        const double firstByteMs = millisecondsBetween(startedAt, *receiver.firstByteAt());
        parts_.metrics.recordLatency("online_upstream_first_byte", firstByteMs);
        // The first byte of a whole chat answer comes after its last token.
        if (receiver.isStream() || request_.model.empty()) {
            const double waitMs = predictWaitMs(parts_.upstreams.snapshotOf(upstream.name), now);
            outcome.firstTokenMs = std::max(firstByteMs - waitMs, LEAST_PREFILL_SHARE * firstByteMs);
            outcome.waitMs = firstByteMs - *outcome.firstTokenMs;
        }
    }
    work.setOutcome(outcome);
}

auto RequestRun::finish(const UpstreamAnswer &answer) -> void
{
    if (answer.head.status < FIRST_NOT_SUCCESS) {
        parts_.crashes.recordAnswer(crashSubject_, BootClock::now());
    }
    if (claim_) {
        const auto recorded = parts_.claims.record(*claim_, { answer.head.status, findHeader(answer.head, "Content-Type"), answer.body });
        if (!recorded.ok()) {
            Log::warning(Part::Online, absl::StrCat("an answer was not recorded for its idempotency key: ", recorded.message()));
        }
    }
    if (isStreamed_ && reply_.isStarted()) {
        reply_.endStream();
        return;
    }
    reply_.sendWhole(answer.head, answer.body);
}

auto RequestRun::mayGoOn(const Upstream &upstream, const UpstreamFailure &failure) -> bool
{
    if (failure.isConnectionLost) {
        recordDeathIfDead(upstream);
    }
    const TimePoint now = Clock::now();
    if (reply_.isStarted() || now >= request_.deadline) {
        return false;
    }
    if (failure.run == RunState::NotRun) {
        return true;
    }
    return request_.isRetryable && sentAttempts_ < MAXIMUM_SENT_ATTEMPTS && !parts_.crashes.refusedUntil(crashSubject_, BootClock::now())
           && parts_.retryBudget.tryAcquire(now);
}

auto RequestRun::recordDeathIfDead(const Upstream &upstream) -> void
{
    if (refusesConnections(upstream)) {
        parts_.metrics.count("online_upstream_deaths");
        parts_.crashes.recordCrash(crashSubject_, upstream.name, BootClock::now());
        if (parts_.spreadDeath) {
            parts_.spreadDeath();
        }
    }
}

auto RequestRun::sendStopped() -> void
{
    if (watch_.isKeyInvalid() && reply_.isStarted()) {
        reply_.sendError({ ResultCode::StreamEnded, {} });
        return;
    }
    parts_.metrics.count("online_caller_gone");
    reply_.abandon();
}

auto RequestRun::leavingReason() const -> std::string
{
    const FleetVersionPointer version = parts_.state.current();
    const std::vector<const Upstream *> upstreams = upstreamsOf(*version, request_);
    const std::vector<UpstreamLoad> loads = parts_.upstreams.snapshot(upstreams);
    const bool areAllLeaving = std::all_of(loads.begin(), loads.end(), [](const UpstreamLoad &load) { return load.isDraining; });
    return upstreams.empty() || !areAllLeaving ? std::string()
                                               : absl::StrCat("all upstreams of ", upstreams.front()->group, " are leaving");
}

auto RequestRun::sendFailure() -> void
{
    if (sentAttempts_ == 0) {
        if (claim_) {
            parts_.claims.release(*claim_).IgnoreError();
        }
        const ResultCode code = lastFailure_ ? ResultCode::UpstreamConnectFailed : ResultCode::NoUpstream;
        reply_.sendError({ code, leavingReason(), RETRY_AFTER_SECONDS });
        return;
    }
    const bool isOwnCode = !reply_.isStarted() && request_.isRetryable && lastFailure_->code != ResultCode::UpstreamTimedOut;
    reply_.sendError({ isOwnCode ? ResultCode::RetriesExhausted : lastFailure_->code, {} });
}

} // namespace poplardock
