#pragma once

namespace poplardock {

/// Blocks SIGTERM and SIGINT in this thread and the threads it starts. Call it before starting threads.
auto blockTerminationSignals() -> void;
/// Returns when the process gets SIGTERM or SIGINT. Precondition: the signals are blocked in all threads.
auto waitForTerminationSignal() -> void;

} // namespace poplardock
