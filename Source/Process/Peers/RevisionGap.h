#pragma once

#include "Process/Clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace poplardock {

/// How far this daemon's view of one kind of object is behind the newest revision that another daemon has named. A daemon that names
/// an older revision, because it has lost the store itself, does not end the gap.
/// Bounded: one revision and one address. Times are passed in, so that tests need no clock. Thread safety: one thread.
class RevisionGap
{
public:
    /// Records a revision that the daemon at "IP:port" names, while this daemon's view goes up to "own".
    auto record(std::uint64_t named, std::uint64_t own, const std::string &address, BootTime now) -> void;
    /// Since when a view that goes up to "own" has missed a revision that was named; unset when it misses none.
    [[nodiscard]] auto since(std::uint64_t own) const -> std::optional<BootTime>;
    /// The highest revision named so far.
    [[nodiscard]] auto highest() const -> std::uint64_t;
    /// Address of the daemon that named it last; empty before the first record().
    [[nodiscard]] auto address() const -> const std::string &;

private:
    std::uint64_t highest_ = 0;
    std::string address_;
    BootTime since_;
};

} // namespace poplardock
