#pragma once

#include "Process/Store/ObjectStore.h"

#include <functional>
#include <random>

namespace poplardock {

/// Follows all objects of one kind: lists them and then, while watching is enabled, watches for changes since the list.
/// Lists them again after a failed call, such as a watch whose history the store no longer has.
/// Thread safety: the loop's thread only.
class KindWatch
{
public:
    struct Options
    {
        std::string kind;
        /// Time between a response with changes and the next watch, so that one response carries several changes.
        Milliseconds coalescingDelay { 0 };
        /// The same for the first seconds after the start, when many objects are created in a row.
        Milliseconds startupCoalescingDelay { 0 };
        /// Whether watching is enabled from the start.
        bool startsWatching = false;

        auto operator==(const Options &) const -> bool = default;
    };
    struct Handlers
    {
        std::function<void(const StoreList &)> onList;
        std::function<void(const StoreEvents &)> onEvents;
    };

    /// Default maximum duration of one watch: about as long as the store allows.
    static constexpr Milliseconds DEFAULT_WAIT { 20000 };

    KindWatch(EventLoop &loop, ObjectStore &store, Options options, Handlers handlers);

    auto start() -> void;
    /// Enables or disables watching. Enabling it lists all objects again.
    auto setWatching(bool isWatching) -> void;
    /// Lists all objects again; the response to a call in flight is ignored.
    auto refresh() -> void;
    /// Sets the maximum duration of the watches from the next one on. Since a watch confirms the known state only when
    /// it returns, and as of the time when it was sent, this bounds the age of confirmedAt().
    auto setWait(Milliseconds wait) -> void;
    /// Whether the last call failed; a retry is scheduled then.
    [[nodiscard]] auto isFailing() const -> bool;
    /// When the last successful call was sent: the known state is at least that recent. The clock's epoch before the
    /// first one.
    [[nodiscard]] auto confirmedAt() const -> BootTime;
    /// Whether the list that is being handled is the first one after a start, after failed calls or since watching began: changes before
    /// it may be known to nobody but other daemons.
    [[nodiscard]] auto isResuming() const -> bool;

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
    bool isResuming_ = true;
    std::uint64_t revision_ = 0;
    /// Responses to calls of an earlier generation are ignored.
    std::uint64_t generation_ = 0;
    int failures_ = 0;
    BootTime confirmedAt_;
    BootTime startedAt_;
    Timer timer_;
    std::minstd_rand random_;
};

} // namespace poplardock
