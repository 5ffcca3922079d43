#include "Connection/UpstreamRun.h"

#include "Process/EventLog.h"

#include <absl/strings/match.h>
#include <absl/strings/str_join.h>

namespace poplardock {

namespace {

/// An idle connection that is older may be closed by the upstream at the moment of a send.
constexpr Milliseconds REUSE_TIME { 8000 };
constexpr Milliseconds FRESH_REUSE_TIME { 2500 };
/// The upstream's clock for idle connections starts earlier and ticks in whole seconds.
constexpr Milliseconds IDLE_MARGIN { 800 };
/// A connection to an upstream that crashed is refused at once; one to a sound upstream opens in this time.
constexpr Milliseconds PROBE_TIME { 300 };
/// Most bytes of an answer that is not streamed, and of one event.
constexpr std::size_t MAXIMUM_ANSWER_BYTES = 1U << 20U;

auto isEventStream(const MessageHead &head) -> bool
{
    const std::string_view type = head.headers.valueOf("Content-Type");
    return head.status == HttpStatus::OK
           && (type.empty() || absl::StartsWithIgnoreCase(absl::string_view(type.data(), type.size()), "text/event-stream"));
}

} // namespace

UpstreamRun::UpstreamRun(FrontParts &parts, Order order, RunHandlers handlers)
    : parts_(parts)
    , order_(std::move(order))
    , handlers_(std::move(handlers))
{
}

UpstreamRun::~UpstreamRun()
{
    cancel();
}

auto UpstreamRun::start() -> void
{
    parts_.directory.recordStart(order_.upstream, order_.work);
    reservedAt_ = BootClock::now();
    parts_.limits.takeToken(order_.upstream, reservedAt_);
    parts_.limits.cold().reserve(order_.upstream, reservedAt_);
    isCounted_ = true;
    const Milliseconds freshness = order_.needsFreshConnection ? FRESH_REUSE_TIME : REUSE_TIME;
    const auto take = [self = shared_from_this()](const std::shared_ptr<ClientChannel> &channel) {
        self->takeChannel(channel);
    };
    parts_.upstreams.acquire(order_.upstream, order_.address, freshness, order_.requestId, take);
}

auto UpstreamRun::takeChannel(const std::shared_ptr<ClientChannel> &channel) -> void
{
    const bool mayBeUsed = parts_.directory.mayBeUsed(order_.upstream, order_.address, BootClock::now());
    if (isDone_ || !mayBeUsed) {
        if (channel != nullptr) {
            parts_.upstreams.release(order_.upstream, channel);
        }
        if (!isDone_) {
            EventLog::write("run_withdrawn", { { "request", order_.requestId }, { "upstream", order_.upstream } });
            finish(RunEnd::NotRun);
        }
        return;
    }
    if (channel == nullptr) {
        parts_.directory.recordFailure(order_.upstream, BootClock::now());
        parts_.limits.cold().recordUnreachable(order_.upstream, BootClock::now());
        EventLog::write("upstream_unreachable", { { "request", order_.requestId }, { "upstream", order_.upstream } });
        finish(RunEnd::NotRun);
        return;
    }
    if (!parts_.limits.cold().confirm(order_.upstream, reservedAt_, BootClock::now())) {
        parts_.upstreams.release(order_.upstream, channel);
        parts_.metrics.count("cold_requests_withdrawn");
        EventLog::write("run_withdrawn", { { "request", order_.requestId }, { "upstream", order_.upstream }, { "cold", true } });
        finish(RunEnd::NotRun);
        return;
    }
    send(channel);
}

auto UpstreamRun::send(const std::shared_ptr<ClientChannel> &channel) -> void
{
    channel_ = channel;
    isSent_ = true;
    sentAt_ = BootClock::now();
    const auto self = shared_from_this();
    ExchangeHandlers handlers;
    handlers.accepts = [self](const MessageHead &head) {
        const AnswerTerms terms = self->parts_.dialect.answerTerms(head);
        const bool isOurs = terms.requestId == self->order_.requestId;
        if (!isOurs) {
            self->parts_.metrics.count("answers_of_other_requests");
            EventLog::write(
                "answer_skipped",
                { { "request", self->order_.requestId }, { "upstream", self->order_.upstream }, { "answers", terms.requestId } });
        }
        return isOurs;
    };
    handlers.onHead = [self](const MessageHead &head) {
        self->takeHead(head);
    };
    handlers.onBody = [self](std::string_view bytes) {
        self->takeBody(bytes);
    };
    handlers.onEnd = [self](ExchangeEnd end) {
        self->takeEnd(end);
    };
    channel->recordRequest(order_.requestId);
    channel->exchange(encodeCall(order_.call), std::move(handlers));
}

auto UpstreamRun::takeHead(const MessageHead &head) -> void
{
    hasHead_ = true;
    status_ = head.status;
    terms_ = parts_.dialect.answerTerms(head);
    // A misdirected request was answered by another upstream, whose figures these are.
    if (terms_.hasLoad && !terms_.isMisdirected) {
        parts_.directory.recordSlots(order_.upstream, terms_.slots);
    }
    if (terms_.slowdown && !terms_.isMisdirected) {
        parts_.directory.recordSlowdown(order_.upstream, *terms_.slowdown, BootClock::now());
    }
    if (terms_.idleTime) {
        channel_->setUsableFor(std::max(Milliseconds(0), *terms_.idleTime - IDLE_MARGIN));
    }
    // A misdirected request was answered by another upstream, at an address that was used again.
    if (terms_.isLeaving && !terms_.isMisdirected) {
        recordLeaving();
    }
    if (!terms_.isMisdirected) {
        parts_.limits.cold().recordAnswer(order_.upstream, terms_.coldRemaining, BootClock::now());
    }
    // An upstream that declines a request without naming a limit has not withdrawn the one that it named before.
    const bool isStatement = terms_.requestLimit.has_value() || !terms_.isNotRun;
    if (isStatement && !terms_.isMisdirected) {
        parts_.limits.recordStatement(order_.upstream, terms_.requestLimit, BootClock::now());
    }
    if (terms_.isNotRun || terms_.isMisdirected) {
        return;
    }
    if (HttpStatus::isSuccess(status_) && !terms_.isFromUpstream) {
        endInvalid("no_stamp");
        return;
    }
    if (order_.needsEventIds && HttpStatus::isSuccess(status_) && !isEventStream(head)) {
        endInvalid("no_event_stream");
        return;
    }
    handlers_.onHead(head);
}

auto UpstreamRun::recordLeaving() -> void
{
    const Upstream *upstream = parts_.directory.find(order_.upstream);
    if (upstream == nullptr || upstream->address != order_.address || !parts_.leaving.recordAnswer(*upstream, BootClock::now())) {
        return;
    }
    parts_.upstreams.drop(order_.upstream);
    parts_.metrics.count("upstreams_leaving_by_answer");
    EventLog::write("upstream_leaving",
                    { { "upstream", order_.upstream }, { "by", "answer" }, { "age_ms", 0 }, { "request", order_.requestId } });
    parts_.peerLink.sendReports();
}

auto UpstreamRun::takeBody(std::string_view bytes) -> void
{
    if (terms_.isNotRun || terms_.isMisdirected) {
        return;
    }
    const bool isWhole = !order_.isStream || !HttpStatus::isSuccess(status_);
    if (isWhole) {
        bodyBytes_ += bytes.size();
    } else {
        splitter_.feed(bytes);
        for (auto event = splitter_.next(); event && !isDone_; event = isDone_ ? std::nullopt : splitter_.next()) {
            if (order_.needsEventIds && !event->id) {
                endInvalid("event_without_id");
                return;
            }
            recordFirst();
            ++eventCount_;
            handlers_.onEvent(*event);
        }
    }
    if (isDone_) {
        return;
    }
    if (splitter_.isMalformed()) {
        endInvalid("no_event_stream");
    } else if (bodyBytes_ > MAXIMUM_ANSWER_BYTES || splitter_.heldBytes() > MAXIMUM_ANSWER_BYTES) {
        endInvalid("oversized");
    } else if (isWhole) {
        handlers_.onBody(bytes);
    }
}

auto UpstreamRun::endInvalid(const char *how) -> void
{
    recordLoss(how);
    const auto channel = channel_;
    channel->cancel();
    finish(RunEnd::Invalid);
}

auto UpstreamRun::recordLoss(const char *how) -> void
{
    const BootTime now = BootClock::now();
    parts_.directory.recordFailure(order_.upstream, now);
    EventLog::write("run_lost",
                    { { "request", order_.requestId },
                      { "upstream", order_.upstream },
                      { "how", how },
                      { "had_head", hasHead_ },
                      { "events", eventCount_ },
                      { "after_ms", millisecondsBetween(sentAt_, now) } });
}

auto UpstreamRun::recordFirst() -> void
{
    if (!hasFirst_) {
        hasFirst_ = true;
        if (order_.isTimed) {
            parts_.directory.recordFirstEvent(order_.upstream, millisecondsBetween(sentAt_, BootClock::now()), terms_.slowdown.value_or(1));
        }
    }
}

auto UpstreamRun::takeEnd(ExchangeEnd end) -> void
{
    const bool isEnded = end == ExchangeEnd::Complete || end == ExchangeEnd::Closed;
    if (isEnded && (terms_.isNotRun || terms_.isMisdirected)) {
        const bool isOtherVersion = terms_.isMisdirected && order_.namesWeightVersion;
        if (terms_.isMisdirected && !isOtherVersion) {
            // Most likely another upstream has the address now. The store tells for good, by the entry.
            parts_.directory.recordMisdirected(order_.upstream, BootClock::now());
            parts_.upstreams.drop(order_.upstream);
        }
        EventLog::write(
            "run_declined",
            { { "request", order_.requestId }, { "upstream", order_.upstream }, { "status", status_ }, { "waiting", terms_.waiting } });
        finish(isOtherVersion ? RunEnd::OtherVersion : RunEnd::NotRun);
        return;
    }
    if (isEnded && !splitter_.hasPartial()) {
        const bool mayBeCut = end == ExchangeEnd::Closed && HttpStatus::isSuccess(status_);
        if (mayBeCut) {
            finishClosed();
        } else {
            finishComplete(true);
        }
        return;
    }
    recordLoss(end == ExchangeEnd::Malformed ? "malformed" : isEnded ? "cut" : "broken");
    if (end == ExchangeEnd::Malformed) {
        finish(RunEnd::Invalid);
    } else {
        finishLost();
    }
}

auto UpstreamRun::finishComplete(bool isEvidence) -> void
{
    parts_.directory.recordSuccess(order_.upstream);
    // An answer that is no success says nothing about the time that a request takes.
    if (HttpStatus::isSuccess(status_)) {
        recordFirst();
        if (isEvidence) {
            parts_.crashes.recordAnswer(order_.subject, BootClock::now());
        }
        if (order_.work == Work::Online && order_.isTimed) {
            parts_.directory.recordServiceTime(
                order_.upstream, millisecondsBetween(sentAt_, BootClock::now()), terms_.slowdown.value_or(1));
        }
    }
    if (const std::string rest = splitter_.takeRest(); !rest.empty()) {
        handlers_.onBody(rest);
    }
    finish(RunEnd::Complete);
}

auto UpstreamRun::finishClosed() -> void
{
    probe([self = shared_from_this()](Reachability reachability) {
        if (self->isDone_) {
            return;
        }
        if (reachability != Reachability::Refusing) {
            self->finishComplete(reachability == Reachability::Accepting);
            return;
        }
        self->recordLoss("closed");
        self->parts_.limits.cold().recordUnreachable(self->order_.upstream, BootClock::now());
        self->recordCrash();
        self->finish(RunEnd::Lost);
    });
}

auto UpstreamRun::finishLost() -> void
{
    if (!mayCrashUpstreams()) {
        finish(RunEnd::Lost);
        return;
    }
    // The next attempt waits for the outcome, so that the request does not crash a further upstream meanwhile.
    probe([self = shared_from_this()](Reachability reachability) {
        if (reachability == Reachability::Refusing) {
            self->parts_.limits.cold().recordUnreachable(self->order_.upstream, BootClock::now());
            self->recordCrash();
        }
        self->finish(RunEnd::Lost);
    });
}

auto UpstreamRun::mayCrashUpstreams() const -> bool
{
    return order_.work == Work::Online && eventCount_ <= 1;
}

auto UpstreamRun::probe(std::function<void(Reachability)> handler) -> void
{
    Channel::probe(parts_.loop, order_.address, BootClock::now() + PROBE_TIME, std::move(handler));
}

auto UpstreamRun::recordCrash() -> void
{
    if (!mayCrashUpstreams()) {
        return;
    }
    parts_.crashes.recordCrash(order_.subject, order_.upstream, BootClock::now());
    EventLog::write("upstream_died",
                    { { "request", order_.requestId },
                      { "upstream", order_.upstream },
                      { "fingerprint", order_.subject.request.substr(0, 16) },
                      { "parts", absl::StrJoin(order_.subject.parts, ",") } });
}

auto UpstreamRun::finish(RunEnd end) -> void
{
    if (isDone_) {
        return;
    }
    const auto self = shared_from_this();
    isDone_ = true;
    release();
    const auto onEnd = std::move(handlers_.onEnd);
    handlers_ = {};
    if (onEnd) {
        onEnd(end);
    }
}

auto UpstreamRun::release() -> void
{
    if (isCounted_) {
        isCounted_ = false;
        parts_.directory.recordEnd(order_.upstream, order_.work);
    }
    if (channel_ != nullptr) {
        parts_.upstreams.release(order_.upstream, channel_);
        channel_ = nullptr;
    }
}

auto UpstreamRun::cancel() -> void
{
    if (isDone_) {
        return;
    }
    isDone_ = true;
    // cancel() may be called from one of the handlers, which must outlive its own call.
    parts_.loop.post([retired = std::exchange(handlers_, {})] { static_cast<void>(retired); });
    if (channel_ != nullptr) {
        const auto channel = channel_;
        channel->cancel();
    }
    release();
}

auto UpstreamRun::pause() -> void
{
    if (channel_ != nullptr) {
        channel_->pause();
    }
}

auto UpstreamRun::resume() -> void
{
    if (channel_ != nullptr) {
        channel_->resume();
    }
}

auto UpstreamRun::upstream() const -> const std::string &
{
    return order_.upstream;
}

auto UpstreamRun::isSent() const -> bool
{
    return isSent_;
}

auto UpstreamRun::hasFirst() const -> bool
{
    return hasFirst_;
}

} // namespace poplardock
