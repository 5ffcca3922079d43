#include "Version/ServiceRoute.h"

#include <cmath>

namespace poplardock {

auto groupOf(const ServiceRoute &route, std::uint64_t random) -> const std::string &
{
    double totalWeight = 0;
    for (const RouteShare &share : route.shares) {
        totalWeight += share.weight;
    }
    double remaining = std::ldexp(static_cast<double>(random), -64) * totalWeight;
    for (const RouteShare &share : route.shares) {
        remaining -= share.weight;
        if (remaining < 0) {
            return share.group;
        }
    }
    return route.shares.back().group;
}

} // namespace poplardock
