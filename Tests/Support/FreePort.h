#pragma once

namespace poplardock {

/// A free port below those that the system gives to outgoing connections, so that none of them takes it before the
/// daemon listens. No port is given out twice by one process. Throws std::runtime_error when none is free.
auto freePort() -> int;

} // namespace poplardock
