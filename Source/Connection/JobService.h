#pragma once

#include "Connection/FrontService.h"
#include "Connection/HttpClient.h"
#include "Process/Batch/JobTakeover.h"
#include "Process/Batch/StoredJobReader.h"

#include <map>

namespace poplardock {

/// Answers the jobs calls of callers, and of other daemons on their behalf. A call on a job that another daemon owns
/// is passed on to the owner; when the owner does not answer for it, the store does.
/// Thread safety: the loop's thread only.
class JobService
{
public:
    using ReplyHandler = std::function<void(const HttpResult &)>;

    JobService(FrontParts &parts, JobRepository &ledger, JobRegistry &book, JobRunner &runner, JobTakeover &adoption);

    /// A call of a caller whose key and route were checked.
    auto handle(const FrontService::JobRequest &request) -> void;
    /// A call that another daemon passes on.
    auto handlePeer(const std::shared_ptr<CallerExchange> &exchange) -> void;

private:
    /// A call with what is needed to answer it anywhere.
    struct Query
    {
        JobCall call;
        std::string team;
        BootTime deadline;
        /// The job's name in the store and between daemons: the id of the call, or the name that the job has where another team's job
        /// has the id.
        std::string job;
        /// Passed on by another daemon, which looks for the other name itself.
        bool isFromPeer = false;
    };
    /// A cancellation in the store whose owner has not answered.
    struct UnconfirmedCancellation
    {
        std::string job;
        BootTime announcedAt;
        BootTime deadline;
        ReplyHandler reply;
    };

    auto submit(const FrontService::JobRequest &request) -> void;
    /// Whether a job that is restricted to regions has an upstream in one of them.
    [[nodiscard]] auto mayRun(const FrontService::JobRequest &request, const JobRecord &record) const -> bool;
    [[nodiscard]] auto newRecord(const FrontService::JobRequest &request) const -> JobRecord;
    auto takeAcceptance(JobRepository::Acceptance acceptance, bool isOwn, const JobRecord &record, const std::vector<JobItem> &items)
        -> HttpResult;
    auto answer(const Query &query, const ReplyHandler &reply) -> void;
    /// Whether this daemon owns a job and has no doubt of it.
    [[nodiscard]] auto answersFor(const std::string &job) -> bool;
    /// "onNotOwner" is called instead when the job goes to another daemon while the reader waits.
    auto answerAsOwner(const Query &query, const ReplyHandler &reply, const std::function<void()> &onNotOwner) -> void;
    auto replyOwned(const Query &query, const ReplyHandler &reply) -> void;
    auto findOwner(const Query &query, const ReplyHandler &reply) -> void;
    /// Answers a call whose id names no job of the team. "openJob": the job that the id names, if it was submitted without a key.
    auto answerUnderOtherName(const Query &query, const std::optional<JobRecord> &openJob, const ReplyHandler &reply) -> void;
    /// Replies itself unless the store has a record of the team's job.
    auto readRecord(const Query &query, const ReplyHandler &reply, std::function<void(const JobRecord &)> onRecord) -> void;
    auto askOwner(const Query &query, const std::string &address, const ReplyHandler &reply) -> void;
    auto answerFromStore(const Query &query, const JobRecord &record, const ReplyHandler &reply) -> void;
    auto cancelInStore(const JobRecord &record, const ReplyHandler &reply) -> void;
    /// Makes sure that the owner of a job that was cancelled in the store learns of it, then replies.
    auto notifyOwner(const JobRecord &record, const ReplyHandler &reply) -> void;
    /// Replies to cancellations that a relay has heard by now, or not in time.
    auto checkUnconfirmed() -> void;
    [[nodiscard]] auto unsure(const std::string &reason) const -> HttpResult;
    /// The answer to a cancellation that may have taken effect.
    [[nodiscard]] auto cancelUncertain() const -> HttpResult;
    [[nodiscard]] auto unknown() const -> HttpResult;
    [[nodiscard]] auto isOwnerAlive(const JobRecord &record) const -> bool;

    FrontParts &parts_;
    JobRepository &ledger_;
    JobRegistry &book_;
    JobRunner &runner_;
    JobTakeover &adoption_;
    std::vector<UnconfirmedCancellation> unconfirmed_;
    Timer unconfirmedTimer_;
    /// Records of jobs that other daemons own, as they were last read.
    std::map<std::string, JobRecord> elsewhere_;
    /// Reads jobs for which no other daemon answers.
    StoredJobReader storedJobs_;
};

} // namespace poplardock
