#pragma once

#include "Process/StoreClient.h"
#include "Request/ResultCode.h"

#include <string>
#include <variant>

namespace poplardock {

/// The request for which an idempotency key is claimed.
struct ClaimRequest
{
    /// Empty on open routes.
    std::string team;
    std::string idempotencyKey;
    std::string method;
    std::string path;
    std::string body;

    auto operator==(const ClaimRequest &) const -> bool = default;
};

/// A successful claim: the idempotency key belongs to this request, which may be sent once.
struct Claim
{
    StoredObject object;

    auto operator==(const Claim &) const -> bool = default;
};

/// The response that was recorded for an earlier request with the same key and content.
struct RecordedResponse
{
    int status = 0;
    std::string contentType;
    std::string body;

    auto operator==(const RecordedResponse &) const -> bool = default;
};

/// Idempotency claims in the store. A claim is made by a conditional create before the request is sent, so at most
/// one of the daemons that receive the same key sends the request.
/// Thread safety: all methods may be called from any thread; each blocks on store calls.
class ClaimStore
{
public:
    /// The store must outlive this object.
    explicit ClaimStore(StoreClient &store);

    /// Errors: ClaimConflict when the key was used with another method, path or body; ClaimPending when the
    /// key was used and no response is recorded; ClaimUnavailable when a store call failed or the claim
    /// is malformed.
    auto claim(const ClaimRequest &request) -> std::variant<Claim, RecordedResponse, RequestError>;
    /// Records the response for repeated requests. A body above 256 KB is not recorded, and neither is a response
    /// that the store did not accept; the key then stays claimed without a response.
    auto record(const Claim &claim, const RecordedResponse &response) -> absl::Status;
    /// Releases the key of a request that was not run. When the store call fails, the key stays claimed without a
    /// response.
    auto release(const Claim &claim) -> absl::Status;

private:
    auto readClaim(const std::string &name, const std::string &requestHash) -> std::variant<Claim, RecordedResponse, RequestError>;

    StoreClient &store_;
};

} // namespace poplardock
