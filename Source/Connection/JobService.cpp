#include "Connection/JobService.h"

#include "Connection/Refusal.h"
#include "Process/BoundedTime.h"
#include "Process/EventLog.h"
#include "Process/WordCodec.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace poplardock {

namespace {

/// Longest time for which a reader is kept waiting.
constexpr Milliseconds LONGEST_WAIT { 1000 };
/// Time over the reader's wait in which an owner has to answer.
constexpr Milliseconds OWNER_SLACK { 500 };
/// Time in which a submission has to be in the store; callers wait for some seconds.
constexpr Milliseconds ACCEPT_TIME { 3000 };
/// Time for a read of the store. Readers wait 1.5 s longer than they ask for results.
constexpr Milliseconds STORE_READ_TIME { 1200 };
constexpr Milliseconds RETRY_AFTER { 500 };
/// Retry hint for a job that has no upstream in its allowed regions; a restarted upstream registers within seconds.
constexpr Milliseconds REGION_RETRY_AFTER { 1000 };
constexpr const char *NO_ALLOWED_UPSTREAM = "no upstream is available in the allowed regions";
/// Records of other daemons' jobs that are kept; the oldest names go first.
constexpr std::size_t CACHED_RECORDS = 2000;
constexpr const char *PEER_PATH = "/jobs";
/// Path of the call by which a daemon tells a job's owner that it has cancelled the job in the store; the job's id follows.
constexpr const char *CANCELLED_PATH = "/cancelled/";
constexpr Milliseconds CANCELLATION_CALL_TIME { 300 };
/// Time in which a relay has to hear of a cancellation whose owner does not answer.
constexpr Milliseconds ANNOUNCEMENT_WAIT { 1000 };
constexpr Milliseconds ANNOUNCEMENT_CHECK_PERIOD { 50 };

auto jsonResult(int status, std::string body) -> HttpResult
{
    HttpResult result { status, {}, std::move(body) };
    result.headers.add("Content-Type", "application/json");
    return result;
}

auto bytesResult(std::string body) -> HttpResult
{
    HttpResult result { HttpStatus::OK, {}, std::move(body) };
    result.headers.add("Content-Type", "application/octet-stream");
    return result;
}

auto nameOf(JobRepository::Acceptance acceptance) -> const char *
{
    switch (acceptance) {
    case JobRepository::Acceptance::Accepted:
        return "accepted";
    case JobRepository::Acceptance::Refused:
        return "refused";
    case JobRepository::Acceptance::Uncertain:
        return "uncertain";
    }
    return "unknown";
}

/// "/jobs/KIND/TEAM/JOB/FROM/WAIT_MS/ITEM", each part a word of WordCodec.
auto peerTarget(const JobCall &call, const std::string &team, const std::string &job, Milliseconds wait) -> std::string
{
    return absl::StrCat(PEER_PATH,
                        "/",
                        static_cast<int>(call.kind),
                        "/",
                        encodeWord(team),
                        "/",
                        encodeWord(job),
                        "/",
                        call.from,
                        "/",
                        wait.count(),
                        "/",
                        encodeWord(call.itemId));
}

} // namespace

JobService::JobService(FrontParts &parts, JobRepository &ledger, JobRegistry &book, JobRunner &runner, JobTakeover &adoption)
    : parts_(parts)
    , ledger_(ledger)
    , book_(book)
    , runner_(runner)
    , adoption_(adoption)
    , storedJobs_(parts.loop, ledger, parts.heldBytes, parts.dialect.resultPageBytes)
{
}

auto JobService::unsure(const std::string &reason) const -> HttpResult
{
    return refusalOf(parts_.dialect, ResultCode::StoreUnavailable, reason, RETRY_AFTER);
}

auto JobService::cancelUncertain() const -> HttpResult
{
    return refusalOf(parts_.dialect, ResultCode::JobCancelUncertain, "", RETRY_AFTER);
}

auto JobService::unknown() const -> HttpResult
{
    return refusalOf(parts_.dialect, ResultCode::JobUnknown, "", std::nullopt);
}

auto JobService::handle(const FrontService::JobRequest &request) -> void
{
    if (request.call.kind == JobCall::Kind::Submit) {
        submit(request);
        return;
    }
    const Milliseconds wait
        = request.call.kind == JobCall::Kind::ReadResults ? std::min(request.terms.resultWait, LONGEST_WAIT) : Milliseconds(0);
    const Query query { request.call, request.team, BootClock::now() + wait, request.call.jobId };
    answer(query, [caller = request.caller, id = request.call.jobId, kind = static_cast<int>(request.call.kind)](const HttpResult &result) {
        if (result.status != HttpStatus::OK) {
            EventLog::write("job_call_failed", { { "job", id }, { "kind", kind }, { "status", result.status } });
        }
        caller->reply(result);
    });
}

