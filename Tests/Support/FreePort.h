#pragma once

namespace poplardock {

/// A free port below those that the system gives to outgoing connections, so that none of them takes it before the
/// daemon listens. No port is given out twice by one process, or by two that run at the same time. Throws
/// std::runtime_error when none is free, and boost::interprocess::interprocess_exception when a lock cannot be opened.
/// Thread safety: one thread.
auto freePort() -> int;

} // namespace poplardock
