#pragma once

#include "Connection/HttpClient.h"
#include "Process/Clock.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace poplardock::review {

/// One result as a client reads it.
struct ReadResult
{
    std::string item;
    std::string state;
    std::string text;
};

/// What a call for results brought.
struct ResultPage
{
    /// 0 when there was no answer.
    int status = 0;
    std::size_t total = 0;
    std::size_t next = 0;
    std::vector<ReadResult> results;
};

/// Calls of clients of batch submissions, each on a new connection.
/// Thread safety: the loop's thread only.
class BatchClient
{
public:
    BatchClient(EventLoop &loop, std::string host, std::string key);

    /// Sends a request; status 0 when there is no answer in time.
    auto call(const std::string &address, HttpCall call, Milliseconds patience, std::function<void(int, const HttpResult &)> handler)
        -> void;
    auto submit(const std::string &address,
                const std::string &path,
                const std::string &id,
                const std::vector<std::string> &items,
                int outputTokens,
                std::function<void(int)> handler) -> void;
    auto readResults(const std::string &address, const std::string &id, std::size_t after, std::function<void(const ResultPage &)> handler)
        -> void;

private:
    EventLoop &loop_;
    const std::string host_;
    const std::string key_;
};

} // namespace poplardock::review
