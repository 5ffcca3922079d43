#include "Connection/FrontService.h"

#include "Connection/Refusal.h"
#include "Process/EventLog.h"
#include "Request/CallerIdentity.h"
#include "Request/OnlineAdmission.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>

namespace poplardock {

namespace {

/// Part of the withdrawal bound that is kept for a slow loop and timers.
constexpr Milliseconds FRESHNESS_MARGIN { 300 };
constexpr Milliseconds STALE_RETRY_AFTER { 500 };
/// Retry hint while all data centres of a group are evacuated, which an operator ends after minutes. Spread, so that the callers
/// do not all come back at once when upstreams are cold.
constexpr Milliseconds SHORTEST_EVACUATED_RETRY { 1000 };
constexpr Milliseconds LONGEST_EVACUATED_RETRY { 4000 };

auto evacuatedRetryAfter(std::mt19937_64 &random) -> Milliseconds
{
    std::uniform_int_distribution<Milliseconds::rep> spread(SHORTEST_EVACUATED_RETRY.count(), LONGEST_EVACUATED_RETRY.count());
    return Milliseconds(spread(random));
}

} // namespace

FrontService::FrontService(FrontParts &parts, AllowanceTable &allowances, std::function<void(const JobRequest &)> onJob)
    : parts_(parts)
    , allowances_(allowances)
    , onJob_(std::move(onJob))
{
}

auto FrontService::isFresh(BootTime now) const -> bool
{
    return parts_.version() != nullptr && now - parts_.versionConfirmedAt() < parts_.settings.bounds.keyWithdrawal - FRESHNESS_MARGIN;
}

auto FrontService::refuse(const std::shared_ptr<CallerExchange> &caller,
                          const RequestTerms &terms,
                          ResultCode code,
                          const std::string &message,
                          std::optional<Milliseconds> retryAfter) -> void
{
    const ServingVersionPointer version = parts_.version();
    EventLog::write("request_refused",
                    { { "request", terms.requestId },
                      { "result", describe(code).name },
                      { "reason", message },
                      { "retry_after_ms", retryAfter.value_or(Milliseconds(0)).count() },
                      { "config", version == nullptr ? std::int64_t(0) : version->data().number },
                      { "config_age_ms", version == nullptr ? 0.0 : millisecondsBetween(parts_.versionConfirmedAt(), BootClock::now()) } });
    parts_.metrics.count("refused_" + std::string(describe(code).name));
    caller->reply(refusalOf(parts_.dialect, code, message, retryAfter));
}

auto FrontService::handle(const std::shared_ptr<CallerExchange> &caller) -> void
{
    const RequestTerms terms = parts_.dialect.requestTerms(caller->head().headers);
    const ServingVersionPointer version = parts_.version();
    if (version == nullptr) {
        refuse(caller, terms, ResultCode::ConfigurationStale, "no configuration has been read yet", STALE_RETRY_AFTER);
        return;
    }
    const ServiceRoute *route = version->findRoute(terms.host, caller->head().target);
    const bool isOnJobRoute = route != nullptr && route->kind == RouteKind::Batch;
    const auto job = parts_.dialect.jobCall(caller->head(), terms, isOnJobRoute);
    if (!job && (route == nullptr || isOnJobRoute)) {
        if (!isFresh(BootClock::now())) {
            refuse(caller, terms, ResultCode::ConfigurationStale, "a newer configuration may have the route", STALE_RETRY_AFTER);
        } else {
            refuse(caller, terms, ResultCode::RouteUnknown, "");
        }
        return;
    }
    const bool isFreshNow = isFresh(BootClock::now());
    const ServiceRoute *submissionRoute = job && job->kind == JobCall::Kind::Submit ? route : nullptr;
    const CallerIdentity identity = job ? identifyJobCaller(*version, submissionRoute, terms.host, terms.key, isFreshNow)
                                        : identifyCaller(*version, route, terms.key, isFreshNow);
    if (identity.refusal) {
        const bool isStale = *identity.refusal == ResultCode::ConfigurationStale;
        refuse(caller, terms, *identity.refusal, "", isStale ? std::optional(STALE_RETRY_AFTER) : std::nullopt);
        return;
    }
    const std::string team = identity.team == nullptr ? std::string() : identity.team->team.name;
    if (job) {
        onJob_({ caller, *job, terms, team, submissionRoute, version });
        return;
    }
    // Passed on, it could be cut without an answer; another daemon can still serve it.
    const auto endsAt = parts_.endsAt();
    if (endsAt && OnlineRun::deadlineOf(caller->receivedAt(), terms, *route) > *endsAt) {
        refuse(caller, terms, ResultCode::ShuttingDown, "the rest of the shutdown is too short for it", Milliseconds(0));
        return;
    }
    OnlineRun::Order order;
    order.caller = caller;
    order.version = version;
    order.route = route;
    order.team = team;
    order.regions = RegionFilter(route->allowedRegions,
                                 identity.team == nullptr ? std::vector<std::string>() : identity.team->allowedRegions,
                                 parts_.settings.regions);
    order.terms = terms;
    order.subject = { crashFingerprint(team, caller->head().target, caller->body()), terms.sharedParts };
    // Before the allowance, so that requests that are never served take nothing from the team's sound ones.
    const BootTime now = BootClock::now();
    if (const auto refusedUntil = parts_.crashes.refusedUntil(order.subject, now)) {
        const std::string suspects = absl::StrCat(order.subject.request.substr(0, 16), " ", absl::StrJoin(order.subject.parts, ","));
        order.isCrashTrial = parts_.peers.startCrashTrial(order.subject, now);
        if (!order.isCrashTrial) {
            refuse(caller, terms, ResultCode::RequestCrashesUpstreams, suspects, std::chrono::ceil<Milliseconds>(*refusedUntil - now));
            return;
        }
        parts_.metrics.count("crash_trials");
        EventLog::write("crash_trial", { { "request", terms.requestId }, { "suspects", suspects } });
    }
    if (identity.team == nullptr) {
        admit(std::move(order));
        return;
    }
    allowances_.tryAcquire(identity.team->team, [this, order](std::optional<Milliseconds> wait) {
        if (order.caller->isGone()) {
            return;
        }
        if (wait) {
            refuse(order.caller, order.terms, ResultCode::AllowanceExceeded, "team " + order.team, wait);
        } else {
            admit(order);
        }
    });
}

auto FrontService::admit(OnlineRun::Order order) -> void
{
    order.group = groupOf(*order.route, parts_.random());
    const BootTime now = BootClock::now();
    const auto views = parts_.directory.candidates(order.group, now, order.regions);
    const auto passed = std::chrono::duration_cast<Milliseconds>(now - order.caller->receivedAt());
    const auto left = order.terms.patience ? std::optional(*order.terms.patience - passed) : std::nullopt;
    const Admission admission = admitOnline(views, order.route->target, left, now);
    if (!admission.isAdmitted) {
        for (const UpstreamView &view : views) {
            if (view.usableAt > now) {
                parts_.limits.recordShortage(view.name, now);
            }
        }
        const bool isEvacuated = views.empty() && parts_.directory.isWholeGroupEvacuated(order.group, now);
        refuse(order.caller,
               order.terms,
               views.empty() ? ResultCode::NoUpstream : ResultCode::Overloaded,
               isEvacuated                                     ? "all data centres with upstreams of " + order.group + " are evacuated"
               : views.empty() && order.regions.isRestricted() ? "no upstream of " + order.group + " is available in the allowed regions"
               : views.empty() && parts_.directory.isWholeGroupLeaving(order.group, now)
                   ? "all upstreams of " + order.group + " are leaving"
                   : "expected after " + std::to_string(static_cast<int>(admission.expectedMs)) + " ms",
               isEvacuated ? std::optional(evacuatedRetryAfter(parts_.random)) : admission.retryAfter);
        return;
    }
    std::make_shared<OnlineRun>(parts_, std::move(order))->start();
}

} // namespace poplardock
