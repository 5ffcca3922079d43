#pragma once

#include "BatchClient.h"
#include "Record.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace poplardock::review {

/// A client that reads the results of one batch submission from the first position on until it has all of them. It stays with the
/// first of the daemons, as the platform forwards it by a hash, and goes to the next one after a failure.
/// Thread safety: the loop's thread only.
class JobReader
{
public:
    JobReader(EventLoop &loop, BatchClient &client, Record &record, std::vector<std::string> addresses, std::string job);

    /// Reads from now on.
    auto start() -> void;
    auto stop() -> void;
    [[nodiscard]] auto job() const -> const std::string &;
    /// The results read so far, by position.
    [[nodiscard]] auto results() const -> const std::vector<ReadResult> &;
    [[nodiscard]] auto total() const -> std::size_t;
    [[nodiscard]] auto hasAll() const -> bool;
    /// Calls that were not answered 200.
    [[nodiscard]] auto failures() const -> int;
    /// Calls that were answered 404.
    [[nodiscard]] auto notFound() const -> int;

private:
    auto read() -> void;
    auto take(const std::string &address, const ResultPage &page) -> void;

    EventLoop &loop_;
    BatchClient &client_;
    Record &record_;
    const std::vector<std::string> addresses_;
    const std::string job_;
    /// Failures so far, which select the daemon.
    std::size_t calls_ = 0;
    int failures_ = 0;
    int notFound_ = 0;
    std::size_t total_ = 0;
    std::vector<ReadResult> results_;
    Timer timer_;
    bool isStopped_ = false;
    /// Ends with the reader, for answers that come later.
    std::shared_ptr<JobReader *> self_;
};

} // namespace poplardock::review
