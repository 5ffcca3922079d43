#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace poplardock {

/// Whether an upstream has run a request, as far as is known.
enum class RunState
{
    /// No byte of the request was sent to an upstream, or the upstream refused it before running it.
    NotRun,
    /// Bytes were sent, but no complete response was received.
    MayHaveRun,
    /// A complete response was received.
    Ran,
};

auto toString(RunState state) -> std::string_view;

/// Numeric result codes that callers and operators see. docs/result-codes.md documents them and must match
/// resultTable().
enum class ResultCode
{
    Ok = 0,

    // 1xxx: the request is malformed or names something unknown.
    MalformedJson = 1001,
    InvalidField = 1002,
    BodyTooLarge = 1003,
    HeadersInvalid = 1004,
    RouteUnknown = 1005,
    ModelUnknown = 1006,
    MethodNotAllowed = 1007,
    ClassUnknown = 1008,
    BodyTruncated = 1009,

    // 2xxx: keys and allowances.
    KeyMissing = 2001,
    KeyUnknown = 2002,
    KeyWithdrawn = 2003,
    ConfigurationStale = 2004, // the configuration, and so its keys, cannot be confirmed as current
    StreamEnded = 2005, // the key was withdrawn, or could no longer be confirmed, during the response
    AllowanceExceeded = 2101,
    AllowanceUnavailable = 2102,

    // 3xxx: running the request at an upstream. A claim reserves an idempotency key in the store (ClaimStore).
    NoUpstream = 3001,
    Overloaded = 3002,
    UpstreamConnectFailed = 3003,
    UpstreamLost = 3004,
    UpstreamTimedOut = 3005,
    RetriesExhausted = 3006,
    RequestCrashesUpstreams = 3007,
    ClaimUnavailable = 3008,
    ClaimPending = 3009,
    ClaimConflict = 3010,
    ShuttingDown = 3011,
    UpstreamAnswerInvalid = 3012,
    VersionUnavailable = 3013,

    // 4xxx: batch jobs and their items.
    JobInvalid = 4001,
    JobConflict = 4002,
    JobUnknown = 4003,
    JobNotAccepted = 4004,
    JobUncertain = 4005,
    JobCancelled = 4006,
    JobCancelUncertain = 4007,
    ItemAttemptsExhausted = 4101,
    ItemMayHaveRun = 4102,
    ItemResultTooLarge = 4103,
    ItemRefused = 4104,

    // 5xxx: configuration and members, as changed by operators.
    ConfigurationInvalid = 5001,
    ConfigurationConflict = 5002,
    ConfigurationUncertain = 5003,
    TeamUnknown = 5004,
    UpstreamUnknown = 5005,
    MemberUnknown = 5006,

    // 6xxx: the platform's store.
    StoreUnavailable = 6001,
    StoreBudgetExhausted = 6002,

    // 7xxx: calls between daemons.
    PeerUnreachable = 7001,
    NotHome = 7002, // the daemon does not keep the token bucket of the team's allowance

    Internal = 9001,
};

/// One row of the table of result codes.
struct ResultDescription
{
    ResultCode code = ResultCode::Internal;
    std::string_view name;
    int httpStatus = 500;
    RunState run = RunState::NotRun;
    std::string_view meaning;

    auto operator==(const ResultDescription &) const -> bool = default;
};

/// Returns the row of a code. Thread-safe; every enumerator has a row.
auto describe(ResultCode code) -> const ResultDescription &;

/// Returns all rows in the order of their numbers. Thread-safe.
auto resultTable() -> const std::vector<ResultDescription> &;

/// An error for a caller or operator.
struct RequestError
{
    ResultCode code = ResultCode::Internal;
    std::string message;
    /// Retry hint in seconds; 0 means no hint.
    int retryAfterSeconds = 0;

    /// The JSON body: {"error":{"code","name","message","run"}}. "name" and "run" come from the code's row in
    /// resultTable(), and so does "message" when it is empty here.
    [[nodiscard]] auto toJson() const -> std::string;
    auto operator==(const RequestError &) const -> bool = default;
};

} // namespace poplardock
