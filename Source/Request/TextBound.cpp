#include "Request/TextBound.h"

#include <algorithm>

namespace poplardock {

namespace {

/// A token is a few characters; an event that carries one may wrap it in an object of some hundred bytes.
constexpr std::int64_t BYTES_PER_TOKEN = 1024;
constexpr std::int64_t BYTES_BESIDE_TOKENS = 64 << 10;
/// A longer text fits neither an object of the store nor the answer to a reader.
constexpr std::int64_t MAXIMUM_BYTES = 900000;

} // namespace

auto maximumTextBytes(std::int64_t outputTokens) -> std::size_t
{
    const bool isBounded = outputTokens > 0 && outputTokens < (MAXIMUM_BYTES - BYTES_BESIDE_TOKENS) / BYTES_PER_TOKEN;
    return static_cast<std::size_t>(isBounded ? BYTES_BESIDE_TOKENS + outputTokens * BYTES_PER_TOKEN : MAXIMUM_BYTES);
}

} // namespace poplardock