auto JobService::submit(const FrontService::JobRequest &request) -> void
{
    const std::string &id = request.call.jobId;
    const auto caller = request.caller;
    const auto isOwned = [this, &request, &id](const std::string &name) {
        const OwnedJob *job = book_.find(name);
        return job != nullptr && job->record().isJobOf(request.team, id);
    };
    const std::string otherName = jobNameOf(request.team, id);
    if (isOwned(id) || isOwned(otherName) || parts_.peers.ownerOf(otherName, BootClock::now()) != nullptr) {
        caller->reply(jsonResult(HttpStatus::ACCEPTED, "{}"));
        return;
    }
    if (!adoption_.hasStoreContact(BootClock::now())) {
        caller->reply(refusalOf(parts_.dialect, ResultCode::JobNotAccepted, "the store does not answer", RETRY_AFTER));
        return;
    }
    // Online requests keep the other half.
    if (!book_.makeRoom(parts_.heldBytes->bounds().bytes / 2)) {
        parts_.metrics.count("jobs_refused_for_memory");
        caller->reply(refusalOf(parts_.dialect, ResultCode::JobNotAccepted, "the memory for jobs is in use", RETRY_AFTER));
        return;
    }
    auto items = parts_.dialect.decodeSubmission(caller->body());
    if (!items.ok()) {
        EventLog::write("job_refused", { { "job", id }, { "reason", items.status().message() } });
        caller->reply(refusalOf(parts_.dialect, ResultCode::JobInvalid, std::string(items.status().message()), std::nullopt));
        return;
    }
    const JobRecord submitted = newRecord(request);
    if (!mayRun(request, submitted)) {
        EventLog::write("job_refused", { { "job", id }, { "reason", NO_ALLOWED_UPSTREAM } });
        caller->reply(refusalOf(parts_.dialect, ResultCode::JobNotAccepted, NO_ALLOWED_UPSTREAM, REGION_RETRY_AFTER));
        return;
    }
    caller->takeBody();
    const BootTime receivedAt = caller->receivedAt();
    const auto patience = std::min(request.terms.patience.value_or(ACCEPT_TIME), ACCEPT_TIME);
    const auto onEnd = [this, items = *items, caller](JobRepository::Acceptance acceptance, bool isOwn, const JobRecord &record) {
        caller->reply(takeAcceptance(acceptance, isOwn, record, items));
    };
    ledger_.accept(submitted, *items, receivedAt + patience, onEnd);
}

auto JobService::mayRun(const FrontService::JobRequest &request, const JobRecord &record) const -> bool
{
    const RegionFilter regions = regionFilterOf(*request.version, record, parts_.settings.regions);
    const BootTime now = BootClock::now();
    return !regions.isRestricted()
           || std::any_of(request.route->shares.begin(), request.route->shares.end(), [this, &regions, now](const RouteShare &share) {
                  return !parts_.directory.candidates(share.group, now, regions).empty();
              });
}

auto JobService::newRecord(const FrontService::JobRequest &request) const -> JobRecord
{
    JobRecord record;
    record.id = request.call.jobId;
    record.team = request.team;
    record.host = request.route->host;
    record.prefix = request.route->prefix;
    record.owner = parts_.settings.name;
    record.ownerIncarnation = parts_.peerLink.incarnation();
    record.ownerAddress = parts_.settings.peersAddress;
    record.submittedAt = WallClock::now();
    record.dueAt = record.submittedAt + request.route->jobTarget;
    record.giveUpAt = record.submittedAt + request.route->jobRetention;
    return record;
}

