#include "Process/Batch/JobRunner.h"

#include "Process/CrashRegistry.h"
#include "Process/EventLog.h"

#include <algorithm>

namespace poplardock {

namespace {

constexpr Milliseconds ROUND_PERIOD { 50 };
/// Time between the last event of an item and its result at a reader: a log write and the reader's pause.
constexpr Milliseconds DELIVERY_TIME { 900 };
/// Slack below which an item may use the reserve and is not broken off.
constexpr Milliseconds URGENT_SLACK { 2500 };
/// A run that waits this long for its first event found no free slot; it goes back, so that it does not hold up
/// online requests behind it.
constexpr Milliseconds FIRST_EVENT_TIME { 400 };
/// A run without an event for this long is taken to be stuck.
constexpr Milliseconds EVENT_GAP { 1200 };
constexpr Milliseconds DECLINED_PAUSE { 100 };
constexpr Milliseconds FAILED_PAUSE { 300 };
constexpr Milliseconds YIELD_PAUSE { 30 };
/// Runs of one item at which an upstream died, after which it is not run again.
constexpr int ITEM_CRASH_LIMIT = 2;
/// Weight of one finished run in the learned time of a run.
constexpr double SAMPLE_WEIGHT = 0.1;
/// An item that has less than this part of its expected time is late anyway.
constexpr double FEASIBLE_PART = 0.6;

} // namespace

JobRunner::JobRunner(FrontParts &parts, JobBook &book)
    : parts_(parts)
    , book_(book)
{
}

auto JobRunner::start() -> void
{
    roundTimer_ = parts_.loop.every(ROUND_PERIOD, [this] { round(); });
}

auto JobRunner::stop() -> void
{
    drain();
    roundTimer_.cancel();
    for (const std::string &id : book_.ids()) {
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

auto JobRunner::round() -> void
{
    const BootTime now = BootClock::now();
    giveUpExpired();
    breakOffStalled(now);
    if (isDraining_ || parts_.version() == nullptr) {
        return;
    }
    const std::vector<Waiting> waiting = waitingItems(now);
    std::map<std::string, std::vector<const Waiting *>> byGroup;
    for (const Waiting &each : waiting) {
        byGroup[each.group].push_back(&each);
    }
    for (const auto &[group, items] : byGroup) {
        startItems(group, items, now);
    }
}

auto JobRunner::giveUpExpired() -> void
{
    const auto now = WallClock::now();
    book_.forEach([this, now](const std::string &id, OwnedJob &job) {
        if (!job.record().isOpen() || now < job.record().giveUpAt) {
            return;
        }
        bool hasNew = false;
        for (ItemProgress &item : job.items()) {
            if (item.state == ItemPhase::Waiting || item.state == ItemPhase::Running) {
                putBack({ id, item.item.id }, Milliseconds(0), "its time has passed");
                job.finishItem(item, false);
                hasNew = true;
                EventLog::write("item_given_up", { { "item", item.item.id }, { "job", id }, { "reason", "its time has passed" } });
            }
        }
        if (hasNew) {
            book_.resultReady(id);
        }
    });
}

auto JobRunner::breakOffStalled(BootTime now) -> void
{
    std::vector<std::pair<ItemKey, bool>> stalled;
    for (const auto &[key, run] : active_) {
        OwnedJob *job = book_.find(key.job);
        const ItemProgress *item = job == nullptr ? nullptr : job->findItem(key.item);
        if (item == nullptr || item->state != ItemPhase::Running) {
            stalled.emplace_back(key, false);
            continue;
        }
        const bool hasFirst = run.run->hasFirst();
        if ((!hasFirst && now - run.startedAt > FIRST_EVENT_TIME) || (hasFirst && now - run.lastEventAt > EVENT_GAP)) {
            stalled.emplace_back(key, hasFirst);
        }
    }
    for (const auto &[key, hasFirst] : stalled) {
        if (hasFirst) {
            parts_.directory.recordFailure(active_[key].run->upstream(), now);
        }
        putBack(key, DECLINED_PAUSE, hasFirst ? "no event came" : "no slot was free");
    }
}

auto JobRunner::rankOf(const OwnedJob &job, const ItemProgress &item) const -> int
{
    const double done = std::min(0.9, static_cast<double>(item.eventCount) / std::max(1.0, itemEvents_));
    const auto expected = std::chrono::duration<double, std::milli>(itemMs_ * (1 - done));
    const auto left = job.record().dueAt - WallClock::now() - DELIVERY_TIME;
    if (left < expected * FEASIBLE_PART) {
        return 2;
    }
    return left < expected + URGENT_SLACK ? 0 : 1;
}

auto JobRunner::waitingItems(BootTime now) -> std::vector<Waiting>
{
    const ServingVersionPointer version = parts_.version();
    std::vector<Waiting> waiting;
    book_.forEach([this, now, &version, &waiting](const std::string &id, OwnedJob &job) {
        const JobRecord &record = job.record();
        const ServiceRoute *route = record.isOpen() ? version->findRoute(record.host, record.prefix) : nullptr;
        if (route == nullptr || route->kind != RouteKind::Batch) {
            return;
        }
        for (const ItemProgress &item : job.items()) {
            if (item.state == ItemPhase::Waiting && item.notBefore <= now && item.crashes < ITEM_CRASH_LIMIT) {
                waiting.push_back({ { id, item.item.id }, groupOf(*route, parts_.random()), record.dueAt, rankOf(job, item) });
            }
        }
    });
    std::stable_sort(waiting.begin(), waiting.end(), [](const Waiting &a, const Waiting &b) {
        return a.rank != b.rank ? a.rank < b.rank : a.dueAt < b.dueAt;
    });
    return waiting;
}

auto JobRunner::startItems(const std::string &group, const std::vector<const Waiting *> &waiting, BootTime now) -> void
{
    auto views = parts_.directory.candidates(group);
    const int reserve = BatchPlan::reservedSlots(parts_.peers.beliefPeriod());
    const double roundPart = static_cast<double>(ROUND_PERIOD.count()) / static_cast<double>(parts_.peers.beliefPeriod().count());
    std::uniform_real_distribution<double> uniform;
    int starts = BatchPlan::startsPerRound(views, reserve, parts_.peers.daemonCount(now), roundPart, uniform(parts_.random), now);
    for (const Waiting *item : waiting) {
        const bool isUrgent = item->rank == 0;
        if (starts <= 0) {
            return;
        }
        const auto choice = BatchPlan::chooseForBatch(views, isUrgent ? 0 : reserve, now, parts_.random());
        if (!choice) {
            return;
        }
        startItem(*item, views[*choice].name);
        ++views[*choice].batch;
        --starts;
    }
}

auto JobRunner::startItem(const Waiting &waiting, const std::string &upstreamName) -> void
{
    OwnedJob *job = book_.find(waiting.key.job);
    ItemProgress *item = job->findItem(waiting.key.item);
    const Upstream *upstream = parts_.directory.find(upstreamName);
    const JobRecord &record = job->record();
    const auto patience = std::chrono::duration_cast<Milliseconds>(record.giveUpAt - WallClock::now());
    UpstreamRun::Order order;
    order.call = { "POST",
                   item->item.path,
                   parts_.dialect.upstreamHeaders(parts_.dialect.itemHeaders(item->item, record.host),
                                                  { record.team, std::max(patience, Milliseconds(1)), upstreamName, item->lastEventId }),
                   item->item.body };
    order.requestId = item->item.id;
    order.upstream = upstreamName;
    order.address = upstream->address;
    order.work = Work::Batch;
    order.isStream = true;
    order.fingerprint = crashFingerprint(record.team, item->item.path, item->item.body);
    RunHandlers handlers;
    handlers.onHead = [this, key = waiting.key](const MessageHead &head) {
        const auto active = active_.find(key);
        if (active != active_.end()) {
            active->second.answer.status = head.status;
        }
    };
    handlers.onBody = [](std::string_view) {
    };
    handlers.onEvent = [this, key = waiting.key](const StreamEvent &event) {
        takeEvent(key, event);
    };
    handlers.onEnd = [this, key = waiting.key](RunEnd end) {
        takeEnd(key, end);
    };
    EventLog::write("item_start",
                    { { "item", waiting.key.item },
                      { "job", waiting.key.job },
                      { "upstream", upstreamName },
                      { "after_event", item->lastEventId.value_or(0) },
                      { "rank", waiting.rank } });
    item->state = ItemPhase::Running;
    const BootTime now = BootClock::now();
    ActiveRun active;
    active.run = std::make_shared<UpstreamRun>(parts_, std::move(order), std::move(handlers));
    active.startedAt = now;
    active.lastEventAt = now;
    active.isUrgent = waiting.rank == 0;
    active.dueAt = record.dueAt;
    active.eventsBefore = item->eventCount;
    const auto run = active.run;
    active_[waiting.key] = std::move(active);
    run->start();
}

auto JobRunner::takeEvent(const ItemKey &key, const StreamEvent &event) -> void
{
    OwnedJob *job = book_.find(key.job);
    ItemProgress *item = job == nullptr ? nullptr : job->findItem(key.item);
    const auto active = active_.find(key);
    if (item == nullptr || active == active_.end()) {
        return;
    }
    active->second.lastEventAt = BootClock::now();
    const std::int64_t due = item->lastEventId ? *item->lastEventId + 1 : 0;
    if (item->lastEventId && event.id && *event.id != due) {
        // The pieces of two runs must fit without a gap; this one does not, so the item starts from its first event.
        EventLog::write("item_event_out_of_order", { { "item", key.item }, { "event", *event.id }, { "due", due } });
        item->lastEventId.reset();
        item->text.clear();
        item->eventCount = 0;
        putBack(key, FAILED_PAUSE, "an event is out of order");
        return;
    }
    item->text.append(item->eventCount > 0 ? "\n" : "").append(event.data);
    ++item->eventCount;
    if (event.id) {
        item->lastEventId = event.id;
    }
}

auto JobRunner::takeEnd(const ItemKey &key, RunEnd end) -> void
{
    const auto active = active_.find(key);
    OwnedJob *job = book_.find(key.job);
    if (active == active_.end() || job == nullptr) {
        active_.erase(key);
        return;
    }
    ItemProgress *item = job->findItem(key.item);
    if (item->state != ItemPhase::Running) {
        // Another daemon's result of the item stands in the log; this one must not be listed beside it.
        active_.erase(active);
        return;
    }
    if (end == RunEnd::NotRun) {
        putBack(key, DECLINED_PAUSE, "declined");
        return;
    }
    if (end != RunEnd::Complete) {
        // A run that broke off goes on after its last event; whether the upstream died is known a moment later.
        const std::string fingerprint = crashFingerprint(job->record().team, item->item.path, item->item.body);
        item->crashes = parts_.crashes.deathsOf(fingerprint) + parts_.peers.crashes(fingerprint, BootClock::now());
        putBack(key, FAILED_PAUSE, "lost");
        return;
    }
    const ServingVersionPointer version = parts_.version();
    const ServiceRoute *route = version->findRoute(job->record().host, job->record().prefix);
    const ActiveRun ended = std::move(active->second);
    active_.erase(active);
    if (ended.eventsBefore == 0 && ended.answer.status == HttpStatus::OK) {
        itemMs_ += SAMPLE_WEIGHT * (millisecondsBetween(ended.startedAt, BootClock::now()) - itemMs_);
        itemEvents_ += SAMPLE_WEIGHT * (item->eventCount - itemEvents_);
    }
    item->state = ItemPhase::Waiting;
    judgeAnswer(key, *item, ended.answer, route == nullptr ? 1 : route->maximumAttempts);
}

auto JobRunner::judgeAnswer(const ItemKey &key, ItemProgress &item, const HttpResult &answer, int attemptLimit) -> void
{
    OwnedJob *job = book_.find(key.job);
    const bool isSuccess = HttpStatus::isSuccess(answer.status);
    if (answer.status == HttpStatus::SERVER_ERROR) {
        ++item.failures;
    }
    if (isSuccess || answer.status == HttpStatus::UNPROCESSABLE || item.failures >= attemptLimit) {
        EventLog::write("item_done",
                        { { "item", key.item },
                          { "job", key.job },
                          { "status", answer.status },
                          { "events", item.eventCount },
                          { "failures", item.failures } });
        parts_.metrics.count(isSuccess ? "items_completed" : "items_given_up");
        job->finishItem(item, isSuccess);
        book_.resultReady(key.job);
        return;
    }
    EventLog::write("item_failed",
                    { { "item", key.item }, { "job", key.job }, { "status", answer.status }, { "failures", item.failures } });
    item.notBefore = BootClock::now() + FAILED_PAUSE;
}

auto JobRunner::putBack(const ItemKey &key, Milliseconds pause, const char *reason) -> void
{
    const auto active = active_.find(key);
    if (active == active_.end()) {
        return;
    }
    const auto run = active->second.run;
    active_.erase(active);
    run->cancel();
    OwnedJob *job = book_.find(key.job);
    ItemProgress *item = job == nullptr ? nullptr : job->findItem(key.item);
    if (item != nullptr && item->state == ItemPhase::Running) {
        item->state = ItemPhase::Waiting;
        item->notBefore = BootClock::now() + pause;
        EventLog::write("item_put_back",
                        { { "item", key.item },
                          { "job", key.job },
                          { "upstream", run->upstream() },
                          { "reason", reason },
                          { "events", item->eventCount } });
    }
}

auto JobRunner::yieldAt(const std::string &upstream) -> bool
{
    const std::pair<const ItemKey, ActiveRun> *best = nullptr;
    for (const auto &each : active_) {
        const ActiveRun &run = each.second;
        if (run.run->upstream() == upstream && !run.isUrgent && (best == nullptr || run.dueAt > best->second.dueAt)) {
            best = &each;
        }
    }
    if (best == nullptr) {
        return false;
    }
    parts_.metrics.count("items_yielded");
    putBack(ItemKey(best->first), YIELD_PAUSE, "yielded to an online request");
    return true;
}

auto JobRunner::stopJob(const std::string &id) -> void
{
    std::vector<ItemKey> keys;
    for (const auto &[key, run] : active_) {
        if (key.job == id) {
            keys.push_back(key);
        }
    }
    for (const ItemKey &key : keys) {
        putBack(key, Milliseconds(0), "the job ended here");
    }
}

} // namespace poplardock
