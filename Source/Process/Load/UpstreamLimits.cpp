#include "Process/Load/UpstreamLimits.h"

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

/// The shares together refill at the limit; their bursts together are what the limit allows in BURST_TIME, and BURST_REQUESTS
/// more. The platform takes one and a half times the limit and five requests more in any 4 s; a little is left for requests
/// that are delayed on their way and arrive closer together.
constexpr std::chrono::duration<double> BURST_TIME { 1.5 };
constexpr double BURST_REQUESTS = 4;
/// Daemons that divide a limit, beyond one for each request a second. No more than the burst, which gives each a request.
constexpr double EXTRA_HOLDERS = 3;
/// A lower limit counts as this one: an upstream that gets no requests cannot withdraw its limit.
constexpr double LEAST_PER_SECOND = 0.25;
/// Changes of a limit by a smaller part are not announced at once.
constexpr double ANNOUNCED_CHANGE = 0.1;
/// Time for which a change is sent, so that the loss of a datagram does no harm.
constexpr Milliseconds ANNOUNCEMENT_TIME { 1000 };
/// How often a limit is sent without a change, and for how long each time: at least the period of the messages.
constexpr Milliseconds REFRESH_PERIOD { 2000 };
constexpr Milliseconds REFRESH_WINDOW { 200 };
/// Statements that are closer together need not be told apart. More than the transit time of a message, which makes a
/// statement look later at the recipient.
constexpr Milliseconds STATEMENT_RESOLUTION { 100 };
constexpr std::chrono::seconds RETENTION { 60 };
/// Time for which a shortage counts after it was last recorded.
constexpr Milliseconds SHORTAGE_TIME { 200 };
/// Time between two requests for a token of the same upstream, and for which the answer to one is awaited.
constexpr Milliseconds LOAN_REQUEST_INTERVAL { 200 };
/// A borrowed token that is not used within this time is lost, so that the bursts of borrowers add little to those of holders.
constexpr Milliseconds LOAN_TIME { 300 };
constexpr std::size_t MAXIMUM_NAME_LENGTH = 256;
constexpr const char *NO_LIMIT = "-";

auto secondsBetween(BootTime from, BootTime to) -> double
{
    return std::chrono::duration<double>(to - from).count();
}

/// Requests per second that the living daemons divide.
auto dividedLimit(double perSecond, double aliveFraction) -> double
{
    return std::max(perSecond, LEAST_PER_SECOND) * aliveFraction;
}

/// The daemons that divide a limit of an upstream, in rendezvous order.
auto holdersOf(const std::string &upstream, double limit, const std::vector<std::string> &daemons) -> std::vector<std::string>
{
    std::vector<std::pair<std::uint64_t, const std::string *>> weights;
    weights.reserve(daemons.size());
    for (const std::string &daemon : daemons) {
        weights.emplace_back(stableHash(absl::StrCat("limit/", upstream, "/", daemon)), &daemon);
    }
    const auto count = static_cast<std::ptrdiff_t>(std::min(limit + EXTRA_HOLDERS, static_cast<double>(daemons.size())));
    const auto isPreferred = [](const auto &a, const auto &b) {
        return std::tie(a.first, *a.second) > std::tie(b.first, *b.second);
    };
    std::partial_sort(weights.begin(), weights.begin() + count, weights.end(), isPreferred);
    std::vector<std::string> holders;
    std::transform(weights.begin(), weights.begin() + count, std::back_inserter(holders), [](const auto &each) { return *each.second; });
    return holders;
}

} // namespace

auto encodeUpstreamLimit(const UpstreamLimit &limit) -> std::string
{
    return absl::StrCat(
        encodeWord(limit.upstream), " ", limit.perSecond ? absl::StrCat(*limit.perSecond) : NO_LIMIT, " ", limit.age.count());
}

auto decodeUpstreamLimit(std::string_view text) -> absl::StatusOr<UpstreamLimit>
{
    constexpr std::size_t WORDS = 3;
    const std::vector<std::string> words = absl::StrSplit(absl::string_view(text.data(), text.size()), ' ');
    UpstreamLimit limit;
    double perSecond = 0;
    std::int64_t ageMs = 0;
    limit.upstream = decodeWord(words[0]).value_or(std::string());
    const bool isValid = words.size() == WORDS && !limit.upstream.empty() && limit.upstream.size() <= MAXIMUM_NAME_LENGTH
                         && (words[1] == NO_LIMIT || (absl::SimpleAtod(words[1], &perSecond) && std::isfinite(perSecond) && perSecond >= 0))
                         && absl::SimpleAtoi(words[2], &ageMs) && ageMs >= 0;
    if (!isValid) {
        return absl::InvalidArgumentError(
            absl::StrCat("malformed limit of an upstream: ", absl::string_view(text.data(), std::min<std::size_t>(text.size(), 80))));
    }
    limit.perSecond = words[1] == NO_LIMIT ? std::nullopt : std::optional(perSecond);
    limit.age = boundedMilliseconds(ageMs);
    return limit;
}

