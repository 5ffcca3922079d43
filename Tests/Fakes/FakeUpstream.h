#pragma once

#include "Connection/HttpService.h"
#include "Process/Clock.h"
#include "Process/Json.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace poplardock {

/// Stand-in for a model engine with continuous batching and for a plain service.
///
/// POST /v1/chat/completions runs a request in one of a fixed number of slots, first come first served, with
/// no priorities. It answers whole or as server-sent events with "max_tokens" tokens (16 by default). The
/// content starts with "echo:" and the text of the last message, so that a test sees whose answer it is.
/// GET /load reports {"running","waiting","leaving"}, the counts as of "report_lag_ms" ago. Each answer carries the same as
/// header "Load-Report". Any other path is a plain service that answers {"path","calls","body"}.
///
/// POST /faults sets switches; keys that are absent keep their value:
///   "crash_on": a request whose body contains this text ends the process (or calls the crash handler);
///   "reset_requests": the next N requests are read and cut off without an answer;
///   "reset_after_tokens": streams are cut off after this many tokens (0: never);
///   "delay_ms": each request waits this long before it takes a slot;
///   "slow_factor": all times are multiplied by this;
///   "refuse_status": requests are answered with this status (0: never);
///   "leaving": all answers say that this upstream leaves.
/// GET /received lists the requests received; GET /stats counts them.
class FakeUpstream
{
public:
    struct Options
    {
        std::string name = "upstream";
        /// Requests that run at the same time; further ones wait.
        int slots = 16;
        /// Time to the first token on an idle engine.
        double prefillMs = 20;
        /// Time between tokens on an idle engine.
        double tokenMs = 5;
        /// Share by which each further running request lengthens all times.
        double slowdownPerRequest = 0.02;
        std::int64_t reportLagMs = 200;
    };

    /// One request as the upstream saw it.
    struct Received
    {
        /// Milliseconds since the start of the upstream.
        std::int64_t atMs = 0;
        std::string method;
        std::string path;
        /// All header values, joined by newlines.
        std::string headers;
        std::string body;
        bool answered = false;
    };

    static auto start(const std::string &address, Options options) -> absl::StatusOr<std::unique_ptr<FakeUpstream>>;

    [[nodiscard]] auto address() const -> std::string;
    auto setFaults(const std::string &json) -> absl::Status;
    /// Replaces the end of the process on "crash_on"; for use inside a test process.
    auto setCrashHandler(std::function<void()> handler) -> void;
    auto received() -> std::vector<Received>;

private:
    struct Faults
    {
        std::string crashOn;
        std::int64_t resetRequests = 0;
        std::int64_t resetAfterTokens = 0;
        std::int64_t delayMs = 0;
        double slowFactor = 1;
        std::int64_t refuseStatus = 0;
        bool isLeaving = false;
    };
    struct LoadSample
    {
        TimePoint at;
        int running = 0;
        int waiting = 0;
    };

    explicit FakeUpstream(Options options);
    auto handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) -> void;
    auto handleControl(const std::string &method, const std::string &path, const std::string &body, Poco::Net::HTTPServerResponse &response)
        -> bool;
    auto answerChat(const std::string &body, Poco::Net::HTTPServerResponse &response) -> bool;
    auto answerService(const std::string &path, const std::string &body, Poco::Net::HTTPServerResponse &response) -> void;
    auto streamTokens(const std::string &content, std::int64_t tokens, Poco::Net::HTTPServerResponse &response) -> bool;
    auto enterSlot() -> void;
    auto leaveSlot() -> void;
    auto pause(double milliseconds) -> void;
    auto recordLoad() -> void;
    auto laggedLoad() -> std::string;
    auto receivedAsJson() -> std::string;
    auto statsAsJson() -> std::string;

    const Options options_;
    const TimePoint startedAt_ = Clock::now();
    std::mutex mutex_;
    std::condition_variable slotFreed_;
    Faults faults_;
    std::function<void()> crashHandler_;
    int running_ = 0;
    std::uint64_t nextTicket_ = 0;
    std::uint64_t servingTicket_ = 0;
    std::vector<LoadSample> loads_;
    std::vector<Received> received_;
    std::map<std::string, std::uint64_t> calls_;
    std::uint64_t finished_ = 0;
    std::uint64_t abandoned_ = 0;
    std::uint64_t tokensSent_ = 0;
    std::unique_ptr<HttpService> service_;
};

} // namespace poplardock
