#pragma once

#include "Connection/HttpClient.h"

#include <absl/status/statusor.h>

#include <functional>
#include <string>

namespace poplardock {

/// Covers a response from a daemon in the same region.
inline constexpr Milliseconds PEER_FETCH_TIMEOUT { 400 };

/// Fetches a path from the internal port of the daemon at "IP:port". The handler is called once, after PEER_FETCH_TIMEOUT
/// at the latest. Errors: Unavailable without a response, NotFound for any status but 200.
/// Thread safety: the loop's thread only.
auto fetchFrom(HttpClient &peers,
               const std::string &address,
               const std::string &path,
               std::function<void(const absl::StatusOr<std::string> &)> handler) -> void;

} // namespace poplardock
