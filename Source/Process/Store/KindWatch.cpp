#include "Process/Store/KindWatch.h"

#include "Process/EventLog.h"

#include <algorithm>

namespace poplardock {

namespace {

/// Backoff after a failed call. The store charges for refused calls too, and a fleet whose daemons all retry at once
/// would exceed its rate limits.
constexpr Milliseconds MIN_BACKOFF { 80 };
constexpr Milliseconds MAX_BACKOFF { 500 };
constexpr int MAX_DOUBLINGS = 3;
/// Time after the start in which startupCoalescingDelay applies.
constexpr std::chrono::seconds STARTUP_TIME { 5 };

} // namespace

KindWatch::KindWatch(EventLoop &loop, ObjectStore &store, Options options, Handlers handlers)
    : loop_(loop)
    , store_(store)
    , options_(std::move(options))
    , handlers_(std::move(handlers))
    , isWatching_(options_.startsWatching)
    , random_(static_cast<unsigned>(BootClock::now().time_since_epoch().count()))
{
}

auto KindWatch::start() -> void
{
    startedAt_ = BootClock::now();
    list();
}

auto KindWatch::refresh() -> void
{
    ++generation_;
    timer_.cancel();
    list();
}

auto KindWatch::setWatching(bool isWatching) -> void
{
    if (isWatching == isWatching_) {
        return;
    }
    isWatching_ = isWatching;
    if (isWatching_) {
        isResuming_ = true;
        refresh();
    }
}

auto KindWatch::setWait(Milliseconds wait) -> void
{
    wait_ = wait;
}

auto KindWatch::isFailing() const -> bool
{
    return failures_ > 0;
}

auto KindWatch::isResuming() const -> bool
{
    return isResuming_;
}

auto KindWatch::confirmedAt() const -> BootTime
{
    return confirmedAt_;
}

auto KindWatch::list() -> void
{
    const BootTime sentAt = BootClock::now();
    store_.listAll(options_.kind, false, [this, sentAt, generation = generation_](const absl::StatusOr<StoreList> &list) {
        if (generation != generation_) {
            return;
        }
        if (!list.ok()) {
            retryAfterFailure(list.status());
            return;
        }
        revision_ = list->revision;
        handlers_.onList(*list);
        isResuming_ = false;
        recordSuccess(sentAt);
        if (isWatching_) {
            watch();
        }
    });
}

auto KindWatch::watch() -> void
{
    const BootTime sentAt = BootClock::now();
    store_.watch(options_.kind, revision_, wait_, [this, sentAt, generation = generation_](const absl::StatusOr<StoreEvents> &events) {
        if (generation != generation_) {
            return;
        }
        if (!events.ok()) {
            if (isWatching_) {
                retryAfterFailure(events.status());
            }
            return;
        }
        revision_ = std::max(revision_, events->revision);
        if (!events->events.empty()) {
            handlers_.onEvents(*events);
        }
        recordSuccess(sentAt);
        if (!isWatching_) {
            return;
        }
        const BootTime now = BootClock::now();
        const Milliseconds delay = now - startedAt_ < STARTUP_TIME ? options_.startupCoalescingDelay : options_.coalescingDelay;
        if (events->events.empty() || delay.count() == 0) {
            watch();
            return;
        }
        timer_ = loop_.at(now + delay, [this] { watch(); });
    });
}

auto KindWatch::recordSuccess(BootTime sentAt) -> void
{
    if (failures_ > 0) {
        EventLog::write("store_regained", { { "kind", options_.kind }, { "failed_calls", failures_ } });
    }
    failures_ = 0;
    confirmedAt_ = std::max(confirmedAt_, sentAt);
}

auto KindWatch::retryAfterFailure(const absl::Status &status) -> void
{
    if (failures_ == 0) {
        EventLog::write("store_lost", { { "kind", options_.kind }, { "reason", status.message() } });
    }
    const Milliseconds backoff = std::min(MAX_BACKOFF, MIN_BACKOFF * (1 << std::min(failures_, MAX_DOUBLINGS)));
    ++failures_;
    isResuming_ = true;
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    const auto delay = std::chrono::duration_cast<Milliseconds>(backoff * jitter(random_));
    // Retries with a list: it returns at once when the store is back, while a watch confirms nothing until it ends.
    timer_ = loop_.at(BootClock::now() + delay, [this] { list(); });
}

} // namespace poplardock