auto limitShareOf(const std::string &upstream,
                  double perSecond,
                  const std::string &ownName,
                  const std::vector<std::string> &aliveDaemons,
                  double aliveFraction) -> LimitShare
{
    const double limit = dividedLimit(perSecond, aliveFraction);
    const std::vector<std::string> holders = holdersOf(upstream, limit, aliveDaemons);
    if (std::find(holders.begin(), holders.end(), ownName) == holders.end()) {
        return {};
    }
    const auto parts = static_cast<double>(holders.size());
    return { limit / parts, std::max(1.0, (limit * BURST_TIME.count() + BURST_REQUESTS * aliveFraction) / parts) };
}

UpstreamLimits::UpstreamLimits(std::string ownName)
    : ownName_(std::move(ownName))
    , aliveDaemons_ { ownName_ }
    , cold_(ownName_)
{
}

auto UpstreamLimits::recordStatement(const std::string &upstream, std::optional<double> perSecond, BootTime now) -> void
{
    if (perSecond || entries_.contains(upstream)) {
        learn(upstream, perSecond, now, now);
    }
}

auto UpstreamLimits::learn(const std::string &upstream, std::optional<double> perSecond, BootTime statedAt, BootTime now) -> void
{
    const auto [found, isNew] = entries_.try_emplace(upstream);
    Entry &entry = found->second;
    entry.statedAt = statedAt;
    const bool isLimited = entry.perSecond.has_value();
    const bool hasChanged = isNew || isLimited != perSecond.has_value()
                            || (isLimited && std::abs(*perSecond - *entry.perSecond) > ANNOUNCED_CHANGE * *entry.perSecond);
    if (!hasChanged) {
        return;
    }
    // Tokens that have gathered since the daemon started, or since the upstream withdrew an earlier limit.
    const BootTime unusedSince = isNew ? startedAt_.value_or(now) : entry.changedAt;
    entry.perSecond = perSecond;
    entry.changedAt = now;
    if (perSecond && !isLimited) {
        entry.share = limitShareOf(upstream, *perSecond, ownName_, aliveDaemons_, aliveFraction_);
        entry.tokens = 0;
        entry.refilledAt = unusedSince;
        refill(entry, now);
    }
    updateShare(upstream, entry, now);
    EventLog::write("upstream_limit",
                    { { "upstream", upstream },
                      { "per_second", perSecond.value_or(0) },
                      { "limited", perSecond.has_value() },
                      { "share", entry.share.perSecond },
                      { "age_ms", millisecondsBetween(statedAt, now) } });
    if (entries_.size() > MAXIMUM_LIMITS) {
        entries_.erase(std::min_element(
            entries_.begin(), entries_.end(), [](const auto &a, const auto &b) { return a.second.statedAt < b.second.statedAt; }));
    }
}

auto UpstreamLimits::updateShare(const std::string &upstream, Entry &entry, BootTime now) const -> void
{
    refill(entry, now);
    entry.share = entry.perSecond ? limitShareOf(upstream, *entry.perSecond, ownName_, aliveDaemons_, aliveFraction_) : LimitShare();
    entry.tokens = std::min(entry.tokens, entry.share.burst);
}

auto UpstreamLimits::refill(Entry &entry, BootTime now) -> void
{
    entry.tokens = std::min(entry.share.burst, entry.tokens + entry.share.perSecond * secondsBetween(entry.refilledAt, now));
    entry.refilledAt = now;
}

auto UpstreamLimits::takeToken(const std::string &upstream, BootTime now) -> void
{
    const auto found = entries_.find(upstream);
    if (found == entries_.end() || !found->second.perSecond) {
        return;
    }
    Entry &entry = found->second;
    const auto loanUntil = std::exchange(entry.loanUntil, std::nullopt);
    if (loanUntil && now <= *loanUntil) {
        return;
    }
    refill(entry, now);
    entry.tokens -= 1;
}

auto UpstreamLimits::recordShortage(const std::string &upstream, BootTime now) -> void
{
    const auto found = entries_.find(upstream);
    if (found != entries_.end()) {
        found->second.shortageUntil = now + SHORTAGE_TIME;
    }
}

auto UpstreamLimits::loanRequest(BootTime now) -> std::optional<LoanRequest>
{
    std::pair<const std::string, Entry> *next = nullptr;
    for (auto &each : entries_) {
        Entry &entry = each.second;
        if (entry.loanUntil && *entry.loanUntil < now) {
            entry.loanUntil.reset();
        }
        const bool isShort = entry.perSecond && !entry.loanUntil && entry.shortageUntil > now;
        if (isShort && entry.nextLoanRequestAt <= now && (next == nullptr || entry.nextLoanRequestAt < next->second.nextLoanRequestAt)) {
            next = &each;
        }
    }
    if (next == nullptr) {
        return std::nullopt;
    }
    auto &[upstream, entry] = *next;
    entry.nextLoanRequestAt = now + LOAN_REQUEST_INTERVAL;
    std::vector<std::string> lenders = holdersOf(upstream, dividedLimit(*entry.perSecond, aliveFraction_), aliveDaemons_);
    std::erase(lenders, ownName_);
    if (lenders.empty()) {
        return std::nullopt;
    }
    entry.loanExpectedUntil = entry.nextLoanRequestAt;
    return LoanRequest { upstream, lenders[entry.lendersAsked++ % lenders.size()] };
}

