#pragma once

#include "Support/ProcessFleet.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace poplardock {

/// One request of a load and what came of it.
struct CallOutcome
{
    /// Text that only this request's body holds.
    std::string id;
    TimePoint sentAt;
    TimePoint endedAt;
    FleetAnswer answer;
};

/// Sends requests to one address at a steady rate from several threads, whatever the answers are, and keeps
/// every outcome. Each body has a text of its own, so that an answer to another request shows.
class CallerLoad
{
public:
    struct Options
    {
        std::string key;
        /// "/v1/chat/completions" or a path of a service.
        std::string path = "/lookups/load";
        /// Start of the ids, unique among the loads of a test.
        std::string prefix;
        double perSecond = 10;
        int threads = 4;
        int tokens = 2;
        bool hasIdempotencyKeys = false;
        Milliseconds timeout { 5000 };
    };

    CallerLoad(std::string address, Options options);
    CallerLoad(const CallerLoad &) = delete;
    auto operator=(const CallerLoad &) -> CallerLoad & = delete;
    CallerLoad(CallerLoad &&) = delete;
    auto operator=(CallerLoad &&) -> CallerLoad & = delete;
    ~CallerLoad();

    /// Sends no more and returns when the last answer has come.
    auto stop() -> void;
    [[nodiscard]] auto outcomes() const -> std::vector<CallOutcome>;
    /// Number of outcomes by result code; 0 stands for success and -1 for no answer.
    [[nodiscard]] auto countsByCode() const -> std::map<int, int>;
    /// Successful answers that are not the answer to their request.
    [[nodiscard]] auto crossedAnswers() const -> std::vector<std::string>;

private:
    auto run(const std::stop_token &stop, int thread) -> void;
    auto requestFor(const std::string &id) const -> JsonClient::Call;

    const Options options_;
    JsonClient client_;
    std::atomic<int> nextId_ = 0;
    mutable std::mutex mutex_;
    std::vector<CallOutcome> outcomes_;
    std::vector<std::jthread> threads_;
};

/// "code x count" for a log line.
auto describeCounts(const std::map<int, int> &counts) -> std::string;

} // namespace poplardock
