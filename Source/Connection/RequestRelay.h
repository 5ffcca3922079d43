#pragma once

#include "Connection/CallerReply.h"
#include "Connection/CallerWatch.h"
#include "Connection/OnlineParts.h"
#include "Request/OnlineRequest.h"
#include "Version/Member.h"

#include <string>

namespace poplardock {

/// Headers of a relayed request. The key itself is never relayed.
namespace RelayHeader {

constexpr const char *PATH = "/peers/relay";
constexpr const char *TEAM = "Relay-Team";
constexpr const char *KEY_SHA256 = "Relay-Key-Sha256";
constexpr const char *METHOD = "Relay-Method";
constexpr const char *URI = "Relay-Uri";
constexpr const char *REQUEST_ID = "Relay-Request-Id";

} // namespace RelayHeader

/// Sends a request to the home of its team, which admits and runs it, and passes the answer through.
/// The request is sent at most once. To be called from the thread that handles the request.
auto relayToHome(const OnlineParts &parts,
                 const OnlineRequest &request,
                 const Caller &caller,
                 const Member &home,
                 CallerReply &reply,
                 CallerWatch::Registration &watch) -> void;

} // namespace poplardock
