#include "Version/ServiceRoute.h"

#include <cmath>

namespace poplardock {

auto groupOf(const ServiceRoute &route, std::uint64_t random) -> const std::string &
{
    double total = 0;
    for (const RouteShare &share : route.shares) {
        total += share.weight;
    }
    double point = std::ldexp(static_cast<double>(random), -64) * total;
    for (const RouteShare &share : route.shares) {
        point -= share.weight;
        if (point < 0) {
            return share.group;
        }
    }
    return route.shares.back().group;
}

} // namespace poplardock
