#include "Process/AllowanceMessages.h"

#include <algorithm>

namespace poplardock {

namespace {

/// Larger numbers could overflow. Configuration allows no larger burst than MAXIMUM_LOAN_TOKENS, and the remaining time
/// of a loan is well below MAXIMUM_REMAINING_MICROSECONDS.
constexpr std::int64_t MAXIMUM_LOAN_TOKENS = 1'000'000;
constexpr std::int64_t MAXIMUM_REMAINING_MICROSECONDS = 60'000'000;

auto firstError(std::initializer_list<absl::Status> statuses) -> absl::Status
{
    const auto found = std::find_if(statuses.begin(), statuses.end(), [](const absl::Status &status) { return !status.ok(); });
    return found == statuses.end() ? absl::OkStatus() : *found;
}

auto loanFromJson(const JsonObject &object, TimePoint now) -> absl::StatusOr<Loan>
{
    const auto borrower = Json::requireString(object, "borrower");
    const auto incarnation = Json::requireString(object, "incarnation");
    const auto number = Json::requireInteger(object, "number");
    const auto tokens = Json::requireInteger(object, "tokens");
    const auto remaining = Json::requireInteger(object, "remaining_us");
    const absl::Status error
        = firstError({ borrower.status(), incarnation.status(), number.status(), tokens.status(), remaining.status() });
    if (!error.ok()) {
        return error;
    }
    if (*tokens < 0 || *tokens > MAXIMUM_LOAN_TOKENS || *remaining > MAXIMUM_REMAINING_MICROSECONDS) {
        return absl::InvalidArgumentError("the amount or term of a loan is out of range");
    }
    return Loan { { *borrower, *incarnation, *number }, *tokens, now + std::chrono::microseconds(*remaining) };
}

auto outcomeFromText(const std::string &text) -> HandoverOutcome
{
    if (text == "handed_over") {
        return HandoverOutcome::HandedOver;
    }
    return text == "revision_missing" ? HandoverOutcome::RevisionMissing : HandoverOutcome::NoBucket;
}

auto toText(HandoverOutcome outcome) -> std::string
{
    if (outcome == HandoverOutcome::HandedOver) {
        return "handed_over";
    }
    return outcome == HandoverOutcome::RevisionMissing ? "revision_missing" : "no_bucket";
}

} // namespace

auto toJson(const LoanRequest &request) -> JsonObject::Ptr
{
    JsonObject::Ptr object = new JsonObject;
    object->set("team", request.team);
    object->set("revision", static_cast<std::int64_t>(request.revision));
    object->set("want", request.want);
    object->set("need", request.need);
    object->set("spent", request.spent);
    object->set("returned", request.returned);
    object->set("settles", request.settledLoan);
    object->set("borrower", request.id.borrower);
    object->set("incarnation", request.id.incarnation);
    object->set("number", request.id.number);
    return object;
}

auto loanRequestFromJson(const JsonObject &object) -> absl::StatusOr<LoanRequest>
{
    const auto team = Json::requireString(object, "team");
    const auto revision = Json::requireInteger(object, "revision");
    const auto want = Json::requireInteger(object, "want");
    const auto need = Json::requireInteger(object, "need");
    const auto spent = Json::requireInteger(object, "spent");
    const auto returned = Json::requireInteger(object, "returned");
    const auto settledLoan = Json::requireInteger(object, "settles");
    const auto borrower = Json::requireString(object, "borrower");
    const auto incarnation = Json::requireString(object, "incarnation");
    const auto number = Json::requireInteger(object, "number");
    const absl::Status error = firstError({ team.status(),
                                            revision.status(),
                                            want.status(),
                                            need.status(),
                                            spent.status(),
                                            returned.status(),
                                            settledLoan.status(),
                                            borrower.status(),
                                            incarnation.status(),
                                            number.status() });
    if (!error.ok()) {
        return error;
    }
    return LoanRequest { *team,        static_cast<std::uint64_t>(*revision), *want, *need, *spent, *returned,
                         *settledLoan, { *borrower, *incarnation, *number } };
}

auto toJson(const LoanResponse &response) -> JsonObject::Ptr
{
    JsonObject::Ptr object = new JsonObject;
    object->set("granted", response.granted);
    object->set("retry_after_ms", static_cast<std::int64_t>(response.retryAfter.count()));
    return object;
}

auto loanResponseFromJson(const JsonObject &object) -> absl::StatusOr<LoanResponse>
{
    const auto granted = Json::requireInteger(object, "granted");
    const auto retryAfter = Json::requireInteger(object, "retry_after_ms");
    const absl::Status error = firstError({ granted.status(), retryAfter.status() });
    if (!error.ok()) {
        return error;
    }
    return LoanResponse { *granted, Milliseconds(*retryAfter) };
}

auto toJson(const HandoverRequest &request) -> JsonObject::Ptr
{
    JsonObject::Ptr object = new JsonObject;
    object->set("team", request.team);
    object->set("revision", static_cast<std::int64_t>(request.revision));
    object->set("successor", request.successor);
    object->set("incarnation", request.incarnation);
    return object;
}

auto handoverRequestFromJson(const JsonObject &object) -> absl::StatusOr<HandoverRequest>
{
    const auto team = Json::requireString(object, "team");
    const auto revision = Json::requireInteger(object, "revision");
    const auto successor = Json::requireString(object, "successor");
    const auto incarnation = Json::requireString(object, "incarnation");
    const absl::Status error = firstError({ team.status(), revision.status(), successor.status(), incarnation.status() });
    if (!error.ok()) {
        return error;
    }
    return HandoverRequest { *team, static_cast<std::uint64_t>(*revision), *successor, *incarnation };
}

auto toJson(const HandoverResponse &response, TimePoint now) -> JsonObject::Ptr
{
    JsonArray::Ptr loans = new JsonArray;
    for (const Loan &loan : response.loans) {
        JsonObject::Ptr item = new JsonObject;
        item->set("borrower", loan.id.borrower);
        item->set("incarnation", loan.id.incarnation);
        item->set("number", loan.id.number);
        item->set("tokens", loan.tokens);
        item->set("remaining_us", static_cast<std::int64_t>(std::chrono::ceil<std::chrono::microseconds>(loan.expiresAt - now).count()));
        loans->add(item);
    }
    JsonObject::Ptr object = new JsonObject;
    object->set("outcome", toText(response.outcome));
    object->set("level", response.level);
    object->set("loans", loans);
    object->set("earlier_regions", Json::fromStrings(response.earlierRegions));
    return object;
}

auto handoverResponseFromJson(const JsonObject &object, TimePoint now) -> absl::StatusOr<HandoverResponse>
{
    const auto outcome = Json::requireString(object, "outcome");
    const auto level = Json::requireInteger(object, "level");
    const auto loans = Json::optionalObjects(object, "loans");
    const auto regions = Json::optionalStrings(object, "earlier_regions");
    const absl::Status error = firstError({ outcome.status(), level.status(), loans.status(), regions.status() });
    if (!error.ok()) {
        return error;
    }
    HandoverResponse response { outcomeFromText(*outcome), *level, {}, *regions };
    for (const JsonObject::Ptr &item : *loans) {
        auto loan = loanFromJson(*item, now);
        if (!loan.ok()) {
            return loan.status();
        }
        response.loans.push_back(*std::move(loan));
    }
    return response;
}

} // namespace poplardock
