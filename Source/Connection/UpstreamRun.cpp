#include "Connection/UpstreamRun.h"

#include "Process/EventLog.h"

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
    parts_.limits.takeToken(order_.upstream, BootClock::now());
    isCounted_ = true;
    const Milliseconds freshness = order_.needsFreshConnection ? FRESH_REUSE_TIME : REUSE_TIME;
    parts_.upstreams.acquire(
        order_.upstream, order_.address, freshness, [self = shared_from_this()](const std::shared_ptr<ClientChannel> &channel) {
            if (self->isDone_) {
                if (channel != nullptr) {
                    self->parts_.upstreams.release(self->order_.upstream, channel);
                }
                return;
            }
            if (channel == nullptr) {
                self->parts_.directory.recordFailure(self->order_.upstream, BootClock::now());
                EventLog::write("upstream_unreachable", { { "request", self->order_.requestId }, { "upstream", self->order_.upstream } });
                self->finish(RunEnd::NotRun);
                return;
            }
            self->send(channel);
        });
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
    channel->exchange(encodeCall(order_.call), std::move(handlers));
}

auto UpstreamRun::takeHead(const MessageHead &head) -> void
{
    hasHead_ = true;
    status_ = head.status;
    terms_ = parts_.dialect.answerTerms(head);
    if (terms_.hasLoad) {
        parts_.directory.recordSlots(order_.upstream, terms_.slots);
    }
    if (terms_.idleTime) {
        channel_->setUsableFor(std::max(Milliseconds(0), *terms_.idleTime - IDLE_MARGIN));
    }
    // An upstream that declines a request without naming a limit has not withdrawn the one that it named before.
    const bool isStatement = terms_.requestLimit.has_value() || !terms_.isNotRun;
    if (isStatement && !terms_.isMisdirected) {
        parts_.limits.recordStatement(order_.upstream, terms_.requestLimit, BootClock::now());
    }
    if (!terms_.isNotRun && !terms_.isMisdirected) {
        handlers_.onHead(head);
    }
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
            recordFirst();
            ++eventCount_;
            handlers_.onEvent(*event);
        }
    }
    if (isDone_) {
        return;
    }
    if (bodyBytes_ > MAXIMUM_ANSWER_BYTES || splitter_.partialBytes() > MAXIMUM_ANSWER_BYTES) {
        endOversized();
    } else if (isWhole) {
        handlers_.onBody(bytes);
    }
}

auto UpstreamRun::endOversized() -> void
{
    parts_.directory.recordFailure(order_.upstream, BootClock::now());
    EventLog::write("run_lost",
                    { { "request", order_.requestId },
                      { "upstream", order_.upstream },
                      { "how", "oversized" },
                      { "had_head", hasHead_ },
                      { "after_ms", millisecondsBetween(sentAt_, BootClock::now()) } });
    const auto channel = channel_;
    channel->cancel();
    finish(RunEnd::Invalid);
}

auto UpstreamRun::recordFirst() -> void
{
    if (!hasFirst_) {
        hasFirst_ = true;
        if (order_.isTimed) {
            parts_.directory.recordFirstEvent(order_.upstream, millisecondsBetween(sentAt_, BootClock::now()));
        }
    }
}

auto UpstreamRun::takeEnd(ExchangeEnd end) -> void
{
    const BootTime now = BootClock::now();
    if (end == ExchangeEnd::Complete && (terms_.isNotRun || terms_.isMisdirected)) {
        if (terms_.isMisdirected) {
            // Another upstream has the address now: the one that this daemon knows is gone.
            parts_.directory.remove(order_.upstream);
            parts_.upstreams.drop(order_.upstream);
        }
        EventLog::write(
            "run_declined",
            { { "request", order_.requestId }, { "upstream", order_.upstream }, { "status", status_ }, { "waiting", terms_.waiting } });
        finish(RunEnd::NotRun);
        return;
    }
    const bool isCut = end == ExchangeEnd::Complete && splitter_.hasPartial();
    if (end == ExchangeEnd::Complete && !isCut) {
        parts_.directory.recordSuccess(order_.upstream);
        // An answer that is no success says nothing about the time that a request takes.
        const bool isSuccess = HttpStatus::isSuccess(status_);
        if (isSuccess) {
            recordFirst();
            recordAnswer();
        }
        if (isSuccess && order_.work == Work::Online && order_.isTimed) {
            parts_.directory.recordServiceTime(order_.upstream, millisecondsBetween(sentAt_, now));
        }
        finish(RunEnd::Complete);
        return;
    }
    parts_.directory.recordFailure(order_.upstream, now);
    EventLog::write("run_lost",
                    { { "request", order_.requestId },
                      { "upstream", order_.upstream },
                      { "how",
                        end == ExchangeEnd::Malformed ? "malformed"
                        : isCut                       ? "cut"
                                                      : "broken" },
                      { "had_head", hasHead_ },
                      { "events", eventCount_ },
                      { "after_ms", millisecondsBetween(sentAt_, now) } });
    if (end == ExchangeEnd::Malformed) {
        finish(RunEnd::Invalid);
    } else {
        finishLost();
    }
}

auto UpstreamRun::recordAnswer() -> void
{
    CrashSuspects &crashes = parts_.crashes;
    if (channel_->isReusable()) {
        crashes.recordAnswer(order_.subject, BootClock::now());
        return;
    }
    // A stream that ends with its connection looks whole, too, when the upstream crashes between two events.
    const bool mayHaveCrashed = order_.isStream && eventCount_ <= 1;
    if (!mayHaveCrashed && !crashes.isSuspect(order_.subject)) {
        return;
    }
    probe([&crashes, order = order_](Reachability reachability) {
        if (reachability == Reachability::Accepting) {
            crashes.recordAnswer(order.subject, BootClock::now());
        } else if (reachability == Reachability::Refusing) {
            recordCrash(crashes, order);
        }
    });
}

auto UpstreamRun::finishLost() -> void
{
    // A request that crashes upstreams does so as its answer begins; an item of a job never does.
    if (order_.work == Work::Batch || eventCount_ > 1) {
        finish(RunEnd::Lost);
        return;
    }
    // The next attempt waits for the outcome, so that the request does not crash a further upstream meanwhile.
    probe([self = shared_from_this()](Reachability reachability) {
        if (reachability == Reachability::Refusing) {
            recordCrash(self->parts_.crashes, self->order_);
        }
        self->finish(RunEnd::Lost);
    });
}

auto UpstreamRun::probe(std::function<void(Reachability)> handler) -> void
{
    Channel::probe(parts_.loop, order_.address, BootClock::now() + PROBE_TIME, std::move(handler));
}

auto UpstreamRun::recordCrash(CrashSuspects &crashes, const Order &order) -> void
{
    crashes.recordCrash(order.subject, order.upstream, BootClock::now());
    EventLog::write("upstream_died",
                    { { "request", order.requestId },
                      { "upstream", order.upstream },
                      { "fingerprint", order.subject.request.substr(0, 16) },
                      { "parts", absl::StrJoin(order.subject.parts, ",") } });
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
