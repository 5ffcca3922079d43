#pragma once

#include "Process/Clock.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace poplardock {

/// What one connection holds, for the choice of the one that is ended when the bound of the memory is reached.
struct Holding
{
    std::uint64_t bytes = 0;
    /// When the connection last received or sent something that was waited for.
    BootTime progressAt;

    auto operator==(const Holding &) const -> bool = default;
};

/// The holding that has held most for longest without progress: the largest product of bytes and time. Holdings with progress
/// within "patience" are left out. Returns its index, unset when none is left. Thread-safe.
auto chooseHoldingToEnd(const std::vector<Holding> &holdings, BootTime now, Milliseconds patience) -> std::optional<std::size_t>;

/// The account of all bytes that this process holds for others: unfinished requests, requests that run, answers that wait for
/// a slow reader, and jobs. Charged are the bytes that are really taken, copies and spare capacity included.
/// Thread safety: the loop's thread only.
class HeldBytes
{
public:
    struct Bounds
    {
        std::uint64_t bytes = 0;
        /// Part of the bytes that only holders of at most "smallBytes" may take.
        std::uint64_t reserve = 0;
        std::uint64_t smallBytes = 0;

        /// The bounds for a VM with that many bytes of memory. The other half is for the process itself, the buffers of the
        /// kernel and the fragmentation of the heap.
        static auto ofMemory(std::uint64_t memoryBytes) -> Bounds;
        auto operator==(const Bounds &) const -> bool = default;
    };
    struct Counts
    {
        /// Requests that were refused because there was no room.
        std::uint64_t refused = 0;
        /// Connections that were ended to make room.
        std::uint64_t ended = 0;

        auto operator==(const Counts &) const -> bool = default;
    };
    /// A holding that may be ended, and how.
    struct Candidate
    {
        Holding holding;
        std::function<void()> end;
    };
    /// The part of the account that one holder has; returned at its destruction. Without an account nothing is counted.
    class Charge
    {
    public:
        explicit Charge(std::shared_ptr<HeldBytes> account);
        Charge(const Charge &) = delete;
        auto operator=(const Charge &) -> Charge & = delete;
        Charge(Charge &&) = delete;
        auto operator=(Charge &&) -> Charge & = delete;
        ~Charge();

        [[nodiscard]] auto bytes() const -> std::uint64_t;
        /// Sets what the holder has, whether or not there is room.
        auto set(std::uint64_t bytes) -> void;
        /// As set() if there is room, after ending other holdings if need be. Returns false, with the charge as it was, when there
        /// is no room; the refusal is counted.
        auto trySet(std::uint64_t bytes, BootTime now) -> bool;

    private:
        std::shared_ptr<HeldBytes> account_;
        std::uint64_t bytes_ = 0;
    };

    explicit HeldBytes(Bounds bounds);

    /// Registers holders: the function returns the one of them that is to be ended first.
    auto addHolders(std::function<std::optional<Candidate>(BootTime now)> worst) -> void;
    [[nodiscard]] auto bytes() const -> std::uint64_t;
    [[nodiscard]] auto bounds() const -> const Bounds &;
    [[nodiscard]] auto counts() const -> const Counts &;

private:
    /// Whether a holder may go from "held" to "wanted" bytes.
    [[nodiscard]] auto hasRoom(std::uint64_t held, std::uint64_t wanted) const -> bool;
    auto makeRoom(std::uint64_t held, std::uint64_t wanted, BootTime now) -> bool;
    auto log(BootTime now) -> void;

    const Bounds bounds_;
    std::vector<std::function<std::optional<Candidate>(BootTime)>> holders_;
    std::uint64_t bytes_ = 0;
    Counts counts_;
    BootTime loggedAt_;
};

} // namespace poplardock
