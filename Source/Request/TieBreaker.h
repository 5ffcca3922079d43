#pragma once

#include <cmath>
#include <cstddef>
#include <cstdint>

namespace poplardock {

/// Derives a pseudo-random number from 0 to 1 for each candidate of one selection from a single random number, by
/// multiplicative hashing.
/// Pure function; thread-safe.
inline auto tieBreaker(std::uint64_t random, std::size_t index) -> double
{
    constexpr std::uint64_t MULTIPLIER = 0x9E3779B97F4A7C15ULL;
    std::uint64_t mixed = (random + index + 1) * MULTIPLIER;
    mixed = (mixed ^ (mixed >> 32U)) * MULTIPLIER;
    return std::ldexp(static_cast<double>(mixed ^ (mixed >> 29U)), -64);
}

} // namespace poplardock
