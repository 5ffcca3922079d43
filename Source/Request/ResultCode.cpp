#include "Request/ResultCode.h"

#include "Process/Json.h"

#include <algorithm>

namespace poplardock {

auto toString(RunState state) -> std::string_view
{
    switch (state) {
    case RunState::NotRun:
        return "not_run";
    case RunState::MayHaveRun:
        return "may_have_run";
    case RunState::Ran:
        return "ran";
    }
    return "may_have_run";
}

auto resultTable() -> const std::vector<ResultDescription> &
{
    using enum RunState;
    static const std::vector<ResultDescription> TABLE = {
        { ResultCode::Ok, "ok", 200, Ran, "The request was answered." },
        { ResultCode::MalformedJson, "malformed_json", 400, NotRun, "The body is not valid JSON." },
        { ResultCode::InvalidField, "invalid_field", 400, NotRun, "A field is missing or has a wrong type or value." },
        { ResultCode::BodyTooLarge, "body_too_large", 413, NotRun, "The body exceeds the size limit." },
        { ResultCode::HeadersInvalid, "headers_invalid", 400, NotRun, "A header is malformed, too large or duplicated." },
        { ResultCode::RouteUnknown, "route_unknown", 404, NotRun, "No route matches the path." },
        { ResultCode::ModelUnknown, "model_unknown", 404, NotRun, "No upstream serves the model." },
        { ResultCode::MethodNotAllowed, "method_not_allowed", 405, NotRun, "The path does not accept this method." },
        { ResultCode::ClassUnknown, "class_unknown", 400, NotRun, "The class of work does not exist or is of the other kind." },
        { ResultCode::BodyTruncated, "body_truncated", 400, NotRun, "The body ended before its announced length." },
        { ResultCode::KeyMissing, "key_missing", 401, NotRun, "The request carries no key." },
        { ResultCode::KeyUnknown, "key_unknown", 401, NotRun, "The key belongs to no team." },
        { ResultCode::KeyWithdrawn, "key_withdrawn", 401, NotRun, "The key was withdrawn." },
        { ResultCode::ConfigurationStale,
          "configuration_stale",
          503,
          NotRun,
          "The daemon cannot confirm that its configuration is current." },
        { ResultCode::StreamEnded,
          "stream_ended",
          401,
          MayHaveRun,
          "The key was withdrawn, or could no longer be confirmed, while the answer was streamed." },
        { ResultCode::AllowanceExceeded, "allowance_exceeded", 429, NotRun, "The team is over its rate and burst." },
        { ResultCode::AllowanceUnavailable, "allowance_unavailable", 503, NotRun, "The home of the team's allowance cannot be reached." },
        { ResultCode::NoUpstream, "no_upstream", 503, NotRun, "No upstream of the group is available." },
        { ResultCode::Overloaded, "overloaded", 503, NotRun, "The class target for the first token cannot be met." },
        { ResultCode::UpstreamConnectFailed, "upstream_connect_failed", 502, NotRun, "No connection to an upstream could be made." },
        { ResultCode::UpstreamLost, "upstream_lost", 502, MayHaveRun, "The upstream closed the connection before its full answer." },
        { ResultCode::UpstreamTimedOut, "upstream_timed_out", 504, MayHaveRun, "The upstream did not answer in time." },
        { ResultCode::RetriesExhausted, "retries_exhausted", 502, MayHaveRun, "The retry budget or the attempts are used up." },
        { ResultCode::RequestCrashesUpstreams,
          "request_crashes_upstreams",
          422,
          NotRun,
          "Upstreams crashed while they ran this request, or others with the same part of a prompt; it is refused." },
        { ResultCode::ClaimUnavailable, "claim_unavailable", 503, NotRun, "The idempotency key could not be claimed in the store." },
        { ResultCode::ClaimPending, "claim_pending", 409, MayHaveRun, "The idempotency key was used and no answer is recorded." },
        { ResultCode::ClaimConflict, "claim_conflict", 422, NotRun, "The idempotency key was used with another request." },
        { ResultCode::ShuttingDown, "shutting_down", 503, NotRun, "The daemon is shutting down." },
        { ResultCode::VersionUnavailable,
          "version_unavailable",
          421,
          NotRun,
          "The upstreams do not have the version of the weights that the request names." },
        { ResultCode::UpstreamAnswerInvalid,
          "upstream_answer_invalid",
          502,
          MayHaveRun,
          "The upstream's answer is malformed or too large." },
        { ResultCode::JobInvalid, "job_invalid", 400, NotRun, "The job is malformed or exceeds a limit." },
        { ResultCode::JobConflict, "job_conflict", 409, NotRun, "The job key exists with other content." },
        { ResultCode::JobUnknown, "job_unknown", 404, NotRun, "The team has no job with this key." },
        { ResultCode::JobNotAccepted, "job_not_accepted", 503, NotRun, "The job could not be stored and was not accepted." },
        { ResultCode::JobUncertain, "job_uncertain", 503, MayHaveRun, "The job may have been accepted; send it again with the same key." },
        { ResultCode::JobCancelled, "job_cancelled", 409, MayHaveRun, "The job was cancelled before the item ran to its end." },
        { ResultCode::JobCancelUncertain, "job_cancel_uncertain", 503, MayHaveRun, "The job may have been cancelled; cancel it again." },
        { ResultCode::ItemAttemptsExhausted, "item_attempts_exhausted", 502, MayHaveRun, "The item failed all its attempts." },
        { ResultCode::ItemMayHaveRun, "item_may_have_run", 502, MayHaveRun, "The non-repeatable item was sent and its answer was lost." },
        { ResultCode::ItemResultTooLarge, "item_result_too_large", 502, Ran, "The item's answer exceeds the size limit." },
        { ResultCode::ItemRefused, "item_refused", 422, NotRun, "The upstream refused the item as invalid." },
        { ResultCode::ConfigurationInvalid,
          "configuration_invalid",
          400,
          NotRun,
          "The configuration is invalid; the old one stays in force." },
        { ResultCode::ConfigurationConflict,
          "configuration_conflict",
          409,
          NotRun,
          "Another change came first; read the configuration again." },
        { ResultCode::ConfigurationUncertain,
          "configuration_uncertain",
          503,
          MayHaveRun,
          "The change may have taken effect; read the configuration." },
        { ResultCode::TeamUnknown, "team_unknown", 404, NotRun, "No such team or key." },
        { ResultCode::UpstreamUnknown, "upstream_unknown", 404, NotRun, "No such upstream." },
        { ResultCode::MemberUnknown, "member_unknown", 404, NotRun, "No such member." },
        { ResultCode::StoreUnavailable, "store_unavailable", 503, NotRun, "The platform's store cannot be reached." },
        { ResultCode::StoreBudgetExhausted, "store_budget_exhausted", 503, NotRun, "The daemon's budget of store calls is used up." },
        { ResultCode::PeerUnreachable, "peer_unreachable", 503, NotRun, "A peer cannot be reached." },
        { ResultCode::NotHome, "not_home", 409, NotRun, "This daemon is not the home of the team." },
        { ResultCode::Internal, "internal", 500, MayHaveRun, "An unexpected error." },
    };
    return TABLE;
}

auto describe(ResultCode code) -> const ResultDescription &
{
    const auto &table = resultTable();
    const auto row = std::find_if(table.begin(), table.end(), [code](const ResultDescription &entry) { return entry.code == code; });
    return row == table.end() ? table.back() : *row;
}

auto RequestError::toJson() const -> std::string
{
    const ResultDescription &row = describe(code);
    JsonObject::Ptr error = new JsonObject;
    error->set("code", static_cast<int>(code));
    error->set("name", std::string(row.name));
    error->set("message", message.empty() ? std::string(row.meaning) : message);
    error->set("run", std::string(toString(row.run)));
    JsonObject body;
    body.set("error", error);
    return Json::toText(body);
}

} // namespace poplardock
