#include "Connection/OnlineRun.h"

#include "Connection/Refusal.h"
#include "Process/EventLog.h"

#include <algorithm>

namespace poplardock {

namespace {

constexpr const char *CONTENT_LENGTH = "Content-Length";
/// Time for a request whose caller names none and whose route has none.
constexpr Milliseconds USUAL_PATIENCE { 30000 };
/// Part of a target after which a silent upstream is left for another one: early enough for the other one to answer
/// within the target.
constexpr double STALL_PART = 0.7;
/// A gap between events is judged against its own target; going on elsewhere takes a connection and a prompt.
constexpr double GAP_PART = 0.7;
constexpr double SHORTEST_STALL_MS = 50;
/// Time without a first event after which a request is taken to wait for a slot, and the number of times that batch
/// work there is asked to make room. An engine's first event takes about 20 ms.
constexpr Milliseconds WAIT_CHECK_TIME { 60 };
constexpr int WAIT_CHECKS = 4;
/// Upstreams that may decline a request before the caller is told to come back.
constexpr int MAXIMUM_DECLINES = 4;
/// The same for those that lack the version of the weights that the request names. More are tried only in vain as a rule: upstreams of a
/// group change their weights together or in turn.
constexpr int MAXIMUM_VERSION_DECLINES = 2;
/// Bytes that a slow caller may leave unread before its upstream is slowed down too.
constexpr std::size_t QUEUE_BYTES = 256U << 10U;

} // namespace

OnlineRun::OnlineRun(FrontParts &parts, Order order)
    : parts_(parts)
    , order_(std::move(order))
{
}

OnlineRun::~OnlineRun() = default;

auto OnlineRun::isStream() const -> bool
{
    return order_.route->kind == RouteKind::Stream;
}

auto OnlineRun::deadlineOf(BootTime receivedAt, const RequestTerms &terms, const ServiceRoute &route) -> BootTime
{
    const Milliseconds patience = terms.patience.value_or(USUAL_PATIENCE);
    return receivedAt + (route.timeout.count() > 0 ? std::min(patience, route.timeout) : patience);
}

auto OnlineRun::start() -> void
{
    deadline_ = deadlineOf(order_.caller->receivedAt(), order_.terms, *order_.route);
    if (isStream() && order_.terms.lastEventId) {
        lastEventId_ = *order_.terms.lastEventId;
        hasEvents_ = true;
    }
    const auto self = shared_from_this();
    deadlineTimer_ = parts_.loop.at(deadline_, [weak = weak_from_this()] {
        if (const auto run = weak.lock()) {
            run->expire();
        }
    });
    order_.caller->setGoneHandler([self] { self->callerGone(); });
    order_.caller->setDrainHandler([self] {
        if (self->run_ != nullptr) {
            self->run_->resume();
        }
    });
    tryNext();
}

auto OnlineRun::tryNext() -> void
{
    const BootTime now = BootClock::now();
    const bool isTrial = order_.isCrashTrial && attempts_ == 0;
    if (!isTrial && parts_.crashes.refusedUntil(order_.subject, now)) {
        giveUp(mayHaveRun_ ? ResultCode::RetriesExhausted : ResultCode::RequestCrashesUpstreams, "such requests crash upstreams");
        return;
    }
    const auto views = parts_.directory.candidates(order_.group, now, order_.regions);
    const auto choice = chooseForOnline(views, excluded_, now, parts_.random());
    if (versionDeclines_ >= MAXIMUM_VERSION_DECLINES || (versionDeclines_ > 0 && !choice)) {
        giveUp(mayHaveRun_ ? ResultCode::RetriesExhausted : ResultCode::VersionUnavailable, "the version of the weights is not found");
        return;
    }
    if (!choice || declines_ >= MAXIMUM_DECLINES) {
        const bool isLimited = std::any_of(views.begin(), views.end(), [now](const UpstreamView &view) { return view.usableAt > now; });
        giveUp(mayHaveRun_           ? ResultCode::RetriesExhausted
               : choice || isLimited ? ResultCode::Overloaded
                                     : ResultCode::NoUpstream,
               parts_.directory.isWholeGroupEvacuated(order_.group, now) ? "all data centres with upstreams of the group are evacuated"
               : order_.regions.isRestricted()                           ? "no upstream is left in the allowed regions"
                                                                         : "no upstream is left");
        return;
    }
    startRun(views[choice->index], *choice);
}

auto OnlineRun::startRun(const UpstreamView &view, const OnlineChoice &choice) -> void
{
    const BootTime now = BootClock::now();
    const Upstream *upstream = parts_.directory.find(view.name);
    if (choice.needsPreemption) {
        makeRoomAt(view.name);
    }
    waitMs_ = expectedWaitMs(view);
    UpstreamTerms terms;
    terms.team = order_.team;
    terms.patience = std::chrono::duration_cast<Milliseconds>(deadline_ - now);
    terms.upstream = view.name;
    if (isStream() && hasEvents_) {
        terms.lastEventId = lastEventId_;
    }
    isJoining_ = hasEvents_ && order_.caller->hasBegun();
    UpstreamRun::Order run;
    run.call = { order_.caller->head().method,
                 order_.caller->head().target,
                 parts_.dialect.upstreamHeaders(order_.caller->head().headers, terms),
                 order_.caller->body() };
    run.requestId = order_.terms.requestId;
    run.upstream = view.name;
    run.address = upstream->address;
    run.isStream = isStream();
    run.needsEventIds = isStream() && order_.route->isResumable;
    run.namesWeightVersion = order_.terms.namesWeightVersion;
    run.needsFreshConnection = !order_.route->isRetryable;
    run.isTimed = view.online + view.batch < view.slots;
    run.subject = order_.subject;
    const auto self = shared_from_this();
    RunHandlers handlers;
    handlers.onHead = [self](const MessageHead &head) {
        self->takeHead(head);
    };
    handlers.onBody = [self](std::string_view bytes) {
        self->takeBody(bytes);
    };
    handlers.onEvent = [self](const StreamEvent &event) {
        self->takeEvent(event);
    };
    handlers.onEnd = [self](RunEnd end) {
        self->takeRunEnd(end);
    };
    result_ = {};
    EventLog::write("run_start",
                    { { "request", run.requestId },
                      { "upstream", view.name },
                      { "online", view.online },
                      { "batch", view.batch },
                      { "slots", view.slots },
                      { "expected_ms", choice.expectedMs },
                      { "yield", choice.needsPreemption } });
    run_ = std::make_shared<UpstreamRun>(parts_, std::move(run), std::move(handlers));
    const auto started = run_;
    started->start();
    if (run_ == started) {
        if (isStream()) {
            armWaitCheck(WAIT_CHECKS);
        }
        armStall(std::max(SHORTEST_STALL_MS, STALL_PART * static_cast<double>(order_.route->target.count())) + waitMs_);
    }
}

auto OnlineRun::makeRoomAt(const std::string &upstream) -> void
{
    if (parts_.yieldOwnBatch(upstream)) {
        return;
    }
    // By way of the own relay and that of another data centre to the daemon that has the work.
    constexpr int PREEMPTION_HOPS = 3;
    if (const Peer *next = parts_.peers.preemptionTarget(upstream, BootClock::now(), parts_.random())) {
        parts_.peerLink.send(next->address, PreemptionRequest { upstream, PREEMPTION_HOPS });
    }
}

auto OnlineRun::takeHead(const MessageHead &head) -> void
{
    result_.status = head.status;
    if (!isStream() || !HttpStatus::isSuccess(head.status)) {
        result_.headers = head.headers.withoutHopByHop();
        if (const std::string length(head.headers.valueOf(CONTENT_LENGTH)); order_.caller->isHeadRequest() && !length.empty()) {
            // The length of the body that a GET would return; replies without a body state none of their own.
            result_.headers.set(CONTENT_LENGTH, length);
        }
        return;
    }
    // A resumed stream keeps the headers of its first upstream.
    if (!order_.caller->hasBegun()) {
        order_.caller->begin(head.status, head.headers.withoutHopByHop());
    }
}

auto OnlineRun::takeBody(std::string_view bytes) -> void
{
    std::string &body = result_.body;
    const std::size_t needed = body.size() + bytes.size();
    if (needed > body.capacity()) {
        const std::size_t wanted = std::max(needed, 2 * body.capacity());
        if (!order_.caller->tryCollect(wanted)) {
            if (!isOver_) {
                parts_.metrics.count("answers_without_memory");
                giveUp(ResultCode::UpstreamLost, "no memory for the answer");
            }
            return;
        }
        body.reserve(wanted);
    }
    body.append(bytes);
}

auto OnlineRun::takeEvent(const StreamEvent &event) -> void
{
    if (event.id && hasEvents_ && *event.id <= lastEventId_) {
        EventLog::write("event_repeated",
                        { { "request", order_.terms.requestId }, { "upstream", run_->upstream() }, { "event", *event.id } });
        return;
    }
    if (isJoining_ && event.id && *event.id > lastEventId_ + 1) {
        refuseHole(*event.id);
        return;
    }
    isJoining_ = false;
    lastEventId_ = event.id.value_or(lastEventId_);
    hasEvents_ = hasEvents_ || event.id.has_value();
    order_.caller->sendPiece(event.raw);
    if (order_.caller->queuedBytes() > QUEUE_BYTES) {
        run_->pause();
        stallTimer_.cancel();
        return;
    }
    const double gap = static_cast<double>(order_.route->gapTarget.count());
    if (gap > 0 && order_.route->isResumable) {
        armStall(GAP_PART * gap);
    }
}

auto OnlineRun::refuseHole(std::int64_t eventId) -> void
{
    const auto run = run_;
    EventLog::write(
        "event_out_of_order",
        { { "request", order_.terms.requestId }, { "upstream", run->upstream() }, { "event", eventId }, { "due", lastEventId_ + 1 } });
    parts_.directory.recordFailure(run->upstream(), BootClock::now());
    run->cancel();
    takeRunEnd(RunEnd::Invalid);
}

auto OnlineRun::takeRunEnd(RunEnd end) -> void
{
    const std::string upstream = run_->upstream();
    run_ = nullptr;
    stallTimer_.cancel();
    if (end == RunEnd::NotRun || end == RunEnd::OtherVersion) {
        versionDeclines_ += end == RunEnd::OtherVersion ? 1 : 0;
        ++declines_;
        excluded_.insert(upstream);
        tryNext();
        return;
    }
    ++attempts_;
    mayHaveRun_ = true;
    if (end == RunEnd::Complete) {
        // A stream that has begun can end only with the answer's own end: an error of a later run is none.
        const bool isUsable = order_.caller->hasBegun() ? HttpStatus::isSuccess(result_.status) : result_.status < HttpStatus::SERVER_ERROR;
        if (isUsable || (!order_.caller->hasBegun() && !mayMove())) {
            answer();
            return;
        }
    }
    excluded_.insert(upstream);
    if (!mayMove() || !parts_.retries.tryAcquire(Clock::now())) {
        giveUp(end == RunEnd::Invalid ? ResultCode::UpstreamAnswerInvalid : ResultCode::UpstreamLost, "the answer broke off");
        return;
    }
    parts_.metrics.count("online_moves");
    tryNext();
}

auto OnlineRun::mayMove() const -> bool
{
    return order_.route->isRetryable && attempts_ < order_.route->maximumAttempts;
}

auto OnlineRun::answer() -> void
{
    EventLog::write("request_done",
                    { { "request", order_.terms.requestId },
                      { "status", result_.status },
                      { "attempts", attempts_ },
                      { "ms", millisecondsBetween(order_.caller->receivedAt(), BootClock::now()) } });
    parts_.metrics.count("online_answered");
    parts_.metrics.recordLatency("online_total", millisecondsBetween(order_.caller->receivedAt(), BootClock::now()));
    const auto caller = order_.caller;
    const HttpResult result = std::move(result_);
    end();
    if (caller->hasBegun()) {
        caller->sendPiece(result.body);
        caller->finish();
    } else {
        caller->reply(result);
    }
}

auto OnlineRun::armWaitCheck(int checks) -> void
{
    waitTimer_ = parts_.loop.at(BootClock::now() + WAIT_CHECK_TIME, [weak = weak_from_this(), checks] {
        const auto self = weak.lock();
        if (self == nullptr || self->run_ == nullptr || self->run_->hasFirst()) {
            return;
        }
        self->makeRoomAt(self->run_->upstream());
        if (checks > 1) {
            self->armWaitCheck(checks - 1);
        }
    });
}

auto OnlineRun::armStall(double milliseconds) -> void
{
    const auto wait = std::chrono::duration<double, std::milli>(milliseconds);
    stallTimer_ = parts_.loop.at(BootClock::now() + std::chrono::duration_cast<BootClock::duration>(wait), [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->stall();
        }
    });
}

