#pragma once

#include "../../Tests/Support/ChildProcess.h"
#include "CaseEngine.h"
#include "CaseStore.h"
#include "Connection/HttpClient.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace poplardock::review {

/// Exit statuses of a case.
enum class Verdict
{
    Held = 0,
    Broken = 1,
    CouldNotRun = 2,
};

/// What one read of a job's results showed.
struct ResultPage
{
    std::int64_t total = 0;
    std::vector<std::string> itemIds;
    std::vector<std::string> states;
    std::vector<std::string> texts;
};

/// Front daemons as separate processes on loopback addresses, with stand-ins of the platform's store and the model servers.
class CaseFleet
{
public:
    struct Daemon
    {
        std::string name;
        std::string zone;
        std::string callersAddress;
        std::string readyAddress;
        std::string settingsFile;
        std::string outputFile;
        std::unique_ptr<ChildProcess> process;
    };

    /// "folder" is a temporary folder that exists; "program" is the program of the deploy file.
    CaseFleet(EventLoop &loop, CaseRecord &record, std::string folder, std::string program);

    /// Writes the settings of a front daemon; "settings": further lines. Returns its index.
    auto addDaemon(const std::string &zone, const std::string &settings = {}) -> std::size_t;
    auto startDaemon(std::size_t daemon) -> void;
    /// SIGKILL.
    auto killDaemon(std::size_t daemon) -> void;
    /// SIGTERM, and SIGKILL after 8 s, as the platform stops a process. Returns whether it ended by itself.
    auto stopDaemon(std::size_t daemon) -> bool;
    auto addEngine(const std::string &zone, CaseEngine::Shape shape, bool isRecorded = true) -> std::size_t;
    /// Writes a configuration with the given routes (a JSON array) and the teams "weavers" (key1) and "dyers" (key2).
    /// "allotment": further fields of the team "dyers", each after a comma.
    auto configure(const std::string &routes, const std::string &allotment = {}) -> void;

    /// Runs the loop for a time, or until the condition holds; returns whether it holds.
    auto runFor(Milliseconds time) -> void;
    auto runUntil(const std::function<bool()> &condition, Milliseconds time) -> bool;
    /// Whether all running daemons answer 200 to the platform's readiness question within the time.
    auto awaitReady(Milliseconds time) -> bool;

    /// One call of a client on a connection of its own, with a key; unset when there is no answer.
    auto call(std::size_t daemon, HttpCall call, Milliseconds time, const std::string &key = "key1") -> std::optional<HttpResult>;
    /// As call(), without waiting for the answer.
    auto send(std::size_t daemon, HttpCall call, Milliseconds time, const std::string &key, HttpClient::Handler handler) -> void;
    /// Submits a job of items "ID-0", "ID-1", ... Returns the status, 0 without an answer.
    auto submit(std::size_t daemon, const std::string &job, int items, std::size_t bodyBytes) -> int;
    /// Reads results from a position; unset unless the answer is 200.
    auto read(std::size_t daemon, const std::string &job, std::size_t from) -> std::optional<ResultPage>;

    /// The resident memory of a daemon's process; 0 without one.
    [[nodiscard]] auto residentKb(std::size_t daemon) const -> std::uint64_t;
    [[nodiscard]] auto loop() -> EventLoop &;
    [[nodiscard]] auto store() -> CaseStore &;
    [[nodiscard]] auto daemons() -> std::vector<Daemon> &;
    [[nodiscard]] auto engines() const -> const std::vector<std::unique_ptr<CaseEngine>> &;
    [[nodiscard]] auto record() -> CaseRecord &;

    /// The route of the jobs and a route of plain requests.
    static constexpr const char *BATCH_ROUTE
        = R"({"name":"batch","host":"shop.example","pathPrefix":"/batch/","kind":"batch","timeoutMs":15000,"targetLatencyMs":400,)"
          R"("targetGapMs":300,"service":"models","maxAttempts":3,"targetCompletionMs":18000,"retentionS":60,"priority":2})";
    static constexpr const char *PLAIN_ROUTE
        = R"({"name":"plain","host":"shop.example","pathPrefix":"/plain/","kind":"idempotent","timeoutMs":4000,)"
          R"("targetLatencyMs":200,"service":"models","maxAttempts":2,"priority":0})";

private:
    EventLoop &loop_;
    CaseRecord &record_;
    const std::string folder_;
    const std::string program_;
    CaseStore store_;
    ClientPool pool_;
    HttpClient client_;
    std::vector<Daemon> daemons_;
    std::vector<std::unique_ptr<CaseEngine>> engines_;
    int version_ = 0;
};

/// Runs a case with a record beside its folder and a temporary folder; "body" gets whether the disruption is to happen.
auto runCase(int argumentCount, char **arguments, const std::function<Verdict(CaseFleet &fleet, bool hasTrouble)> &body) -> int;

} // namespace poplardock::review
