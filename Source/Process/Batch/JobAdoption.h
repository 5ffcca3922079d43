#pragma once

#include "Process/Batch/JobBook.h"
#include "Process/Batch/JobRunner.h"

#include <set>

namespace poplardock {

/// Keeps each open job with a living owner: takes over the jobs of daemons that are gone, leaving or without the
/// store, gives up those that another daemon owns now, and removes old ones from the store.
/// Thread safety: the loop's thread only.
class JobAdoption
{
public:
    JobAdoption(FrontParts &parts, JobLedger &ledger, JobBook &book, JobRunner &runner);

    auto start() -> void;
    /// Takes over no more jobs.
    auto drain() -> void;
    /// Looks at all jobs soon, because a peer was lost.
    auto reviewSoon() -> void;
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
    auto review(bool allowsStale) -> void;
    auto reviewOne(const JobRecord &record) -> void;
    [[nodiscard]] auto needsOwner(const JobRecord &record, BootTime now) const -> bool;
    auto takeOver(const std::string &id) -> void;
    auto claim(const JobRecord &found) -> void;
    auto load(const JobRecord &record) -> void;
    auto verify(const std::string &id) -> void;
    auto release(const std::string &id) -> void;
    auto endTakeOver(const std::string &id, const char *step, const absl::Status &status) -> void;

    FrontParts &parts_;
    JobLedger &ledger_;
    JobBook &book_;
    JobRunner &runner_;
    BootTime startedAt_;
    std::set<std::string> takingOver_;
    std::set<std::string> doubted_;
    bool isDraining_ = false;
    Timer next_;
    Timer soon_;
};

} // namespace poplardock
