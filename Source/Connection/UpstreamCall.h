#pragma once

#include "Process/Clock.h"
#include "Request/ResultCode.h"
#include "Version/Upstream.h"

#include <functional>
#include <map>
#include <stop_token>
#include <string>
#include <string_view>
#include <variant>

namespace poplardock {

/// One request to an upstream. The caller's key must not be in it.
struct UpstreamRequest
{
    std::string method = "POST";
    std::string path;
    std::map<std::string, std::string> headers;
    std::string body;
    /// The exchange fails with UpstreamTimedOut when it has not ended by then.
    TimePoint deadline;

    auto operator==(const UpstreamRequest &) const -> bool = default;
};

struct UpstreamHead
{
    int status = 0;
    std::map<std::string, std::string> headers;

    auto operator==(const UpstreamHead &) const -> bool = default;
};

/// A full answer was received.
struct UpstreamAnswer
{
    UpstreamHead head;
    /// Empty when a data handler took the body.
    std::string body;

    auto operator==(const UpstreamAnswer &) const -> bool = default;
};

/// No full answer was received.
struct UpstreamFailure
{
    /// NotRun only when no byte of the request left this process.
    RunState run = RunState::MayHaveRun;
    ResultCode code = ResultCode::UpstreamLost;
    std::string reason;
    /// The upstream closed or reset the connection in the middle of the exchange; it may have died.
    bool isConnectionLost = false;
    /// Ended by the stop token or by the data handler.
    bool isStopped = false;

    auto operator==(const UpstreamFailure &) const -> bool = default;
};

using UpstreamResult = std::variant<UpstreamAnswer, UpstreamFailure>;

/// Receives the parts of an answer as they arrive. All may be empty. "onHead" and "onData" may return false to break the exchange
/// off.
struct UpstreamHandlers
{
    std::function<bool(const UpstreamHead &)> onHead;
    std::function<bool(std::string_view)> onData;
    /// Asked when the connection is open and nothing has been sent; false withdraws the request, which ends as not run.
    std::function<bool()> mayStart = {};
};

/// Runs one exchange over its own connection and returns when it has ended. The upstream's credential is
/// added as bearer token. Without handlers the body is collected, up to 1 MB.
/// A stop request breaks the connection at once, which cancels the request at the upstream.
/// Thread safety: may be called from many threads.
auto callUpstream(const Upstream &upstream, const UpstreamRequest &request, const UpstreamHandlers &handlers, const std::stop_token &stop)
    -> UpstreamResult;

} // namespace poplardock
