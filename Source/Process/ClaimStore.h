#pragma once

#include "Process/StoreClient.h"
#include "Request/ResultCode.h"

#include <string>
#include <variant>

namespace poplardock {

/// What a claim is for.
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

/// The idempotency key belongs to this request now; the request may be sent once.
struct Claim
{
    StoredObject object;

    auto operator==(const Claim &) const -> bool = default;
};

/// The answer that was recorded for the same request.
struct RecordedResponse
{
    int status = 0;
    std::string contentType;
    std::string body;

    auto operator==(const RecordedResponse &) const -> bool = default;
};

/// Idempotency claims in the store. A claim is made by a conditional create before the request is sent, so
/// of all daemons that get the same key at most one sends it.
/// Thread safety: all methods may be called from any thread; each blocks for store calls.
class ClaimStore
{
public:
    /// The store must outlive this object.
    explicit ClaimStore(StoreClient &store);

    /// Errors: ClaimConflict when the key was used with another method, path or body; ClaimPending when the
    /// key was used and no answer is recorded; ClaimUnavailable when the store did not decide.
    auto claim(const ClaimRequest &request) -> std::variant<Claim, RecordedResponse, RequestError>;
    /// Records the answer. A body above 256 KB is not kept, and neither is one that the store does not take;
    /// the key then stays claimed without an answer.
    auto record(const Claim &claim, const RecordedResponse &answer) -> absl::Status;
    /// Gives the key back after a request that was not run. When the store does not take it, the key stays
    /// claimed without an answer.
    auto release(const Claim &claim) -> absl::Status;

private:
    auto readClaim(const std::string &name, const std::string &requestHash) -> std::variant<Claim, RecordedResponse, RequestError>;

    StoreClient &store_;
};

} // namespace poplardock