auto JobService::takeAcceptance(JobRepository::Acceptance acceptance,
                                bool isOwn,
                                const JobRecord &record,
                                const std::vector<JobItem> &items) -> HttpResult
{
    EventLog::write("job_submitted",
                    { { "job", record.id },
                      { "items", static_cast<std::uint64_t>(items.size()) },
                      { "outcome", nameOf(acceptance) },
                      { "first", isOwn },
                      { "ms", std::chrono::duration<double, std::milli>(WallClock::now() - record.submittedAt).count() } });
    switch (acceptance) {
    case JobRepository::Acceptance::Accepted:
        if (isOwn && book_.add(OwnedJob(record, items, {}))) {
            if (record.version == 0) {
                adoption_.verifyJob(record.id);
            }
            adoption_.checkEarlyNotice(record.id);
        }
        return jsonResult(HttpStatus::ACCEPTED, "{}");
    case JobRepository::Acceptance::Refused:
        return refusalOf(parts_.dialect, ResultCode::JobNotAccepted, "", RETRY_AFTER);
    case JobRepository::Acceptance::Uncertain:
        return refusalOf(parts_.dialect, ResultCode::JobUncertain, "", std::nullopt);
    }
    return unsure("unknown outcome");
}

auto JobService::answer(const Query &query, const ReplyHandler &reply) -> void
{
    if (answersFor(query.job)) {
        answerAsOwner(query, reply, [this, query, reply] { findOwner(query, reply); });
        return;
    }
    if (const Peer *owner = parts_.peers.ownerOf(query.job, BootClock::now())) {
        askOwner(query, owner->address, reply);
        return;
    }
    const auto known = elsewhere_.find(query.job);
    if (known != elsewhere_.end() && known->second.isJobOf(query.team, query.call.jobId) && isOwnerAlive(known->second)) {
        askOwner(query, known->second.ownerAddress, reply);
        return;
    }
    findOwner(query, reply);
}

auto JobService::answersFor(const std::string &job) -> bool
{
    return book_.find(job) != nullptr && adoption_.mayActAsOwner(job);
}

auto JobService::answerAsOwner(const Query &query, const ReplyHandler &reply, const std::function<void()> &onNotOwner) -> void
{
    if (query.call.kind != JobCall::Kind::ReadResults) {
        replyOwned(query, reply);
        return;
    }
    const auto end = [this, query, reply, onNotOwner] {
        if (answersFor(query.job)) {
            replyOwned(query, reply);
        } else {
            onNotOwner();
        }
    };
    book_.awaitResults(query.job, query.call.from, query.deadline, [this, query, end] {
        const OwnedJob *job = book_.find(query.job);
        if (job == nullptr || job->isComplete() || query.call.from < job->committed().size()) {
            end();
        } else {
            adoption_.proveOwnership(query.job, end);
        }
    });
}

auto JobService::replyOwned(const Query &query, const ReplyHandler &reply) -> void
{
    OwnedJob *job = book_.find(query.job);
    if (!job->record().isJobOf(query.team, query.call.jobId)) {
        if (query.isFromPeer) {
            reply(unknown());
        } else {
            findOwner(query, reply);
        }
        return;
    }
    if (query.call.kind == JobCall::Kind::ReadResults) {
        reply(jsonResult(HttpStatus::OK, parts_.dialect.encodeResults(job->items().size(), query.call.from, job->committed())));
        return;
    }
    if (query.call.kind == JobCall::Kind::ReadItem) {
        const ItemProgress *item = job->findItem(query.call.itemId);
        reply(item == nullptr || item->phase == ItemPhase::Committed ? unknown() : bytesResult(item->item.body));
        return;
    }
    runner_.stopJob(query.job);
    book_.cancel(query.job, [this, query, reply](const absl::Status &status) {
        EventLog::write("job_cancelled", { { "job", query.job }, { "ok", status.ok() } });
        if (status.ok()) {
            reply(jsonResult(HttpStatus::OK, "{}"));
        } else {
            adoption_.verifyAgain(query.job);
            // The store may have recorded it, so a later refusal must not say that nothing was done.
            findOwner(query, [this, reply](const HttpResult &result) {
                reply(result.status == HttpStatus::UNAVAILABLE ? cancelUncertain() : result);
            });
        }
    });
}

auto JobService::findOwner(const Query &query, const ReplyHandler &reply) -> void
{
    readRecord(query, reply, [this, query, reply](const JobRecord &record) {
        if (elsewhere_.size() >= CACHED_RECORDS) {
            elsewhere_.erase(elsewhere_.begin());
        }
        elsewhere_[record.id] = record;
        if (isOwnerAlive(record)) {
            askOwner(query, record.ownerAddress, reply);
        } else {
            answerFromStore(query, record, reply);
        }
    });
}

