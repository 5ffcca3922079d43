#pragma once

#include "Process/Clock.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace poplardock {

/// Calls a function repeatedly on a dedicated thread, with a fixed pause between the end of one call and the start of
/// the next. Thread safety: stop() may be called from any thread and waits for the running call.
class PeriodicTask
{
public:
    PeriodicTask(Milliseconds pause, std::function<void()> task);
    PeriodicTask(const PeriodicTask &) = delete;
    auto operator=(const PeriodicTask &) -> PeriodicTask & = delete;
    PeriodicTask(PeriodicTask &&) = delete;
    auto operator=(PeriodicTask &&) -> PeriodicTask & = delete;
    ~PeriodicTask();

    auto stop() -> void;

private:
    std::mutex mutex_;
    std::condition_variable_any stopCondition_;
    std::jthread thread_;
};

} // namespace poplardock
