#pragma once

#include "Process/Batch/JobRegistry.h"
#include "Process/Batch/JobRunner.h"

#include <map>
#include <optional>
#include <set>

namespace poplardock {

/// Path of the call between daemons by which the former owner hands over a job; the job's id follows.
inline constexpr const char *HANDOVER_PATH = "/handover/";

/// Ensures that each open job has a live owner: takes over the jobs of daemons that are gone, draining or without
/// contact to the store, releases jobs that another daemon owns now, and removes expired jobs from the store.
/// The home of a job (PeerDirectory::homeOf()) is the daemon that takes it over when it has no live owner, and that
/// removes it when it has expired.
/// Thread safety: the loop's thread only.
class JobTakeover
{
public:
    JobTakeover(FrontParts &context, JobRepository &repository, JobRegistry &registry, JobRunner &runner);

    auto start() -> void;
    auto stop() -> void;
    /// Stops taking over jobs.
    auto drain() -> void;
    /// Acts on the jobs that the latest reports of peers name: takes over those of daemons that are gone, draining or
    /// without contact to the store, if this daemon is the job's home, and verifies owned jobs that another daemon
    /// reports as its own or as cancelled. Retries incomplete takeovers and verifications.
    auto checkPeerReports() -> void;
    /// Ends this daemon's ownership of a job and returns the progress of its items, for the daemon that has taken it
    /// over. Empty when the job is not owned.
    auto handOver(const std::string &id) -> std::string;
    /// Whether items of a job that is owned here may be sent to upstreams: unless another daemon may have cancelled it or taken
    /// it over unnoticed. Reads the record when that is in doubt.
    [[nodiscard]] auto mayStartItems(const std::string &id) -> bool;
    /// Reads the records of all owned jobs again; until then their ownership is unverified. Call when other daemons may
    /// have taken over jobs unnoticed, for example while this one was suspended.
    auto verifyOwnership() -> void;
    /// As verifyOwnership(), for one job.
    auto verifyJob(const std::string &id) -> void;
    /// As verifyJob(), also if a read of the record is under way, which may predate a change that is known to have happened.
    auto verifyAgain(const std::string &id) -> void;
    /// Another daemon has cancelled a job in the store and takes this one for its owner. A notice of a job that this daemon does
    /// not own yet is kept for a while.
    auto noteCancellation(const std::string &id) -> void;
    /// Verifies a job that has just become this daemon's if a notice of its cancellation came before. Precondition: it is owned.
    auto checkEarlyNotice(const std::string &id) -> void;
    /// Whether this daemon may answer for a job that it owns: the ownership is verified, there is contact to the store,
    /// and the daemon is not draining.
    [[nodiscard]] auto mayActAsOwner(const std::string &id) const -> bool;
    /// Calls "onEnd" once it is known whether this daemon is still the owner: at once if the store has shown so recently or no
    /// other daemon can have found this one gone, otherwise after a read of the record. Afterwards mayActAsOwner() is false if
    /// the job has another owner or the store did not tell. To be called before a reader is told that there is no further
    /// result, which only the owner can know.
    auto proveOwnership(const std::string &id, std::function<void()> onEnd) -> void;
    /// Whether the store has responded recently. Without contact, this daemon is no suitable owner of further jobs.
    [[nodiscard]] auto hasStoreContact(BootTime now) const -> bool;

private:
    /// Ends with the answer to a read of the record that was sent after the ownership came into doubt.
    struct Verification
    {
        BootTime since;
        /// When the record is read again because the store has not answered; unset while a read is in flight.
        std::optional<BootTime> retryAt;
    };

