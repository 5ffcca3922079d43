#include "Connection/Refusal.h"

namespace poplardock {

namespace {

/// Callers take 503 as a promise that the request has not run. A code without that promise is answered as a time-out,
/// and one that blames the request is answered 503, since the configuration allows the request.
auto statusOf(const ResultDescription &row) -> int
{
    if (row.httpStatus == HttpStatus::UNAVAILABLE && row.run != RunState::NotRun) {
        return HttpStatus::GATEWAY_TIMEOUT;
    }
    return row.code == ResultCode::RequestCrashesUpstreams ? HttpStatus::UNAVAILABLE : row.httpStatus;
}

} // namespace

auto refusalOf(const WireDialect &dialect, ResultCode code, const std::string &message, std::optional<Milliseconds> retryAfter)
    -> HttpResult
{
    HttpResult result;
    result.status = statusOf(describe(code));
    result.headers = dialect.refusalHeaders(retryAfter);
    result.headers.add("Content-Type", "application/json");
    result.body = RequestError { code, message }.toJson();
    return result;
}

} // namespace poplardock
