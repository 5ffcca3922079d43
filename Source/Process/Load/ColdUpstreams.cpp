#include "Process/Load/ColdUpstreams.h"

#include "Process/BoundedTime.h"
#include "Process/EventLog.h"
#include "Process/WordCodec.h"
#include "Version/MemberTable.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>
#include <utility>

namespace poplardock {

namespace {

/// Part of the difference between the limit and the bound that the quotas use. The rest is a margin for daemons whose lists of
/// daemons differ for a time.
constexpr double USED_DIFFERENCE = 0.6;
/// Where the bound is not above the limit, the part of the bound that the quotas use.
constexpr double USED_BOUND = 0.8;
/// The quota applies to any such time: the second of the bound, and the time between the check and the send.
constexpr Milliseconds QUOTA_WINDOW { 1050 };
/// Time after its start in which a daemon sends nothing to cold upstreams: its predecessor may have used the quota, and the
/// reports of the others have to arrive.
constexpr Milliseconds START_TIME { 2000 };
/// Age that an entry may have when it arrives: the period of the heartbeat and the delay of the watch. Newer information, such
/// as a failed connection, is not overruled by it.
constexpr Milliseconds ENTRY_AGE { 2000 };
/// Part of a share that may be used while warm upstreams have room.
constexpr double WARM_UP_PART = 0.15;
/// Time for which the bucket must have been full before batch work uses it.
constexpr Milliseconds SPARE_TIME { 500 };
/// After the cold time the limit is doubled this often, each time for a part of the start time, before it ends.
constexpr int RAMP_STEPS = 3;
constexpr int RAMP_PART = 4;
constexpr Milliseconds SHORTEST_RAMP_STEP { 500 };
constexpr Milliseconds LONGEST_RAMP_STEP { 2000 };
/// Differences of a deadline that are not announced, and ages that need not be told apart: more than the transit time of a
/// message, which makes a statement look later at the recipient.
constexpr Milliseconds DEADLINE_RESOLUTION { 500 };
constexpr Milliseconds STATEMENT_RESOLUTION { 100 };
constexpr Milliseconds ANNOUNCEMENT_TIME { 1000 };
constexpr Milliseconds REFRESH_PERIOD { 2000 };
constexpr Milliseconds REFRESH_WINDOW { 200 };
/// Older statements of other daemons are ignored.
constexpr Milliseconds RETENTION { 60000 };
/// Time for which an upstream without an entry is kept.
constexpr Milliseconds REMOVAL_TIME { 60000 };
/// From the daemon that heard it by its relay and that of another data centre. Each delay on the way makes the deadline later, so
/// a statement must not circulate.
constexpr int MAXIMUM_HOPS = 3;
constexpr std::size_t MAXIMUM_NAME_LENGTH = 256;

auto secondsBetween(BootTime from, BootTime to) -> double
{
    return std::chrono::duration<double>(to - from).count();
}

auto durationOf(double seconds) -> BootTime::duration
{
    return std::chrono::duration_cast<BootTime::duration>(std::chrono::duration<double>(seconds));
}

} // namespace

auto encodeColdStatement(const ColdStatement &statement) -> std::string
{
    return absl::StrCat(encodeWord(statement.upstream),
                        " ",
                        statement.startedAtMs,
                        " ",
                        statement.remaining.count(),
                        " ",
                        statement.age.count(),
                        " ",
                        statement.hops);
}

auto decodeColdStatement(std::string_view text) -> absl::StatusOr<ColdStatement>
{
    constexpr std::size_t WORDS = 5;
    const std::vector<std::string> words = absl::StrSplit(absl::string_view(text.data(), text.size()), ' ');
    ColdStatement statement;
    std::int64_t remainingMs = 0;
    std::int64_t ageMs = 0;
    statement.upstream = decodeWord(words[0]).value_or(std::string());
    const bool isValid = words.size() == WORDS && !statement.upstream.empty() && statement.upstream.size() <= MAXIMUM_NAME_LENGTH
                         && absl::SimpleAtoi(words[1], &statement.startedAtMs) && statement.startedAtMs >= 0
                         && absl::SimpleAtoi(words[2], &remainingMs) && remainingMs >= 0 && absl::SimpleAtoi(words[3], &ageMs) && ageMs >= 0
                         && absl::SimpleAtoi(words[4], &statement.hops) && statement.hops >= 0 && statement.hops <= MAXIMUM_HOPS;
    if (!isValid) {
        return absl::InvalidArgumentError(
            absl::StrCat("malformed cold state of an upstream: ", absl::string_view(text.data(), std::min<std::size_t>(text.size(), 80))));
    }
    statement.remaining = boundedMilliseconds(remainingMs);
    statement.age = boundedMilliseconds(ageMs);
    return statement;
}

auto coldShareOf(const std::string &upstream, const ColdPolicy &policy, const std::string &ownName, const std::vector<std::string> &daemons)
    -> ColdShare
{
    const double difference = policy.mostPerSecond - policy.perSecond;
    const double used = difference > 0 ? policy.perSecond + USED_DIFFERENCE * difference : USED_BOUND * policy.mostPerSecond;
    // More than a daemon sends in a second; bounds the conversion.
    constexpr double MOST_REQUESTS = 1e6;
    const int total = static_cast<int>(std::floor(std::clamp(used, 0.0, MOST_REQUESTS)));
    if (total == 0 || std::find(daemons.begin(), daemons.end(), ownName) == daemons.end()) {
        return {};
    }
    const auto weightOf = [&upstream](const std::string &daemon) {
        return std::tuple(stableHash(absl::StrCat("cold/", upstream, "/", daemon)), daemon);
    };
    const auto own = weightOf(ownName);
    const auto rank = static_cast<int>(
        std::count_if(daemons.begin(), daemons.end(), [&weightOf, &own](const std::string &each) { return weightOf(each) > own; }));
    const auto count = static_cast<int>(daemons.size());
    const int quota = total / count + (rank < total % count ? 1 : 0);
    return { std::min(policy.perSecond, used) * quota / total, quota };
}

ColdUpstreams::ColdUpstreams(std::string ownName)
    : ownName_(std::move(ownName))
{
}

auto ColdUpstreams::setPolicies(std::map<std::string, ColdPolicy> policies) -> void
{
    std::erase_if(policies, [](const auto &each) { return !(each.second.perSecond > 0); });
    if (policies != policies_) {
        policies_ = std::move(policies);
        ++version_;
    }
}

auto ColdUpstreams::isEnabled() const -> bool
{
    return !policies_.empty();
}

auto ColdUpstreams::setDaemons(const std::vector<std::string> &daemons, std::size_t aliveCount, BootTime now) -> void
{
    startedAt_ = startedAt_.value_or(now);
    std::vector<std::string> next = daemons;
    std::sort(next.begin(), next.end());
    const bool mayShrink = 2 * aliveCount > daemons_.size();
    if (!mayShrink) {
        std::vector<std::string> all;
        std::set_union(next.begin(), next.end(), daemons_.begin(), daemons_.end(), std::back_inserter(all));
        next = std::move(all);
    }
    if (next != daemons_) {
        daemons_ = std::move(next);
        ++version_;
    }
}

auto ColdUpstreams::policyOf(const Entry &entry) const -> const ColdPolicy *
{
    const auto found = policies_.find(entry.group);
    return found == policies_.end() ? nullptr : &found->second;
}

auto ColdUpstreams::coldUntil(const Entry &entry, const ColdPolicy &policy) -> BootTime
{
    if (entry.statedUntil) {
        return *entry.statedUntil;
    }
    return entry.doubtedAt == BootTime() ? BootTime() : entry.doubtedAt + policy.startTime;
}

auto ColdUpstreams::factorOf(const Entry &entry, const ColdPolicy &policy, BootTime now) -> int
{
    const BootTime until = coldUntil(entry, policy);
    if (now < until) {
        return 1;
    }
    const Milliseconds step = std::clamp(policy.startTime / RAMP_PART, SHORTEST_RAMP_STEP, LONGEST_RAMP_STEP);
    const auto passed = (now - until) / step;
    return until != BootTime() && passed < RAMP_STEPS ? 2 << passed : 0;
}

auto ColdUpstreams::shareOf(const std::string &upstream, const Entry &entry, const ColdPolicy &policy, int factor) const -> ColdShare
{
    if (entry.shareVersion != version_ || entry.shareFactor != factor) {
        const ColdPolicy multiple { policy.startTime, policy.perSecond * factor, policy.mostPerSecond * factor };
        entry.share = coldShareOf(upstream, multiple, ownName_, daemons_);
        entry.shareVersion = version_;
        entry.shareFactor = factor;
    }
    return entry.share;
}

auto ColdUpstreams::logState(const std::string &upstream, const Entry &entry, const char *source, BootTime now) const -> void
{
    const ColdPolicy *policy = policyOf(entry);
    if (policy == nullptr) {
        return;
    }
    const BootTime until = coldUntil(entry, *policy);
    const ColdShare share = shareOf(upstream, entry, *policy, 1);
    EventLog::write("upstream_cold",
                    { { "upstream", upstream },
                      { "by", source },
                      { "cold", now < until },
                      { "remaining_ms", std::max(0.0, millisecondsBetween(now, until)) },
                      { "age_ms", millisecondsBetween(entry.statedAt, now) },
                      { "quota", share.quota },
                      { "share", share.perSecond } });
}

auto ColdUpstreams::setStatement(
    const std::string &upstream, Entry &entry, BootTime statedAt, BootTime until, const char *source, BootTime now) -> void
{
    const ColdPolicy *policy = policyOf(entry);
    const BootTime previousUntil = coldUntil(entry, policy == nullptr ? ColdPolicy() : *policy);
    const bool wasCold = now < previousUntil;
    const bool isCold = now < until;
    const bool isChanged = wasCold != isCold || (isCold && std::chrono::abs(until - previousUntil) > DEADLINE_RESOLUTION);
    entry.statedAt = std::max(entry.statedAt, statedAt);
    entry.statedUntil = isCold ? until : std::min(previousUntil, now);
    if (!wasCold) {
        entry.coldSince = now;
    }
    if (isChanged) {
        entry.changedAt = now;
        logState(upstream, entry, source, now);
    }
}

auto ColdUpstreams::setDoubt(const std::string &upstream, Entry &entry, BootTime statedAt, const char *reason, BootTime now) -> void
{
    const ColdPolicy *policy = policyOf(entry);
    if (now >= coldUntil(entry, policy == nullptr ? ColdPolicy() : *policy)) {
        entry.coldSince = now;
    }
    entry.statedAt = std::max(entry.statedAt, statedAt);
    entry.statedUntil.reset();
    entry.doubtedAt = now;
    logState(upstream, entry, reason, now);
}

auto ColdUpstreams::recordEntry(const std::string &upstream,
                                const std::string &group,
                                std::int64_t startedAtMs,
                                std::optional<Milliseconds> remaining,
                                bool isPresumedWarm,
                                BootTime now) -> void
{
    const auto [found, isNew] = entries_.try_emplace(upstream);
    Entry &entry = found->second;
    // A run whose start is not stated may be another one when its entry comes back.
    const bool isOtherRun = isNew || entry.startedAtMs != startedAtMs || (entry.removedAt && startedAtMs == 0);
    entry.group = group;
    entry.removedAt.reset();
    if (isNew) {
        // Tokens gather from now on: others may have sent requests before.
        entry.refilledAt = now;
    }
    const BootTime statedAt = now - ENTRY_AGE;
    if (isOtherRun) {
        entry.startedAtMs = startedAtMs;
        entry.statedAt = statedAt;
        if (remaining && remaining->count() > 0) {
            entry.hops = 0;
            setStatement(upstream, entry, statedAt, now + *remaining, "entry", now);
        } else if (!isPresumedWarm) {
            setDoubt(upstream, entry, statedAt, isNew ? "new entry" : "new run", now);
        }
    } else if (remaining && statedAt > entry.statedAt) {
        entry.hops = 0;
        entry.isUnreachable = false;
        setStatement(upstream, entry, statedAt, now + *remaining, "entry", now);
    }
}

auto ColdUpstreams::recordRemovals(const std::function<bool(const std::string &upstream)> &isPresent, BootTime now) -> void
{
    for (auto &[upstream, entry] : entries_) {
        if (!entry.removedAt && !isPresent(upstream)) {
            entry.removedAt = now;
        }
    }
}

auto ColdUpstreams::recordAnswer(const std::string &upstream, std::optional<Milliseconds> remaining, BootTime now) -> void
{
    const auto found = entries_.find(upstream);
    if (found == entries_.end()) {
        return;
    }
    Entry &entry = found->second;
    const bool wasUnreachable = std::exchange(entry.isUnreachable, false);
    if (remaining) {
        entry.hops = 0;
        setStatement(upstream, entry, now, now + *remaining, "answer", now);
    } else if (wasUnreachable) {
        setDoubt(upstream, entry, now, "reachable again", now);
    }
}

auto ColdUpstreams::recordUnreachable(const std::string &upstream, BootTime now) -> void
{
    const auto found = entries_.find(upstream);
    if (found == entries_.end()) {
        return;
    }
    Entry &entry = found->second;
    if (std::exchange(entry.isUnreachable, true) && !entry.statedUntil) {
        // Logged at the first failure.
        entry.statedAt = now;
        entry.doubtedAt = now;
        return;
    }
    setDoubt(upstream, entry, now, "unreachable", now);
}

auto ColdUpstreams::recordDoubt(const std::string &upstream, const char *reason, BootTime now) -> void
{
    const auto found = entries_.find(upstream);
    if (found != entries_.end()) {
        setDoubt(upstream, found->second, now, reason, now);
    }
}

auto ColdUpstreams::useOf(const std::string &upstream, BootTime now) const -> Use
{
    const auto found = entries_.find(upstream);
    const ColdPolicy *policy = found == entries_.end() ? nullptr : policyOf(found->second);
    const int factor = policy == nullptr ? 0 : factorOf(found->second, *policy, now);
    if (factor == 0) {
        return {};
    }
    const Entry &entry = found->second;
    const ColdShare share = shareOf(upstream, entry, *policy, factor);
    Use use;
    use.isCold = factor == 1;
    if (share.quota <= 0 || share.perSecond <= 0 || !startedAt_) {
        use.usableAt = BootTime::max();
        use.spareAt = BootTime::max();
        use.warmUpAt = BootTime::max();
        return use;
    }
    const double tokens = std::min<double>(share.quota, entry.tokens + share.perSecond * secondsBetween(entry.refilledAt, now));
    BootTime usableAt = std::max(now + durationOf(std::max(0.0, 1 - tokens) / share.perSecond), *startedAt_ + START_TIME);
    const auto inWindow = static_cast<std::size_t>(
        std::count_if(entry.sends.begin(), entry.sends.end(), [now](BootTime each) { return each + QUOTA_WINDOW > now; }));
    if (inWindow >= static_cast<std::size_t>(share.quota)) {
        usableAt = std::max(usableAt, entry.sends[entry.sends.size() - static_cast<std::size_t>(share.quota)] + QUOTA_WINDOW);
    }
    use.usableAt = usableAt;
    use.spareAt = std::max(usableAt, now + durationOf((share.quota - tokens) / share.perSecond));
    if (!entry.sends.empty()) {
        use.spareAt = std::max(use.spareAt, entry.sends.back() + durationOf(1 / share.perSecond) + SPARE_TIME);
    }
    // The first warm-up requests of the daemons are spread over the interval between two of one daemon.
    const BootTime::duration interval = durationOf(1 / (WARM_UP_PART * share.perSecond));
    const BootTime::duration phase(static_cast<BootTime::rep>(stableHash(absl::StrCat("warm-up/", upstream, "/", ownName_))
                                                              % static_cast<std::uint64_t>(interval.count())));
    use.warmUpAt = std::max(usableAt, entry.coldSince + phase);
    if (!entry.sends.empty()) {
        use.warmUpAt = std::max(use.warmUpAt, entry.sends.back() + interval);
    }
    return use;
}

auto ColdUpstreams::reserve(const std::string &upstream, BootTime now) -> void
{
    const auto found = entries_.find(upstream);
    const ColdPolicy *policy = found == entries_.end() ? nullptr : policyOf(found->second);
    if (policy == nullptr) {
        return;
    }
    Entry &entry = found->second;
    // The last one is kept for the interval between warm-up requests.
    while (entry.sends.size() > 1 && entry.sends.front() + QUOTA_WINDOW <= now) {
        entry.sends.erase(entry.sends.begin());
    }
    entry.sends.push_back(now);
    const int factor = std::max(1, factorOf(entry, *policy, now));
    const ColdShare share = shareOf(upstream, entry, *policy, factor);
    const double tokens = std::min<double>(share.quota, entry.tokens + share.perSecond * secondsBetween(entry.refilledAt, now));
    // Requests to a warm upstream leave no debt beyond the time in which they count.
    entry.tokens = std::max(-static_cast<double>(share.quota), tokens - 1);
    entry.refilledAt = now;
}

auto ColdUpstreams::confirm(const std::string &upstream, BootTime reservedAt, BootTime now) -> bool
{
    const auto found = entries_.find(upstream);
    const ColdPolicy *policy = found == entries_.end() ? nullptr : policyOf(found->second);
    if (policy == nullptr) {
        return true;
    }
    Entry &entry = found->second;
    const auto reserved = std::find(entry.sends.begin(), entry.sends.end(), reservedAt);
    if (reserved != entry.sends.end()) {
        entry.sends.erase(reserved);
    }
    const int factor = factorOf(entry, *policy, now);
    if (factor != 0) {
        const auto inWindow
            = std::count_if(entry.sends.begin(), entry.sends.end(), [now](BootTime each) { return each + QUOTA_WINDOW > now; });
        if (!startedAt_ || now < *startedAt_ + START_TIME || inWindow >= shareOf(upstream, entry, *policy, factor).quota) {
            return false;
        }
    }
    entry.sends.push_back(now);
    return true;
}

auto ColdUpstreams::coldCount(BootTime now) const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), [this, now](const auto &each) {
        const ColdPolicy *policy = policyOf(each.second);
        return policy != nullptr && factorOf(each.second, *policy, now) == 1;
    }));
}