auto JobService::readRecord(const Query &query, const ReplyHandler &reply, std::function<void(const JobRecord &)> onRecord) -> void
{
    ledger_.read(query.job, [this, query, reply, onRecord = std::move(onRecord)](const absl::StatusOr<JobRecord> &record) {
        if (!record.ok() && !absl::IsNotFound(record.status())) {
            reply(unsure("the store does not answer"));
        } else if (record.ok() && record->isJobOf(query.team, query.call.jobId)) {
            onRecord(*record);
        } else {
            const bool isOpen = record.ok() && record->isJobOf({}, query.call.jobId);
            answerUnderOtherName(query, isOpen ? std::optional(*record) : std::nullopt, reply);
        }
    });
}

auto JobService::answerUnderOtherName(const Query &query, const std::optional<JobRecord> &openJob, const ReplyHandler &reply) -> void
{
    if (query.isFromPeer || query.job != query.call.jobId) {
        reply(unknown());
        return;
    }
    Query other = query;
    other.job = jobNameOf(query.team, query.call.jobId);
    if (!openJob) {
        answer(other, reply);
        return;
    }
    ledger_.read(other.job, [this, query, other, openJob, reply](const absl::StatusOr<JobRecord> &record) {
        if (absl::IsNotFound(record.status())) {
            answerFromStore(query, *openJob, reply);
        } else {
            answer(other, reply);
        }
    });
}

auto JobService::isOwnerAlive(const JobRecord &record) const -> bool
{
    const Peer *owner = parts_.peers.find(record.owner);
    return owner != nullptr && owner->incarnation == record.ownerIncarnation && parts_.peers.mayTakeWork(*owner, BootClock::now());
}

auto JobService::askOwner(const Query &query, const std::string &address, const ReplyHandler &reply) -> void
{
    const BootTime now = BootClock::now();
    const auto wait = std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(query.deadline - now));
    const HttpCall call { "GET", peerTarget(query.call, query.team, query.job, wait), {}, {} };
    parts_.peerClient.call(address, call, now + wait + OWNER_SLACK, [this, query, reply](const HttpCallOutcome &outcome) {
        const auto *result = std::get_if<HttpResult>(&outcome);
        if (result != nullptr && result->status == HttpStatus::OK) {
            HttpResult answer { HttpStatus::OK, {}, result->body };
            answer.headers.add("Content-Type", std::string(result->headers.valueOf("Content-Type")));
            reply(answer);
            return;
        }
        elsewhere_.erase(query.job);
        readRecord(query, reply, [this, query, reply](const JobRecord &record) { answerFromStore(query, record, reply); });
    });
}

auto JobService::answerFromStore(const Query &query, const JobRecord &record, const ReplyHandler &reply) -> void
{
    if (query.call.kind == JobCall::Kind::Cancel) {
        cancelInStore(record, reply);
        return;
    }
    const BootTime deadline = BootClock::now() + STORE_READ_TIME;
    if (query.call.kind == JobCall::Kind::ReadItem) {
        storedJobs_.readItem(record, query.call.itemId, deadline, [this, reply](const absl::StatusOr<JobItem> &item) {
            if (item.ok()) {
                reply(bytesResult(item->body));
            } else {
                reply(absl::IsNotFound(item.status()) ? unknown() : unsure("the job cannot be read"));
            }
        });
        return;
    }
    storedJobs_.readResults(record, query.call.from, deadline, [this, query, record, reply](const auto &results) {
        if (results.ok()) {
            reply(jsonResult(HttpStatus::OK, parts_.dialect.encodeResultPage(record.itemCount, query.call.from, *results)));
        } else {
            EventLog::write("job_read_failed", { { "job", record.id }, { "reason", results.status().message() } });
            reply(unsure("the results of the job cannot be read"));
        }
    });
}

auto JobService::cancelInStore(const JobRecord &record, const ReplyHandler &reply) -> void
{
    if (record.isCancelled) {
        notifyOwner(record, reply);
        return;
    }
    JobRecord cancelled = record;
    cancelled.isCancelled = true;
    ledger_.replace(cancelled, [this, id = record.id, reply](const absl::StatusOr<JobRecord> &result) {
        EventLog::write("job_cancelled", { { "job", id }, { "ok", result.ok() } });
        if (result.ok()) {
            notifyOwner(*result, reply);
        } else {
            reply(cancelUncertain());
        }
    });
}

