#pragma once

#include "Process/AllowanceBucket.h"
#include "Process/Json.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

namespace poplardock {

/// Body of POST /peers/loans: asks for a loan and ends an earlier one.
struct LoanRequest
{
    std::string team;
    /// Revision of the sender.
    std::uint64_t revision = 0;
    /// Tokens; 0 only ends the earlier loan.
    std::int64_t want = 0;
    /// Tokens of these for which requests wait now; the others are for demand that is expected.
    std::int64_t need = 0;
    /// Tokens of the earlier loan that were spent and that are returned.
    std::int64_t spent = 0;
    std::int64_t returned = 0;
    /// Number of the request that took the earlier loan; 0 for none.
    std::int64_t settledLoan = 0;
    /// The sender and the number of this request; the loan gets this name.
    LoanId id;

    auto operator==(const LoanRequest &) const -> bool = default;
};

/// Answer to a LoanRequest.
struct LoanResponse
{
    std::int64_t granted = 0;
    /// Time after which it is sensible to ask again; 0 when the whole demand was granted.
    Milliseconds retryAfter { 0 };

    auto operator==(const LoanResponse &) const -> bool = default;
};

/// Body of POST /peers/handover: a new home asks the earlier home for the bucket of a team.
struct HandoverRequest
{
    std::string team;
    /// Revision by which the sender is the home.
    std::uint64_t revision = 0;
    std::string successor;
    /// Incarnation of the sender.
    std::string incarnation;

    auto operator==(const HandoverRequest &) const -> bool = default;
};

enum class HandoverOutcome
{
    HandedOver,
    /// The earlier home does not have the sender's revision yet.
    RevisionMissing,
    /// The earlier home has no bucket for this successor.
    NoBucket,
};

/// Answer to a HandoverRequest. The loans carry the remaining time, counted by the receiver from the receipt.
struct HandoverResponse
{
    HandoverOutcome outcome = HandoverOutcome::NoBucket;
    /// Units.
    std::int64_t level = 0;
    std::vector<Loan> loans;
    /// Regions of earlier tables whose homes may still act; their share is still theirs.
    std::vector<std::string> earlierRegions;

    auto operator==(const HandoverResponse &) const -> bool = default;
};

/// Codecs. Errors: InvalidArgument, naming the key.
auto toJson(const LoanRequest &request) -> JsonObject::Ptr;
auto loanRequestFromJson(const JsonObject &object) -> absl::StatusOr<LoanRequest>;
auto toJson(const LoanResponse &answer) -> JsonObject::Ptr;
auto loanResponseFromJson(const JsonObject &object) -> absl::StatusOr<LoanResponse>;
auto toJson(const HandoverRequest &request) -> JsonObject::Ptr;
auto handoverRequestFromJson(const JsonObject &object) -> absl::StatusOr<HandoverRequest>;
/// The remaining time of the loans is counted from the given time.
auto toJson(const HandoverResponse &answer, TimePoint now) -> JsonObject::Ptr;
auto handoverResponseFromJson(const JsonObject &object, TimePoint now) -> absl::StatusOr<HandoverResponse>;

} // namespace poplardock