auto OnlineRun::stall() -> void
{
    // An attempt that is given up counts as one; another one must be allowed beside it.
    const bool hasOther = order_.route->isRetryable && attempts_ + 1 < order_.route->maximumAttempts;
    if (run_ == nullptr || !hasOther || (run_->hasFirst() && !isStream())) {
        return;
    }
    auto excluded = excluded_;
    excluded.insert(run_->upstream());
    const BootTime now = BootClock::now();
    const auto choice = chooseForOnline(parts_.directory.candidates(order_.group, now, order_.regions), excluded, now, parts_.random());
    if (!choice || choice->expectedMs > static_cast<double>(order_.route->target.count()) || !parts_.retries.tryAcquire(Clock::now())) {
        return;
    }
    EventLog::write("run_stalled",
                    { { "request", order_.terms.requestId }, { "upstream", run_->upstream() }, { "had_first", run_->hasFirst() } });
    parts_.directory.recordFailure(run_->upstream(), BootClock::now());
    parts_.metrics.count("online_moves");
    excluded_ = std::move(excluded);
    if (run_->isSent()) {
        ++attempts_;
        mayHaveRun_ = true;
    }
    const auto stalled = std::move(run_);
    run_ = nullptr;
    stalled->cancel();
    tryNext();
}

auto OnlineRun::giveUp(ResultCode code, const char *reason) -> void
{
    EventLog::write("request_failed",
                    { { "request", order_.terms.requestId },
                      { "result", describe(code).name },
                      { "reason", reason },
                      { "attempts", attempts_ },
                      { "declines", declines_ },
                      { "ms", millisecondsBetween(order_.caller->receivedAt(), BootClock::now()) } });
    parts_.metrics.count("online_failed");
    const auto caller = order_.caller;
    end();
    if (caller->hasBegun()) {
        caller->breakOff();
        return;
    }
    caller->reply(refusalOf(parts_.dialect, code, reason, declines_ > 0 ? std::optional(DECLINED_RETRY_AFTER) : std::nullopt));
}

auto OnlineRun::expire() -> void
{
    mayHaveRun_ = mayHaveRun_ || (run_ != nullptr && run_->isSent());
    giveUp(mayHaveRun_ ? ResultCode::UpstreamTimedOut : ResultCode::Overloaded, "the deadline has passed");
}

auto OnlineRun::callerGone() -> void
{
    EventLog::write("caller_gone",
                    { { "request", order_.terms.requestId },
                      { "upstream", run_ == nullptr ? std::string() : run_->upstream() },
                      { "ms", millisecondsBetween(order_.caller->receivedAt(), BootClock::now()) } });
    parts_.metrics.count("online_callers_gone");
    end();
}

auto OnlineRun::end() -> void
{
    if (isOver_) {
        return;
    }
    isOver_ = true;
    deadlineTimer_.cancel();
    stallTimer_.cancel();
    waitTimer_.cancel();
    order_.caller->setGoneHandler(nullptr);
    order_.caller->setDrainHandler(nullptr);
    if (const auto run = std::move(run_)) {
        run->cancel();
    }
}

} // namespace poplardock
