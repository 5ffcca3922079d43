#include "Process/Batch/JobRunner.h"

#include "Process/EventLog.h"
#include "Process/Json.h"
#include "Request/ItemBackoff.h"
#include "Request/TextBound.h"
#include "Request/Utf8Text.h"

#include <algorithm>

namespace poplardock {

namespace {

constexpr Milliseconds TICK_PERIOD { 50 };
/// Time between the last event of an item and the receipt of its result by a caller: a write of the result log and the
/// caller's polling interval.
constexpr Milliseconds DELIVERY_TIME { 900 };
/// Slack below which an item may use the reserve and is not preempted.
constexpr Milliseconds URGENT_SLACK { 2500 };
/// An attempt without a first event within this time found no free slot. It is aborted, so that it does not delay the
/// online requests queued behind it.
constexpr Milliseconds FIRST_EVENT_TIMEOUT { 400 };
/// An attempt without a further event within this time counts as stalled.
constexpr Milliseconds STALL_TIMEOUT { 1200 };
constexpr Milliseconds DECLINED_BACKOFF { 100 };
constexpr Milliseconds PREEMPTION_BACKOFF { 30 };
/// Time after the removal of a route in which it may come back and its items run.
constexpr Milliseconds ROUTE_REMOVAL_TIME { 5000 };
/// Weight of one completed attempt in the moving averages.
constexpr double SAMPLE_WEIGHT = 0.1;
/// An item that has less than this fraction of its expected duration left is late in any case.
constexpr double FEASIBLE_FRACTION = 0.6;

} // namespace

JobRunner::JobRunner(FrontParts &context, JobRegistry &registry)
    : context_(context)
    , registry_(registry)
{
}

auto JobRunner::setStartCheck(std::function<bool(const std::string &id)> mayStart) -> void
{
    mayStart_ = std::move(mayStart);
}

auto JobRunner::start() -> void
{
    tickTimer_ = context_.loop.every(TICK_PERIOD, [this] { tick(); });
}

auto JobRunner::stop() -> void
{
    drain();
    tickTimer_.cancel();
    for (const std::string &id : registry_.ids()) {
        stopJob(id);
    }
}

auto JobRunner::drain() -> void
{
    isDraining_ = true;
}

auto JobRunner::runningCount() const -> std::size_t
{
    return active_.size();
}

auto JobRunner::tick() -> void
{
    const BootTime now = BootClock::now();
    giveUpExpired();
    abortStalled(now);
    if (isDraining_ || context_.version() == nullptr) {
        return;
    }
    const std::vector<WaitingItem> waiting = waitingItems(now);
    std::map<std::pair<std::string, RegionFilter>, std::vector<const WaitingItem *>> byTarget;
    for (const WaitingItem &each : waiting) {
        byTarget[{ each.group, each.regions }].push_back(&each);
    }
    for (const auto &[target, items] : byTarget) {
        startItems(items, now);
    }
}

auto JobRunner::giveUpExpired() -> void
{
    const auto now = WallClock::now();
    registry_.forEach([this, now](const std::string &id, OwnedJob &job) {
        const bool isExpired = now >= job.record().giveUpAt;
        if (!job.record().isOpen() || (!isExpired && !hasLostRoute(job, BootClock::now()))) {
            return;
        }
        bool hasResults = false;
        for (ItemProgress &item : job.items()) {
            // What runs when its route is removed may still complete.
            if (item.phase == ItemPhase::Waiting || (isExpired && item.phase == ItemPhase::Running)) {
                const char *reason = isExpired ? "expired" : "the route was removed";
                requeue({ id, item.item.id }, Milliseconds(0), reason);
                giveUp(job, item, reason);
                hasResults = true;
            }
        }
        if (hasResults) {
            registry_.scheduleCommit(id);
        }
    });
}

auto JobRunner::routeOf(const ServingVersion &version, const JobRecord &record) -> const ServiceRoute *
{
    const ServiceRoute *route = version.findRoute(record.host, record.prefix);
    return route != nullptr && route->kind == RouteKind::Batch ? route : nullptr;
}

auto JobRunner::hasLostRoute(OwnedJob &job, BootTime now) const -> bool
{
    const ServingVersionPointer version = context_.version();
    // A version that was the newest before the job was accepted may not have the route yet.
    const bool isNewer = version != nullptr && context_.versionConfirmedAt() > job.ownedSince();
    job.setRouteMissing(isNewer && routeOf(*version, job.record()) == nullptr, now);
    return job.routeMissingSince() && now - *job.routeMissingSince() > ROUTE_REMOVAL_TIME;
}

auto JobRunner::giveUp(OwnedJob &job, ItemProgress &item, std::string_view reason) -> void
{
    job.finishItem(item, false);
    EventLog::write("item_given_up", { { "item", item.item.id }, { "job", job.record().id }, { "reason", reason } });
}

auto JobRunner::abortStalled(BootTime now) -> void
{
    std::vector<std::pair<ItemKey, bool>> stalled;
    for (const auto &[key, active] : active_) {
        OwnedJob *job = registry_.find(key.job);
        const ItemProgress *item = job == nullptr ? nullptr : job->findItem(key.item);
        if (item == nullptr || item->phase != ItemPhase::Running) {
            stalled.emplace_back(key, false);
            continue;
        }
        const bool hasFirst = active.attempt->hasFirst();
        if ((!hasFirst && now - active.startedAt > FIRST_EVENT_TIMEOUT) || (hasFirst && now - active.lastEventAt > STALL_TIMEOUT)) {
            stalled.emplace_back(key, hasFirst);
        }
    }
    for (const auto &[key, hasFirst] : stalled) {
        if (hasFirst) {
            context_.directory.recordFailure(active_[key].attempt->upstream(), now);
        }
        requeue(key, DECLINED_BACKOFF, hasFirst ? "no further event in time" : "no free slot");
    }
}

auto JobRunner::rankOf(const OwnedJob &job, const ItemProgress &item) const -> int
{
    const double done = std::min(0.9, static_cast<double>(item.eventCount) / std::max(1.0, averageItemEvents_));
    const auto expected = std::chrono::duration<double, std::milli>(averageItemMs_ * (1 - done));
    const auto left = job.record().dueAt - WallClock::now() - DELIVERY_TIME;
    if (left < expected * FEASIBLE_FRACTION) {
        return 2;
    }
    return left < expected + URGENT_SLACK ? 0 : 1;
}

auto JobRunner::waitingItems(BootTime now) -> std::vector<WaitingItem>
{
    const ServingVersionPointer version = context_.version();
    std::vector<WaitingItem> waiting;
    registry_.forEach([this, now, &version, &waiting](const std::string &id, OwnedJob &job) {
        const JobRecord &record = job.record();
        const ServiceRoute *route = record.isOpen() ? routeOf(*version, record) : nullptr;
        if (route == nullptr) {
            return;
        }
        const RegionFilter regions = regionFilterOf(*version, record, context_.settings.regions);
        std::optional<bool> mayStart;
        for (const ItemProgress &item : job.items()) {
            if (item.phase != ItemPhase::Waiting || item.notBefore > now) {
                continue;
            }
            if (!mayStart) {
                mayStart = mayStart_(id);
            }
            if (!*mayStart) {
                return;
            }
            waiting.push_back(
                { { id, item.item.id }, groupOf(*route, context_.random()), regions, record.dueAt, rankOf(job, item), item.otherVersions });
        }
    });
    std::stable_sort(waiting.begin(), waiting.end(), [](const WaitingItem &a, const WaitingItem &b) {
        return a.rank != b.rank ? a.rank < b.rank : a.dueAt < b.dueAt;
    });
    return waiting;
}

auto JobRunner::startItems(const std::vector<const WaitingItem *> &waiting, BootTime now) -> void
{
    auto views = context_.directory.candidates(waiting.front()->group, now, waiting.front()->regions);
    const int reserve = BatchPlan::reservedSlots(context_.peers.propagationDelay());
    for (const std::string &upstream : BatchPlan::limitingUpstreams(views, reserve, now)) {
        context_.limits.recordShortage(upstream, now);
    }
    const double tickFraction = static_cast<double>(TICK_PERIOD.count()) / static_cast<double>(context_.peers.propagationDelay().count());
    std::uniform_real_distribution<double> uniform;
    int starts = BatchPlan::startsPerTick(views, reserve, context_.peers.daemonCount(now), tickFraction, uniform(context_.random), now);
    for (const WaitingItem *item : waiting) {
        const bool isUrgent = item->rank == 0;
        if (starts <= 0) {
            return;
        }
        const int kept = isUrgent ? 0 : reserve;
        const bool hasDeclines = !item->otherVersions.empty();
        const auto choice
            = hasDeclines ? chooseForVersion(*item, views, kept, now) : BatchPlan::chooseForBatch(views, kept, now, context_.random());
        if (!choice && hasDeclines) {
            continue;
        }
        if (!choice) {
            return;
        }
        startItem(*item, views[*choice].name);
        ++views[*choice].batch;
        context_.directory.updateLimits(views[*choice], now);
        --starts;
    }
}

auto JobRunner::chooseForVersion(const WaitingItem &waiting, const std::vector<UpstreamView> &views, int reserve, BootTime now)
    -> std::optional<std::size_t>
{
    std::vector<UpstreamView> others;
    std::vector<std::size_t> indexes;
    for (std::size_t index = 0; index < views.size(); ++index) {
        if (!waiting.otherVersions.contains(views[index].name)) {
            others.push_back(views[index]);
            indexes.push_back(index);
        }
    }
    if (others.empty()) {
        // All were tried. One of them may have the version later.
        if (OwnedJob *job = registry_.find(waiting.key.job)) {
            ItemProgress &item = *job->findItem(waiting.key.item);
            item.otherVersions.clear();
            ++item.losses;
            item.notBefore = now + ItemBackoff::afterLoss(item.losses);
        }
        return std::nullopt;
    }
    const auto choice = BatchPlan::chooseForBatch(others, reserve, now, context_.random());
    return choice ? std::optional(indexes[*choice]) : std::nullopt;
}

auto JobRunner::startItem(const WaitingItem &waiting, const std::string &upstreamName) -> void
{
    OwnedJob *job = registry_.find(waiting.key.job);
    ItemProgress *item = job->findItem(waiting.key.item);
    // A daemon of an earlier version may have accepted it.
    const absl::Status check = context_.dialect.checkItem(item->item);
    if (!check.ok()) {
        giveUp(*job, *item, std::string(check.message()));
        registry_.scheduleCommit(waiting.key.job);
        return;
    }
    const Upstream *upstream = context_.directory.find(upstreamName);
    const JobRecord &record = job->record();
    const auto timeout = std::chrono::duration_cast<Milliseconds>(record.giveUpAt - WallClock::now());
    UpstreamRun::Order order;
    order.call = { "POST",
                   item->item.path,
                   context_.dialect.upstreamHeaders(context_.dialect.itemHeaders(item->item, record.host),
                                                    { record.team, std::max(timeout, Milliseconds(1)), upstreamName, item->lastEventId }),
                   item->item.body };
    order.requestId = item->item.id;
    order.upstream = upstreamName;
    order.address = upstream->address;
    order.work = Work::Batch;
    order.isStream = true;
    order.needsEventIds = true;
    const RequestTerms terms = context_.dialect.requestTerms(order.call.headers);
    order.namesWeightVersion = terms.namesWeightVersion;
    order.subject = { crashFingerprint(record.team, item->item.path, item->item.body), terms.sharedParts };
    RunHandlers handlers;
    handlers.onHead = [this, key = waiting.key](const MessageHead &head) {
        const auto active = active_.find(key);
        if (active != active_.end()) {
            active->second.response.status = head.status;
        }
    };
    handlers.onBody = [](std::string_view) {
    };
    handlers.onEvent = [this, key = waiting.key](const StreamEvent &event) {
        onEvent(key, event);
    };
    handlers.onEnd = [this, key = waiting.key](RunEnd end) {
        onAttemptEnd(key, end);
    };
    EventLog::write("item_start",
                    { { "item", waiting.key.item },
                      { "job", waiting.key.job },
                      { "upstream", upstreamName },
                      { "after_event", item->lastEventId.value_or(0) },
                      { "rank", waiting.rank } });
    item->phase = ItemPhase::Running;
    const BootTime now = BootClock::now();
    ActiveAttempt active;
    active.attempt = std::make_shared<UpstreamRun>(context_, std::move(order), std::move(handlers));
    active.startedAt = now;
    active.lastEventAt = now;
    active.isUrgent = waiting.rank == 0;
    active.dueAt = record.dueAt;
    active.initialEventCount = item->eventCount;
    active.lastEventId = item->lastEventId;
    active.maximumTextBytes = maximumTextBytes(terms.outputTokens > 0 ? terms.outputTokens : item->item.tokens);
    const auto attempt = active.attempt;
    active_[waiting.key] = std::move(active);
    attempt->start();
}

auto JobRunner::onEvent(const ItemKey &key, const StreamEvent &event) -> void
{
    OwnedJob *job = registry_.find(key.job);
    ItemProgress *item = job == nullptr ? nullptr : job->findItem(key.item);
    const auto active = active_.find(key);
    if (item == nullptr || active == active_.end()) {
        return;
    }
    if (item->phase != ItemPhase::Running || item->lastEventId != active->second.lastEventId) {
        // The item's progress is not that of this attempt: its events would not join what the item has.
        requeue(key, Milliseconds(0), "progress replaced");
        return;
    }
    active->second.lastEventAt = BootClock::now();
    const std::int64_t expectedId = item->lastEventId ? *item->lastEventId + 1 : 0;
    if (item->lastEventId && event.id != expectedId) {
        // The events of successive attempts must join without a gap; otherwise the item restarts from its first event.
        EventLog::write("item_event_out_of_order", { { "item", key.item }, { "event", event.id.value_or(-1) }, { "due", expectedId } });
        restart(key, *item, ItemBackoff::afterLoss(item->losses + 1), "event out of order");
        return;
    }
    if (!isUtf8(event.data)) {
        // The store takes no such bytes, and no event of a sound upstream holds any.
        context_.metrics.count("items_no_text");
        context_.directory.recordFailure(active->second.attempt->upstream(), BootClock::now());
        // The next attempt resumes after the events that this one has brought.
        item->losses = item->eventCount > active->second.initialEventCount ? 1 : item->losses + 1;
        requeue(key, ItemBackoff::afterUnusableAnswer(item->losses), "the event is no text");
        return;
    }
    const std::size_t separatorBytes = item->eventCount > 0 ? 1 : 0;
    const std::size_t textBytes = item->text.size() + event.data.size() + separatorBytes;
    const std::size_t storedBytes = item->storedTextBytes + Json::encodedBytes(event.data) + 2 * separatorBytes;
    if (textBytes > active->second.maximumTextBytes || storedBytes > registry_.maximumStoredTextBytes()) {
        context_.metrics.count("items_oversized");
        context_.directory.recordFailure(active->second.attempt->upstream(), BootClock::now());
        restart(key, *item, ItemBackoff::afterUnusableAnswer(item->losses + 1), "the answer is longer than the item allows");
        return;
    }
    if (!registry_.tryReserveText(key.job, *item, textBytes)) {
        context_.metrics.count("items_without_memory");
        restart(key, *item, ItemBackoff::afterLoss(item->losses + 1), "no memory for the answer");
        return;
    }
    item->appendEvent(event.data);
    item->lastEventId = event.id;
    active->second.lastEventId = event.id;
}

auto JobRunner::restart(const ItemKey &key, ItemProgress &item, Milliseconds backoff, const char *reason) -> void
{
    item.discardAnswer();
    ++item.losses;
    registry_.updateCharge(key.job);
    requeue(key, backoff, reason);
}

auto JobRunner::onAttemptEnd(const ItemKey &key, RunEnd end) -> void
{
    const auto active = active_.find(key);
    OwnedJob *job = registry_.find(key.job);
    if (active == active_.end() || job == nullptr) {
        active_.erase(key);
        return;
    }
    ItemProgress *item = job->findItem(key.item);
    if (item->phase != ItemPhase::Running) {
        // The result log already has another daemon's result of the item; a second one must not be committed.
        active_.erase(active);
        return;
    }
    if (end == RunEnd::NotRun) {
        requeue(key, DECLINED_BACKOFF, "declined");
        return;
    }
    if (end == RunEnd::OtherVersion) {
        item->otherVersions.insert(active->second.attempt->upstream());
        requeue(key, DECLINED_BACKOFF, "other version of the weights");
        return;
    }
    if (end != RunEnd::Complete) {
        // The next attempt resumes after the last event.
        item->losses = active->second.attempt->hasFirst() ? 0 : item->losses + 1;
        requeue(key, ItemBackoff::afterLoss(item->losses), "lost");
        return;
    }
    const ServingVersionPointer version = context_.version();
    const ServiceRoute *route = version->findRoute(job->record().host, job->record().prefix);
    const ActiveAttempt ended = std::move(active->second);
    active_.erase(active);
    if (ended.initialEventCount == 0 && ended.response.status == HttpStatus::OK) {
        averageItemMs_ += SAMPLE_WEIGHT * (millisecondsBetween(ended.startedAt, BootClock::now()) - averageItemMs_);
        averageItemEvents_ += SAMPLE_WEIGHT * (item->eventCount - averageItemEvents_);
    }
    item->phase = ItemPhase::Waiting;
    evaluateResponse(key, *item, ended.response, route == nullptr ? 1 : route->maximumAttempts);
}

auto JobRunner::evaluateResponse(const ItemKey &key, ItemProgress &item, const HttpResult &response, int attemptLimit) -> void
{
    OwnedJob *job = registry_.find(key.job);
    const bool isSuccess = HttpStatus::isSuccess(response.status);
    if (response.status == HttpStatus::SERVER_ERROR) {
        ++item.failures;
    }
    if (isSuccess || response.status == HttpStatus::UNPROCESSABLE || item.failures >= attemptLimit) {
        EventLog::write("item_done",
                        { { "item", key.item },
                          { "job", key.job },
                          { "status", response.status },
                          { "events", item.eventCount },
                          { "failures", item.failures } });
        context_.metrics.count(isSuccess ? "items_completed" : "items_given_up");
        job->finishItem(item, isSuccess);
        registry_.scheduleCommit(key.job);
        return;
    }
    EventLog::write("item_failed",
                    { { "item", key.item }, { "job", key.job }, { "status", response.status }, { "failures", item.failures } });
    item.notBefore = BootClock::now() + ItemBackoff::afterLoss(1);
}

auto JobRunner::requeue(const ItemKey &key, Milliseconds backoff, const char *reason) -> void
{
    const auto active = active_.find(key);
    if (active == active_.end()) {
        return;
    }
    const auto attempt = active->second.attempt;
    active_.erase(active);
    attempt->cancel();
    OwnedJob *job = registry_.find(key.job);
    ItemProgress *item = job == nullptr ? nullptr : job->findItem(key.item);
    if (item != nullptr && item->phase == ItemPhase::Running) {
        item->phase = ItemPhase::Waiting;
        item->notBefore = BootClock::now() + backoff;
        EventLog::write("item_put_back",
                        { { "item", key.item },
                          { "job", key.job },
                          { "upstream", attempt->upstream() },
                          { "reason", reason },
                          { "events", item->eventCount } });
    }
}

auto JobRunner::preemptAt(const std::string &upstream) -> bool
{
    const std::pair<const ItemKey, ActiveAttempt> *best = nullptr;
    for (const auto &each : active_) {
        const ActiveAttempt &active = each.second;
        if (active.attempt->upstream() == upstream && !active.isUrgent && (best == nullptr || active.dueAt > best->second.dueAt)) {
            best = &each;
        }
    }
    if (best == nullptr) {
        return false;
    }
    context_.metrics.count("items_yielded");
    requeue(ItemKey(best->first), PREEMPTION_BACKOFF, "preempted by an online request");
    return true;
}

auto JobRunner::leaveEvacuated() -> void
{
    std::vector<ItemKey> keys;
    for (const auto &[key, active] : active_) {
        const Upstream *upstream = context_.directory.find(active.attempt->upstream());
        if (upstream != nullptr && context_.directory.isEvacuated(upstream->dataCentre)) {
            keys.push_back(key);
        }
    }
    for (const ItemKey &key : keys) {
        context_.metrics.count("items_evacuated");
        requeue(key, Milliseconds(0), "the data centre is evacuated");
    }
}

auto JobRunner::stopJob(const std::string &id) -> void
{
    std::vector<ItemKey> keys;
    for (const auto &[key, active] : active_) {
        if (key.job == id) {
            keys.push_back(key);
        }
    }
    for (const ItemKey &key : keys) {
        requeue(key, Milliseconds(0), "job aborted here");
    }
}

} // namespace poplardock
