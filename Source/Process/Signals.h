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
/// so that a write to a closed connection fails with EPIPE instead of terminating the process.
/// Precondition: no other thread has been started yet.
auto blockDaemonSignals() -> void;

/// Waits for the next of these signals. Precondition: they are blocked in all threads.
auto waitForDaemonSignal() -> DaemonSignal;

} // namespace poplardock