auto UpstreamLimits::lend(const std::string &upstream, BootTime now) -> bool
{
    const auto found = entries_.find(upstream);
    if (found == entries_.end() || !found->second.perSecond || found->second.loanUntil || spareAt(upstream) > now) {
        return false;
    }
    takeToken(upstream, now);
    return true;
}

auto UpstreamLimits::addLoan(const std::string &upstream, BootTime now) -> void
{
    const auto found = entries_.find(upstream);
    if (found == entries_.end()) {
        return;
    }
    const auto expectedUntil = std::exchange(found->second.loanExpectedUntil, std::nullopt);
    if (!expectedUntil || *expectedUntil < now) {
        return;
    }
    found->second.loanUntil = now + LOAN_TIME;
    found->second.nextLoanRequestAt = now;
}

auto UpstreamLimits::availableAt(const std::string &upstream, bool isWholeBurst) const -> BootTime
{
    const auto found = entries_.find(upstream);
    if (found == entries_.end() || !found->second.perSecond) {
        return {};
    }
    const Entry &entry = found->second;
    if (entry.loanUntil) {
        return entry.refilledAt;
    }
    const double wanted = isWholeBurst ? std::max(1.0, entry.share.burst) : 1;
    if (wanted > entry.share.burst) {
        return BootTime::max();
    }
    const std::chrono::duration<double> wait(std::max(0.0, wanted - entry.tokens) / entry.share.perSecond);
    return entry.refilledAt + std::chrono::duration_cast<BootTime::duration>(wait);
}

auto UpstreamLimits::usableAt(const std::string &upstream) const -> BootTime
{
    return availableAt(upstream, false);
}

auto UpstreamLimits::spareAt(const std::string &upstream) const -> BootTime
{
    return availableAt(upstream, true);
}

auto UpstreamLimits::setDaemons(std::vector<std::string> aliveDaemons, double aliveFraction, BootTime now) -> void
{
    startedAt_ = startedAt_.value_or(now);
    if (aliveDaemons == aliveDaemons_ && aliveFraction == aliveFraction_) {
        return;
    }
    aliveDaemons_ = std::move(aliveDaemons);
    aliveFraction_ = aliveFraction;
    for (auto &[upstream, entry] : entries_) {
        updateShare(upstream, entry, now);
    }
}

auto UpstreamLimits::announceAll(BootTime now) -> void
{
    announceAllUntil_ = now + ANNOUNCEMENT_TIME;
}

auto UpstreamLimits::states(BootTime now) const -> std::vector<UpstreamLimit>
{
    std::vector<UpstreamLimit> states;
    for (const auto &[upstream, entry] : entries_) {
        // Spreads the limits over the period.
        const Milliseconds phase(static_cast<std::int64_t>(stableHash(upstream) % static_cast<std::uint64_t>(REFRESH_PERIOD.count())));
        const bool isDue = now < announceAllUntil_ || now - entry.changedAt < ANNOUNCEMENT_TIME
                           || (now.time_since_epoch() + phase) % REFRESH_PERIOD < REFRESH_WINDOW;
        if (isDue && states.size() < MAXIMUM_SENT_LIMITS) {
            states.push_back({ upstream, entry.perSecond, std::chrono::duration_cast<Milliseconds>(now - entry.statedAt) });
        }
    }
    return states;
}

auto UpstreamLimits::merge(const std::vector<UpstreamLimit> &states, BootTime now) -> void
{
    for (const UpstreamLimit &state : states) {
        const BootTime statedAt = now - state.age;
        const auto found = entries_.find(state.upstream);
        const bool isNews
            = found == entries_.end() ? state.perSecond.has_value() : statedAt - found->second.statedAt > STATEMENT_RESOLUTION;
        if (isNews && state.age < RETENTION) {
            learn(state.upstream, state.perSecond, statedAt, now);
        }
    }
}

auto UpstreamLimits::removeExpired(BootTime now) -> void
{
    std::erase_if(entries_, [now](const auto &each) { return now - each.second.statedAt >= RETENTION; });
    cold_.removeExpired(now);
}

auto UpstreamLimits::cold() -> ColdUpstreams &
{
    return cold_;
}

auto UpstreamLimits::cold() const -> const ColdUpstreams &
{
    return cold_;
}

} // namespace poplardock
