#pragma once

#include <string>

namespace poplardock {

/// Score of a daemon for a key in weighted rendezvous hashing: the daemon with the highest score is selected. Of many keys,
/// each daemon gets a part that is proportional to its weight, and a daemon that leaves moves only its own keys.
/// Precondition: the weight is at least 0; a daemon of weight 0 is selected only if there is no other.
/// Pure function; thread-safe.
[[nodiscard]] auto rendezvousScore(const std::string &daemon, const std::string &key, int weight) -> double;

} // namespace poplardock
