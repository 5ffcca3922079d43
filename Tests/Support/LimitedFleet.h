#pragma once

#include "Support/PlatformFleet.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace poplardock {

/// The platform's stableWindowMs: time after the first answer with a limit within which all daemons have to keep to it.
inline constexpr Milliseconds STABLE_WINDOW { 3000 };
/// What an upstream may get in any such time: one and a half times its limit, and some requests more.
inline constexpr Milliseconds LIMIT_WINDOW { 4000 };
inline constexpr double LIMIT_OVERAGE = 1.5;
inline constexpr double LIMIT_SLACK = 5;
inline constexpr double LIMIT = 2;

/// Three daemons before one engine that names a limit, far below what it would get, and engines that name none.
class LimitedFleet
{
public:
    explicit LimitedFleet(int otherEngines)
        : fleet(3, 1 + otherEngines)
    {
        for (const auto &engine : fleet.engines) {
            engine->behaviour().events = 1;
            engine->behaviour().eventPause = Milliseconds(1);
        }
        limited().behaviour().limit = absl::StrCat(LIMIT);
        fleet.runUntil([this] { return isAnswered(0) && !limited().runs().empty(); }, STABLE_WINDOW);
        namedAt = BootClock::now();
    }

    auto limited() -> FakeEngine &
    {
        return *fleet.engines.front();
    }

    auto isAnswered(std::size_t daemon) -> bool
    {
        const auto result = fleet.call(daemon, PlatformFleet::streamRequest("/resumed/x", absl::StrCat("n", count_++), "key1"));
        ++sent;
        const bool isSuccess = result && result->status == 200;
        answered += isSuccess ? 1 : 0;
        return isSuccess;
    }

    /// Sends requests at all daemons in turn for that time.
    auto sendFor(Milliseconds time) -> void
    {
        for (const BootTime end = BootClock::now() + time; BootClock::now() < end;) {
            isAnswered(static_cast<std::size_t>(count_) % fleet.daemons.size());
            fleet.runFor(Milliseconds(5));
        }
    }

    /// The most requests that the limited engine got in any window that began at that time or later.
    auto mostInWindow(BootTime from) -> std::ptrdiff_t
    {
        const std::vector<BootTime> &arrivals = limited().arrivals();
        std::ptrdiff_t most = 0;
        for (const BootTime first : arrivals) {
            if (first >= from) {
                const auto isInside = [first](BootTime each) {
                    return each >= first && each - first < LIMIT_WINDOW;
                };
                most = std::max(most, std::count_if(arrivals.begin(), arrivals.end(), isInside));
            }
        }
        return most;
    }

    /// Requests that the limited engine has got since that time.
    auto countSince(BootTime from) -> std::ptrdiff_t
    {
        const std::vector<BootTime> &arrivals = limited().arrivals();
        return std::count_if(arrivals.begin(), arrivals.end(), [from](BootTime each) { return each >= from; });
    }

    static auto allowed() -> double
    {
        return LIMIT_OVERAGE * LIMIT * std::chrono::duration<double>(LIMIT_WINDOW).count() + LIMIT_SLACK;
    }

    PlatformFleet fleet;
    BootTime namedAt;
    int sent = 0;
    int answered = 0;

private:
    int count_ = 0;
};

} // namespace poplardock
