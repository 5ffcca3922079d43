#pragma once

#include "Support/CrashSimulation.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>

namespace poplardock {

/// Plays 15 seeds, which have this remainder when divided by 4, and checks that the fleet learns which part crashes upstreams
/// and goes on admitting sound requests. "disturb" is called after each second; from "settledSecond" on sound requests count.
inline auto checkOnlyPartIsRefused(unsigned remainder, int settledSecond, const std::function<void(CrashSimulation &, int second)> &disturb)
    -> void
{
    constexpr unsigned LAST_SEED = 60;
    constexpr int SECONDS = 30;
    // Crashes after which the fleet has to know the part, and requests with it that may reach an upstream from then on.
    constexpr std::size_t CRASHES_TO_LEARN = 5;
    constexpr int STRAY_REQUESTS = 3;
    for (unsigned seed = 1; seed <= LAST_SEED; ++seed) {
        if (seed % 4 != remainder) {
            continue;
        }
        CrashSimulation simulation(seed);
        simulation.run(Milliseconds(2000), false);
        for (int second = 0; second < SECONDS; ++second) {
            simulation.run(Milliseconds(1000), true);
            disturb(simulation, second);
            if (second == settledSecond) {
                simulation.soundArrived = 0;
                simulation.soundRefused = 0;
            }
        }
        BOOST_REQUIRE(simulation.crashes.size() >= 3);
        if (simulation.crashes.size() >= CRASHES_TO_LEARN) {
            const BootTime known = simulation.crashes[CRASHES_TO_LEARN - 1] + CrashSimulation::STABLE_WINDOW;
            const auto stray
                = std::count_if(simulation.badSends.begin(), simulation.badSends.end(), [known](BootTime at) { return at > known; });
            BOOST_TEST(stray <= STRAY_REQUESTS, "seed " << seed << ": " << stray << " requests with the part");
        }
        BOOST_TEST(simulation.soundRefused <= simulation.soundArrived / 20,
                   "seed " << seed << ": " << simulation.soundRefused << " of " << simulation.soundArrived << " refused, "
                           << simulation.crashes.size() << " crashes");
    }
}

} // namespace poplardock