    auto scheduleReconciliation() -> void;
    /// Compares all job records in the store with the jobs owned here, and reads the records of unverified jobs again.
    auto reconcile(bool allowsStale) -> void;
    /// Verifies an owned job whose newer record names another owner or is cancelled, takes over an open job without a
    /// live owner, or removes an expired one.
    /// "isIdShared": a job of another team, under another name, has the same id. Its repeats are known by the record that has the id.
    auto reconcileJob(const JobRecord &record, bool isIdShared) -> void;
    /// Whether the record names this incarnation of this daemon as the owner.
    [[nodiscard]] auto isOwnRecord(const JobRecord &record) const -> bool;
    /// Whether an owner is gone, draining or without contact to the store.
    [[nodiscard]] auto hasLeft(const Peer &owner, BootTime now) const -> bool;
    /// Whether this daemon is the one to take over a job: the record names it, or it is the job's home among the daemons of the data
    /// centres in which the job may run. The items of a job reach no other daemon.
    [[nodiscard]] auto isResponsible(const JobRecord &record, BootTime now) const -> bool;
    /// Whether a job whose record is known now may be taken over here: always where no route or team has allowed regions.
    [[nodiscard]] auto mayHold(const JobRecord &record, BootTime now) const -> bool;
    /// As isResponsible() for a job whose record is not known: it may turn out that another daemon is.
    [[nodiscard]] auto mayBeResponsible(const std::string &id, BootTime now) const -> bool;
    [[nodiscard]] auto needsTakeover(const JobRecord &record, BootTime now) const -> bool;
    auto takeOver(const std::string &id) -> void;
    /// Writes this daemon into the record as the owner, unless the record has changed meanwhile.
    auto claim(const JobRecord &record) -> void;
    /// Requests the progress of the items from the former owner, then loads the job.
    auto fetchProgress(const JobRecord &record, const std::string &formerOwner) -> void;
    auto loadItems(const JobRecord &record, const std::string &progress) -> void;
    /// Fences off the former owner: an entry without results takes the next number of the result log, so that a later append
    /// of that owner fails. Ends the takeover if a later owner has done so already: the claim of this daemon was replaced.
    auto fenceResultLog(const JobRecord &record, const std::vector<JobItem> &items, const std::string &progress, int attemptsLeft) -> void;
    auto completeTakeover(const JobRecord &record,
                          const std::vector<JobItem> &items,
                          const JobRepository::ResultLog &log,
                          const std::string &progress) -> void;
    /// Reads the record, even if another read is in flight; verifies the ownership or releases the job.
    auto checkRecord(const std::string &id) -> void;
    /// Applies a record that names this daemon as the owner, read by a call that was sent at that time.
    auto applyOwnRecord(const JobRecord &record, BootTime sentAt) -> void;
    /// Reads the record as a proof of ownership; callers that wait for the same job share the read.
    auto readProof(const std::string &id, std::function<void()> onEnd) -> void;
    /// Whether all other daemons that act on a job would be heard here within a moment.
    [[nodiscard]] auto hearsOthers(BootTime now) -> bool;
    /// Reads the records of unverified jobs again whose last read has failed.
    auto retryVerifications(BootTime now) -> void;
    /// Stops the attempts of a job that another daemon owns now, and drops it from the registry.
    auto release(const std::string &id) -> void;
    /// Schedules the retry of a takeover that failed after the claim.
    auto scheduleRetry(const std::string &id) -> void;
    auto endTakeover(const std::string &id, const char *step, const absl::Status &status) -> void;

    FrontParts &context_;
    JobRepository &repository_;
    JobRegistry &registry_;
    JobRunner &runner_;
    BootTime startedAt_;
    std::set<std::string> takingOver_;
    /// Jobs whose ownership is unverified.
    std::map<std::string, Verification> unverified_;
    /// Callers of readProof() that wait for a read of the record, by job.
    std::map<std::string, std::vector<std::function<void()>>> awaitingProof_;
    /// Jobs that were verified or taken over because a peer's report named them, and when a report may cause it again.
    std::map<std::string, BootTime> nextCheckAt_;
    /// Jobs whose record this daemon has claimed but which it could not load, and when the takeover is retried.
    std::map<std::string, BootTime> incompleteTakeovers_;
    /// Jobs that were cancelled in the store, by a notice that came before this daemon owned them, and until when it is kept.
    std::map<std::string, BootTime> earlyNotices_;
    bool isDraining_ = false;
    bool hearsOthers_ = false;
    BootTime hearsOthersCheckAt_;
    bool hadContact_ = true;
    BootTime contactLostAt_;
    Timer reconcileTimer_;
};

} // namespace poplardock
