#pragma once

#include "Request/UpstreamView.h"
#include "Version/Upstream.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace poplardock {

enum class Work
{
    Online,
    Batch,
};

/// Work in flight at one upstream.
struct WorkCount
{
    int online = 0;
    int batch = 0;

    auto operator==(const WorkCount &) const -> bool = default;
};

using WorkCounts = std::map<std::string, WorkCount>;

/// The upstreams that the store names, with what this daemon knows of their work, speed and failures.
/// Times are given, so that tests need no clock. Thread safety: the loop's thread only.
class UpstreamDirectory
{
public:
    explicit UpstreamDirectory(std::string dataCentre);

    /// Adds or replaces an upstream.
    auto put(const Upstream &upstream) -> void;
    /// The entry is gone without a notice of leave: the upstream may have crashed, or its entry may have lapsed.
    auto markSuspect(const std::string &name, BootTime usableUntil) -> void;
    /// The entry is gone for good, or names no usable upstream.
    auto remove(const std::string &name) -> void;
    /// Drops entries that were missed and whose time has passed.
    auto removeExpired(BootTime now) -> void;

    /// Null when there is none. The pointer lives until the next change.
    [[nodiscard]] auto find(const std::string &name) const -> const Upstream *;
    /// Upstreams of a group that may get work, in the order of their names.
    [[nodiscard]] auto candidates(const std::string &group) const -> std::vector<UpstreamView>;
    [[nodiscard]] auto size() const -> std::size_t;

    /// Counts work in flight. Each begin() is followed by one end().
    auto recordStart(const std::string &name, Work work) -> void;
    auto recordEnd(const std::string &name, Work work) -> void;
    [[nodiscard]] auto ownWork() const -> const WorkCounts &;
    /// Work of all other daemons.
    auto setPeerWork(WorkCounts counts) -> void;

    /// An answer told how many slots the upstream has.
    auto recordSlots(const std::string &name, int slots) -> void;
    /// Time to the first event or answer of a request that found a free slot.
    auto recordFirstEvent(const std::string &name, double milliseconds) -> void;
    /// Time of a whole request.
    auto recordServiceTime(const std::string &name, double milliseconds) -> void;
    auto recordSuccess(const std::string &name) -> void;
    /// No connection, a broken or wrong answer, or a stall: no new work for a time that doubles with each failure.
    auto recordFailure(const std::string &name, BootTime now) -> void;

private:
    struct Entry
    {
        Upstream upstream;
        std::optional<BootTime> usableUntil;
        BootTime ejectedUntil;
        int failures = 0;
        std::optional<double> firstEventMs;
        std::optional<double> serviceMs;
    };

    [[nodiscard]] auto groupMean(const std::string &group, std::optional<double> Entry::*member, double fallback) const -> double;

    const std::string dataCentre_;
    std::map<std::string, Entry> entries_;
    WorkCounts ownWork_;
    WorkCounts peerWork_;
};

} // namespace poplardock