auto JobService::notifyOwner(const JobRecord &record, const ReplyHandler &reply) -> void
{
    if (record.isDone) {
        reply(jsonResult(HttpStatus::OK, "{}"));
        return;
    }
    // The owner may not answer this daemon but still hear its relay.
    const BootTime now = BootClock::now();
    if (parts_.peers.announceCancellation(record.id, now)) {
        parts_.peerLink.sendReports();
    }
    const HttpCall call { "POST", absl::StrCat(CANCELLED_PATH, record.id), {}, {} };
    parts_.peerClient.call(
        record.ownerAddress, call, now + CANCELLATION_CALL_TIME, [this, id = record.id, now, reply](const HttpCallOutcome &outcome) {
            const auto *result = std::get_if<HttpResult>(&outcome);
            if (result != nullptr && result->status == HttpStatus::OK) {
                reply(jsonResult(HttpStatus::OK, "{}"));
                return;
            }
            unconfirmed_.push_back({ id, now, now + ANNOUNCEMENT_WAIT, reply });
            checkUnconfirmed();
        });
}

auto JobService::checkUnconfirmed() -> void
{
    const BootTime now = BootClock::now();
    const bool isAlone = !parts_.peers.hasOtherRelay(now) && parts_.peers.membership(now) == MembershipState::InTouch;
    const std::vector<UnconfirmedCancellation> unconfirmed = std::move(unconfirmed_);
    unconfirmed_.clear();
    for (const UnconfirmedCancellation &each : unconfirmed) {
        // Repeated, so that every report that a relay may echo meanwhile names the job.
        const bool isSent = parts_.peers.announceCancellation(each.job, now);
        const bool isAnnounced = isSent && (isAlone || parts_.peers.wasHeardSince(each.announcedAt, now));
        if (isSent && !isAnnounced && now < each.deadline) {
            unconfirmed_.push_back(each);
            continue;
        }
        EventLog::write("job_cancellation_announced", { { "job", each.job }, { "heard", isAnnounced } });
        each.reply(isAnnounced ? jsonResult(HttpStatus::OK, "{}") : cancelUncertain());
    }
    if (!unconfirmed_.empty()) {
        unconfirmedTimer_ = parts_.loop.at(now + ANNOUNCEMENT_CHECK_PERIOD, [this] { checkUnconfirmed(); });
    }
}

auto JobService::handlePeer(const std::shared_ptr<CallerExchange> &exchange) -> void
{
    if (absl::StartsWith(exchange->head().target, HANDOVER_PATH)) {
        const std::string progress = adoption_.handOver(exchange->head().target.substr(std::string_view(HANDOVER_PATH).size()));
        exchange->reply(progress.empty() ? refusalOf(parts_.dialect, ResultCode::JobUnknown, "", std::nullopt)
                                         : jsonResult(HttpStatus::OK, progress));
        return;
    }
    if (absl::StartsWith(exchange->head().target, CANCELLED_PATH)) {
        adoption_.noteCancellation(exchange->head().target.substr(std::string_view(CANCELLED_PATH).size()));
        exchange->reply(jsonResult(HttpStatus::OK, "{}"));
        return;
    }
    const std::vector<std::string> words = absl::StrSplit(exchange->head().target, '/');
    constexpr std::size_t WORDS = 8;
    int kind = 0;
    JobCall call;
    std::int64_t waitMs = 0;
    const bool isRead = words.size() == WORDS && absl::StrCat("/", words[1]) == PEER_PATH && absl::SimpleAtoi(words[2], &kind)
                        && absl::SimpleAtoi(words[5], &call.from) && absl::SimpleAtoi(words[6], &waitMs) && kind >= 0
                        && kind <= static_cast<int>(JobCall::Kind::Cancel);
    if (!isRead) {
        exchange->reply(refusalOf(parts_.dialect, ResultCode::RouteUnknown, "", std::nullopt));
        return;
    }
    call.kind = static_cast<JobCall::Kind>(kind);
    const auto team = decodeWord(words[3]);
    const auto job = decodeWord(words[4]);
    const auto item = decodeWord(words[7]);
    if (!team || !job || !item) {
        exchange->reply(refusalOf(parts_.dialect, ResultCode::RouteUnknown, "", std::nullopt));
        return;
    }
    call.itemId = *item;
    const auto refuse = [exchange] {
        exchange->reply(jsonResult(HttpStatus::CONFLICT, "{}"));
    };
    if (!answersFor(*job)) {
        refuse();
        return;
    }
    call.jobId = book_.find(*job)->record().chosenId();
    const Query query { call, *team, BootClock::now() + boundedMilliseconds(waitMs), *job, true };
    answerAsOwner(
        query, [exchange](const HttpResult &result) { exchange->reply(result); }, refuse);
}

} // namespace poplardock
