#pragma once

#include "Process/Batch/JobRegistry.h"
#include "Process/Batch/JobRunner.h"

#include <map>
#include <set>

namespace poplardock {

/// Path of the daemons' own call by which a former owner hands over a job; the job's id follows.
inline constexpr const char *HANDOVER_PATH = "/handover/";

/// Keeps each open job with a living owner: takes over the jobs of daemons that are gone, leaving or without the
/// store, gives up those that another daemon owns now, and removes old ones from the store.
/// Thread safety: the loop's thread only.
class JobTakeover
{
public:
    JobTakeover(FrontParts &context, JobRepository &ledger, JobRegistry &book, JobRunner &runner);

    auto start() -> void;
    auto stop() -> void;
    /// Takes over no more jobs.
    auto drain() -> void;
    /// Looks at the jobs of daemons that are gone, leaving or without the store, as far as their reports named them.
    auto checkPeerReports() -> void;
    /// Ends this daemon's ownership of a job and gives out the progress of its items, for the daemon that has taken
    /// it over. Empty when the job is not owned.
    auto handOver(const std::string &id) -> std::string;
    /// The daemon may have missed that its jobs were taken over: reads their records again. Until then they are not
    /// answered for.
    auto verifyOwnership() -> void;
    /// As doubtOwnership(), for one job.
    auto verifyJob(const std::string &id) -> void;
    /// Whether this daemon may answer for a job that it owns.
    [[nodiscard]] auto isOwnershipVerified(const std::string &id) const -> bool;
    /// Whether this daemon was found to be the right owner of new work: it has contact with the store.
    [[nodiscard]] auto hasStoreContact(BootTime now) const -> bool;

private:
    auto scheduleReconciliation() -> void;
    auto reconcile(bool allowsStale) -> void;
    auto reconcileJob(const JobRecord &record) -> void;
    [[nodiscard]] auto needsTakeover(const JobRecord &record, BootTime now) const -> bool;
    auto takeOver(const std::string &id) -> void;
    auto claim(const JobRecord &found) -> void;
    /// Asks the owner before for the progress of the items, then loads the job.
    auto fetchProgress(const JobRecord &record, const std::string &formerOwner) -> void;
    auto loadItems(const JobRecord &record, const std::string &progress) -> void;
    /// Closes the log to the owner before: an empty entry takes the next number, so that owner cannot append unseen.
    auto fenceResultLog(const JobRecord &record, const std::vector<JobItem> &items, const std::string &progress, int attempts) -> void;
    auto completeTakeover(const JobRecord &record,
                          const std::vector<JobItem> &items,
                          const JobRepository::ResultLog &log,
                          const std::string &progress) -> void;
    auto checkRecord(const std::string &id) -> void;
    auto release(const std::string &id) -> void;
    /// Tries a take-over again that failed after the claim.
    auto scheduleRetry(const std::string &id) -> void;
    auto endTakeover(const std::string &id, const char *step, const absl::Status &status) -> void;

    FrontParts &context_;
    JobRepository &repository_;
    JobRegistry &registry_;
    JobRunner &runner_;
    BootTime startedAt_;
    std::set<std::string> takingOver_;
    std::set<std::string> unverified_;
    /// Jobs for which a take-over was tried lately, and when it may be tried again.
    std::map<std::string, BootTime> nextCheckAt_;
    /// Jobs whose record this daemon has claimed without having loaded them, and when that is tried again.
    std::map<std::string, BootTime> incompleteTakeovers_;
    bool isDraining_ = false;
    Timer reconcileTimer_;
};

} // namespace poplardock