auto ColdUpstreams::states(BootTime now) const -> std::vector<ColdStatement>
{
    std::vector<std::pair<BootTime, const std::pair<const std::string, Entry> *>> due;
    if (!isEnabled()) {
        return {};
    }
    for (const auto &each : entries_) {
        const Entry &entry = each.second;
        const bool isStatement = entry.statedUntil && now < *entry.statedUntil && now - entry.statedAt < RETENTION;
        if (!isStatement || entry.hops >= MAXIMUM_HOPS || policyOf(entry) == nullptr) {
            continue;
        }
        const Milliseconds phase(static_cast<std::int64_t>(stableHash(each.first) % static_cast<std::uint64_t>(REFRESH_PERIOD.count())));
        const bool isRefreshed = (now.time_since_epoch() + phase) % REFRESH_PERIOD < REFRESH_WINDOW;
        if (isRefreshed || now - entry.changedAt < ANNOUNCEMENT_TIME) {
            due.emplace_back(entry.changedAt, &each);
        }
    }
    std::stable_sort(due.begin(), due.end(), [](const auto &a, const auto &b) { return a.first > b.first; });
    due.resize(std::min(due.size(), MAXIMUM_SENT_STATEMENTS));
    std::vector<ColdStatement> states;
    states.reserve(due.size());
    for (const auto &[changedAt, each] : due) {
        const Entry &entry = each->second;
        states.push_back({ each->first,
                           entry.startedAtMs,
                           std::chrono::ceil<Milliseconds>(*entry.statedUntil - now),
                           std::chrono::ceil<Milliseconds>(now - entry.statedAt),
                           entry.hops + 1 });
    }
    return states;
}

