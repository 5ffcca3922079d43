#pragma once

#include "Connection/ClientPool.h"

#include <functional>
#include <variant>

namespace poplardock {

/// Why a call has no answer.
struct HttpCallFailure
{
    /// Nothing was sent; false: the call may have been executed.
    bool isNotSent = false;

    auto operator==(const HttpCallFailure &) const -> bool = default;
};

using HttpCallOutcome = std::variant<HttpResult, HttpCallFailure>;

/// Calls with a whole answer over a pool of kept connections.
/// Thread safety: the loop's thread only. The pool must outlive the client's calls.
class HttpClient
{
public:
    using Handler = std::function<void(const HttpCallOutcome &)>;

    HttpClient(EventLoop &loop, ClientPool &pool);

    /// Calls "IP:port". The handler is called once, at the deadline at the latest.
    auto call(const std::string &address, const HttpCall &call, BootTime deadline, Handler handler) -> void;

private:
    EventLoop &loop_;
    ClientPool &pool_;
};

} // namespace poplardock
