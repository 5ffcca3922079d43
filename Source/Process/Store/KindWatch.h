#pragma once

#include "Process/Store/ObjectStore.h"

#include <functional>
#include <random>

namespace poplardock {

/// Follows all objects of one kind: a list, then watches from its revision while that is wanted, and a new list when the
/// history is gone.
/// Thread safety: the loop's thread only.
class KindWatch
{
public:
    struct Options
    {
        std::string kind;
        /// Time between an answer with changes and the next watch, so that changes come together.
        Milliseconds coalescingDelay { 0 };
        /// The same for the first seconds, in which many objects are made one after the other.
        Milliseconds startupCoalescingDelay { 0 };
        /// Whether watches follow the first list.
        bool startsWatching = false;

        auto operator==(const Options &) const -> bool = default;
    };
    struct Handlers
    {
        std::function<void(const StoreList &)> onList;
        std::function<void(const StoreEvents &)> onEvents;
    };

    /// Longest time of one watch until setWait(): about as long as the store allows.
    static constexpr Milliseconds DEFAULT_WAIT { 20000 };

    KindWatch(EventLoop &loop, ObjectStore &store, Options options, Handlers handlers);

    auto start() -> void;
    /// Whether watches follow the list. A change to true reads the whole kind again.
    auto setWatching(bool isWatching) -> void;
    /// Reads the whole kind again; a call under way is not waited for.
    auto refresh() -> void;
    /// Sets the longest time of the watches from the next one on. The belief is confirmed when a watch returns, as of
    /// its send.
    auto setWait(Milliseconds wait) -> void;
    /// Whether the last call failed; it is tried again after a pause.
    [[nodiscard]] auto isFailing() const -> bool;
    /// When the last confirmed call was sent; the epoch before the first one.
    [[nodiscard]] auto confirmedAt() const -> BootTime;

private:
    auto list() -> void;
    auto watch() -> void;
    auto recordSuccess(BootTime sentAt) -> void;
    auto retryAfterFailure(const absl::Status &status) -> void;

    EventLoop &loop_;
    ObjectStore &store_;
    const Options options_;
    Handlers handlers_;
    Milliseconds wait_ = DEFAULT_WAIT;
    bool isWatching_ = false;
    std::uint64_t revision_ = 0;
    /// Answers to calls of an earlier generation are ignored.
    std::uint64_t generation_ = 0;
    int failures_ = 0;
    BootTime confirmedAt_;
    BootTime startedAt_;
    Timer timer_;
    std::minstd_rand random_;
};

} // namespace poplardock
