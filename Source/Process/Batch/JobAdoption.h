#pragma once

#include "Process/Batch/JobBook.h"
#include "Process/Batch/JobRunner.h"

#include <map>
#include <set>

namespace poplardock {

/// Path of the daemons' own call by which a former owner hands over a job; the job's id follows.
inline constexpr const char *HAND_OVER_PATH = "/handover/";

/// Keeps each open job with a living owner: takes over the jobs of daemons that are gone, leaving or without the
/// store, gives up those that another daemon owns now, and removes old ones from the store.
/// Thread safety: the loop's thread only.
class JobAdoption
{
public:
    JobAdoption(FrontParts &parts, JobLedger &ledger, JobBook &book, JobRunner &runner);

    auto start() -> void;
    auto stop() -> void;
    /// Takes over no more jobs.
    auto drain() -> void;
    /// Looks at the jobs of daemons that are gone, leaving or without the store, as far as their reports named them.
    auto reviewPeers() -> void;
    /// Ends this daemon's ownership of a job and gives out the progress of its items, for the daemon that has taken
    /// it over. Empty when the job is not owned.
    auto handOver(const std::string &id) -> std::string;
    /// The daemon may have missed that its jobs were taken over: reads their records again. Until then they are not
    /// answered for.
    auto doubtOwnership() -> void;
    /// As doubtOwnership(), for one job.
    auto doubt(const std::string &id) -> void;
    /// Whether this daemon may answer for a job that it owns.
    [[nodiscard]] auto isSureOf(const std::string &id) const -> bool;
    /// Whether this daemon was found to be the right owner of new work: it has contact with the store.
    [[nodiscard]] auto hasStore(BootTime now) const -> bool;

private:
    auto scheduleReview() -> void;
    auto review(bool allowsStale) -> void;
    auto reviewOne(const JobRecord &record) -> void;
    [[nodiscard]] auto needsOwner(const JobRecord &record, BootTime now) const -> bool;
    auto takeOver(const std::string &id) -> void;
    auto claim(const JobRecord &found) -> void;
    /// Asks the owner before for the progress of the items, then loads the job.
    auto fetchProgress(const JobRecord &record, const std::string &formerOwner) -> void;
    auto load(const JobRecord &record, const std::string &progress) -> void;
    /// Closes the log to the owner before: an empty entry takes the next number, so that owner cannot append unseen.
    auto fenceLog(const JobRecord &record, const std::vector<JobItem> &items, const std::string &progress, int attempts) -> void;
    auto adopt(const JobRecord &record, const std::vector<JobItem> &items, const JobLedger::Log &log, const std::string &progress) -> void;
    auto verify(const std::string &id) -> void;
    auto release(const std::string &id) -> void;
    /// Tries a take-over again that failed after the claim.
    auto finishLater(const std::string &id) -> void;
    auto endTakeOver(const std::string &id, const char *step, const absl::Status &status) -> void;

    FrontParts &parts_;
    JobLedger &ledger_;
    JobBook &book_;
    JobRunner &runner_;
    BootTime startedAt_;
    std::set<std::string> takingOver_;
    std::set<std::string> doubted_;
    /// Jobs for which a take-over was tried lately, and when it may be tried again.
    std::map<std::string, BootTime> retryAt_;
    /// Jobs whose record this daemon has claimed without having loaded them, and when that is tried again.
    std::map<std::string, BootTime> unfinished_;
    bool isDraining_ = false;
    Timer next_;
};

} // namespace poplardock
