#pragma once

#include "Process/FleetState.h"
#include "Request/ResultCode.h"

#include <Poco/Net/HTTPServerRequest.h>

#include <string>
#include <variant>

namespace poplardock {

/// The team and key that a request came with. Holds the hash of the key, never the key.
struct Caller
{
    std::string team;
    std::string keyId;
    std::string keySha256;

    auto operator==(const Caller &) const -> bool = default;
};

/// Lower-case hexadecimal SHA-256.
auto sha256Hex(const std::string &text) -> std::string;

/// Checks the caller's key against the version in force. Errors: KeyMissing, KeyUnknown, KeyWithdrawn,
/// HeadersInvalid for a duplicated or malformed Authorization header, ConfigurationStale while the daemon
/// may not act. Thread-safe.
auto authenticate(const Poco::Net::HTTPServerRequest &request, const FleetState &state, TimePoint now)
    -> std::variant<Caller, RequestError>;

/// Checks a caller again, for example during a stream. Null when the key is still valid.
auto recheckCaller(const Caller &caller, const FleetState &state, TimePoint now) -> std::optional<RequestError>;

} // namespace poplardock
