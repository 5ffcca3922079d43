#pragma once

namespace poplardock {

enum class DaemonSignal
{
    /// SIGTERM or SIGINT: shut down gracefully.
    Terminate,
    /// SIGUSR1: write the state dump to the log.
    Dump,
};

/// Blocks the daemon's signals in this thread and in the threads that it starts later, and ignores SIGPIPE,
/// so that a write to a closed connection is an error and does not end the process.
/// Call it before starting threads.
auto blockDaemonSignals() -> void;

/// Waits for the next signal. Precondition: the signals are blocked in all threads.
auto waitForDaemonSignal() -> DaemonSignal;

} // namespace poplardock
