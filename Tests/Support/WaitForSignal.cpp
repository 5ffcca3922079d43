#include "Support/WaitForSignal.h"

#include <csignal>

namespace poplardock {

namespace {

auto terminationSignals() -> sigset_t
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

auto blockTerminationSignals() -> void
{
    const sigset_t signals = terminationSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

auto waitForTerminationSignal() -> void
{
    const sigset_t signals = terminationSignals();
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace poplardock
