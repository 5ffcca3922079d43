#include "Process/Signals.h"

#include <csignal>

namespace poplardock {

namespace {

auto daemonSignals() -> sigset_t
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGUSR1);
    return signals;
}

} // namespace

auto blockDaemonSignals() -> void
{
    static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
    const sigset_t signals = daemonSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

auto waitForDaemonSignal() -> DaemonSignal
{
    const sigset_t signals = daemonSignals();
    int received = 0;
    sigwait(&signals, &received);
    return received == SIGUSR1 ? DaemonSignal::Dump : DaemonSignal::Terminate;
}

} // namespace poplardock
