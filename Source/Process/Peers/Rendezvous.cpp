#include "Process/Peers/Rendezvous.h"

#include "Version/MemberTable.h"

#include <algorithm>
#include <cmath>

namespace poplardock {

auto rendezvousScore(const std::string &daemon, const std::string &key, int weight) -> double
{
    // Keeps the order among daemons of weight 0.
    constexpr double SMALLEST_WEIGHT = 1e-6;
    const double uniform = std::ldexp(static_cast<double>(stableHash(daemon + "/" + key)) + 1, -64);
    return -(weight > 0 ? weight : SMALLEST_WEIGHT) / std::log(std::min(uniform, 1 - 1e-16));
}

} // namespace poplardock
