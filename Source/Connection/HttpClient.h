#pragma once

#include "Connection/ClientPool.h"

#include <functional>
#include <variant>

namespace poplardock {

/// Why a call has no answer.
struct CallFailure
{
    /// Nothing was sent; false: the call may have been executed.
    bool isNotSent = false;

    auto operator==(const CallFailure &) const -> bool = default;
};

using CallOutcome = std::variant<HttpResult, CallFailure>;

/// Calls with a whole answer over a pool of kept connections.
/// Thread safety: the loop's thread only. The pool must outlive the client's calls.
class HttpClient
{
public:
    using Handler = std::function<void(const CallOutcome &)>;

    HttpClient(EventLoop &loop, ClientPool &pool);

    /// Calls "IP:port". The handler is called once, at the deadline at the latest.
    auto call(const std::string &address, const HttpCall &call, BootTime deadline, Handler handler) -> void;

private:
    EventLoop &loop_;
    ClientPool &pool_;
};

} // namespace poplardock
