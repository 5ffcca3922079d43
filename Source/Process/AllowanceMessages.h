#pragma once

#include "Process/AllowanceBucket.h"
#include "Process/Json.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

namespace poplardock {

/// Body of POST /peers/loans: requests a loan and settles an earlier one.
struct LoanRequest
{
    std::string team;
    /// Configuration revision in force at the sender.
    std::uint64_t revision = 0;
    /// Tokens to borrow; with 0 the request only settles the earlier loan.
    std::int64_t want = 0;
    /// How many of "want" are for requests that are already waiting; the rest is for expected demand.
    std::int64_t need = 0;
    /// Tokens of the earlier loan that were spent and that are returned.
    std::int64_t spent = 0;
    std::int64_t returned = 0;
    /// Request number of the earlier loan; 0 when there is none to settle.
    std::int64_t settledLoan = 0;
    /// The sender and the number of this request; becomes the id of the loan.
    LoanId id;

    auto operator==(const LoanRequest &) const -> bool = default;
};

/// Response to a LoanRequest.
struct LoanResponse
{
    std::int64_t granted = 0;
    /// Minimum delay before the next request; 0 unless a request for tokens was refused because the bucket is empty.
    Milliseconds retryAfter { 0 };

    auto operator==(const LoanResponse &) const -> bool = default;
};

/// Body of POST /peers/handover: the new home of a team requests the team's bucket from the earlier home.
struct HandoverRequest
{
    std::string team;
    /// Configuration revision that makes the sender the home.
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

/// Response to a HandoverRequest. Loans are sent with their remaining time, which the receiver counts from receipt.
struct HandoverResponse
{
    HandoverOutcome outcome = HandoverOutcome::NoBucket;
    /// Tokens in the bucket, in units.
    std::int64_t level = 0;
    std::vector<Loan> loans;
    /// Regions of earlier member tables whose homes may still act and therefore keep their share of the allowance.
    std::vector<std::string> earlierRegions;

    auto operator==(const HandoverResponse &) const -> bool = default;
};

/// JSON encoding and decoding of the messages. Errors: InvalidArgument with the name of the offending key.
auto toJson(const LoanRequest &request) -> JsonObject::Ptr;
auto loanRequestFromJson(const JsonObject &object) -> absl::StatusOr<LoanRequest>;
auto toJson(const LoanResponse &response) -> JsonObject::Ptr;
auto loanResponseFromJson(const JsonObject &object) -> absl::StatusOr<LoanResponse>;
auto toJson(const HandoverRequest &request) -> JsonObject::Ptr;
auto handoverRequestFromJson(const JsonObject &object) -> absl::StatusOr<HandoverRequest>;
/// "now" is the instant from which the remaining time of the loans is counted.
auto toJson(const HandoverResponse &response, TimePoint now) -> JsonObject::Ptr;
auto handoverResponseFromJson(const JsonObject &object, TimePoint now) -> absl::StatusOr<HandoverResponse>;

} // namespace poplardock
