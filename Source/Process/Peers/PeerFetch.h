#pragma once

#include "Connection/HttpClient.h"

#include <absl/status/statusor.h>

#include <functional>
#include <string>

namespace poplardock {

/// Time in which a daemon in the same region gives out what it knows.
inline constexpr Milliseconds PEER_FETCH_TIMEOUT { 400 };

/// Reads what the daemon at "IP:port" gives out under a path of the daemons' own calls. The handler is called once, after
/// PEER_FETCH_TIME at the latest. Errors: Unavailable without an answer, NotFound for any answer but 200.
/// Thread safety: the loop's thread only.
auto fetchFrom(HttpClient &peers,
               const std::string &address,
               const std::string &path,
               std::function<void(const absl::StatusOr<std::string> &)> handler) -> void;

} // namespace poplardock
