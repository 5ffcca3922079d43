#pragma once

#include "Connection/WireDialect.h"
#include "Request/ResultCode.h"

#include <optional>

namespace poplardock {

/// Time after which a caller may come again when upstreams declined its request: their queues are seconds long.
inline constexpr Milliseconds DECLINED_RETRY_AFTER { 300 };

/// The answer of the system itself to a request that it does not serve: status and run state of the code, and the
/// time after which the caller may come again. Precondition: a code whose run state is "not run" is only used for
/// requests that have not run and will not. Thread-safe.
auto refusalOf(const WireDialect &dialect, ResultCode code, const std::string &message, std::optional<Milliseconds> retryAfter)
    -> HttpResult;

} // namespace poplardock
