#pragma once

#include <cstddef>
#include <cstdint>

namespace poplardock {

/// Most bytes of the text that an answer to a request for tokens may have: what is longer is no answer of an upstream that keeps
/// to the request. "outputTokens": the most output tokens that the request names, 0 if it names none. Thread-safe.
auto maximumTextBytes(std::int64_t outputTokens) -> std::size_t;

} // namespace poplardock