auto ColdUpstreams::merge(const std::vector<ColdStatement> &states, BootTime now) -> void
{
    for (const ColdStatement &state : states) {
        const auto found = entries_.find(state.upstream);
        if (found == entries_.end() || state.age >= RETENTION) {
            continue;
        }
        Entry &entry = found->second;
        const ColdPolicy *policy = policyOf(entry);
        const BootTime statedAt = now - state.age;
        const BootTime until = now + state.remaining;
        const bool isSameRun = state.startedAtMs == entry.startedAtMs;
        const bool isNews = isSameRun ? statedAt - entry.statedAt > STATEMENT_RESOLUTION : state.startedAtMs > entry.startedAtMs;
        if (policy == nullptr || !isNews || until <= coldUntil(entry, *policy)) {
            continue;
        }
        if (!isSameRun) {
            entry.startedAtMs = state.startedAtMs;
            entry.statedAt = statedAt;
        }
        entry.hops = state.hops;
        setStatement(state.upstream, entry, statedAt, until, "peer", now);
    }
}

auto ColdUpstreams::removeExpired(BootTime now) -> void
{
    std::erase_if(entries_, [now](const auto &each) { return each.second.removedAt && now - *each.second.removedAt >= REMOVAL_TIME; });
}

} // namespace poplardock
