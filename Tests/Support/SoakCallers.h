#pragma once

#include "Connection/HttpClient.h"
#include "Request/JobItem.h"
#include "Support/FrontProcesses.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace poplardock {

/// One online request of the soak and what its caller saw.
struct SoakRequest
{
    std::string id;
    /// "plain", "once", "resumed" or "stream".
    std::string route;
    std::string key;
    std::size_t daemon = 0;
    BootTime sentAt;
    BootTime endedAt;
    /// 0 when the connection ended, or the caller gave up, without a whole answer.
    int status = 0;
    std::string body;
    bool hasEnded = false;
    /// Its prompt has the part on which engines crash.
    bool isCrashing = false;
};

/// One job of the soak and what its readers saw.
struct SoakJob
{
    std::string id;
    std::size_t itemCount = 0;
    bool isAccepted = false;
    /// The submission was answered with a promise that nothing of it runs.
    bool isRefused = false;
    bool isCancelWanted = false;
    /// When a cancellation was acknowledged.
    std::optional<BootTime> cancelledAt;
    /// The longest list of results that a reader got.
    std::vector<JobResult> results;
    /// Reads that disagree with an earlier one, in words.
    std::vector<std::string> disagreements;
};

/// The callers of a soak: online requests of two teams at every daemon, jobs, and readers of their results. Their
/// connections are kept until a daemon closes them.
/// Thread safety: the loop's thread only.
class SoakCallers
{
public:
    SoakCallers(FrontProcesses &fleet, std::uint64_t seed);

    auto start() -> void;
    /// Begins no more requests and jobs; jobs are still read.
    auto stop() -> void;
    /// Requests that carry this key are sent too; empty for none.
    auto setThirdKey(const std::string &key) -> void;
    /// Sends one request and keeps its record.
    auto send(std::size_t daemon, const std::string &route, const std::string &key) -> void;
    /// Whether every request has ended and every accepted job that was not cancelled has all its results.
    [[nodiscard]] auto areAllDone() const -> bool;
    [[nodiscard]] auto requests() const -> const std::map<std::string, SoakRequest> &;
    [[nodiscard]] auto jobs() const -> const std::map<std::string, SoakJob> &;
    /// Reads a job's results once at a daemon; unset when there was no answer.
    auto readOnce(std::size_t daemon, const std::string &job, std::function<void(std::optional<std::vector<JobResult>>)> handler) -> void;

    /// Time that each online caller waits, as it says in its request.
    static constexpr Milliseconds PATIENCE { 4000 };

private:
    auto sendNext() -> void;
    auto sendCrashing() -> void;
    auto submitNext() -> void;
    auto submit(const std::string &job, int attempt) -> void;
    auto readNext() -> void;
    auto cancelNext() -> void;
    auto takeResults(SoakJob &job, const std::vector<JobResult> &results) -> void;
    [[nodiscard]] auto randomDaemon() -> std::size_t;
    auto sendRequest(const SoakRequest &newRequest) -> void;
    auto call(std::size_t daemon, const HttpCall &call, Milliseconds time, HttpClient::Handler handler) -> void;

    FrontProcesses &fleet_;
    std::mt19937_64 random_;
    ClientPool pool_;
    HttpClient client_;
    /// Some of the requests have a prompt part on which engines crash.
    const bool hasCrashingPart_;
    std::string thirdKey_;
    std::map<std::string, SoakRequest> requests_;
    std::map<std::string, SoakJob> jobs_;
    std::size_t nextRead_ = 0;
    int lastRequest_ = 0;
    int lastJob_ = 0;
    Timer requestTimer_;
    Timer dyersTimer_;
    Timer crashingTimer_;
    Timer jobTimer_;
    Timer readTimer_;
    Timer cancelTimer_;
    std::vector<Timer> retries_;
};

} // namespace poplardock
