#include "Process/PeriodicTask.h"

namespace poplardock {

PeriodicTask::PeriodicTask(Milliseconds pause, std::function<void()> task)
    : thread_([this, pause, task = std::move(task)](const std::stop_token &stop) {
        while (!stop.stop_requested()) {
            task();
            std::unique_lock lock(mutex_);
            stopCondition_.wait_for(lock, stop, pause, [] { return false; });
        }
    })
{
}

PeriodicTask::~PeriodicTask()
{
    stop();
}

auto PeriodicTask::stop() -> void
{
    thread_.request_stop();
    if (thread_.joinable()) {
        thread_.join();
    }
}

} // namespace poplardock
