#pragma once

#include "Process/Clock.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace poplardock {

/// A pending call of an event loop. Destruction cancels the call.
/// Thread safety: the loop's thread only.
class Timer
{
public:
    struct State;

    Timer() = default;
    explicit Timer(std::shared_ptr<State> state);
    Timer(const Timer &) = delete;
    auto operator=(const Timer &) -> Timer & = delete;
    Timer(Timer &&) = default;
    auto operator=(Timer &&other) noexcept -> Timer &;
    ~Timer();

    auto cancel() -> void;
    [[nodiscard]] auto isPending() const -> bool;

private:
    std::shared_ptr<State> state_;
};

/// One thread's event loop over Boost.Asio, which only the Io folder sees.
/// Thread safety: all methods but stop() belong to the thread that calls run().
class EventLoop
{
public:
    using Task = std::function<void()>;

    EventLoop();
    EventLoop(const EventLoop &) = delete;
    auto operator=(const EventLoop &) -> EventLoop & = delete;
    EventLoop(EventLoop &&) = delete;
    auto operator=(EventLoop &&) -> EventLoop & = delete;
    ~EventLoop();

    /// Runs until stop() is called.
    auto run() -> void;
    /// Runs ready and coming tasks until the deadline; for tests.
    auto runUntil(BootTime deadline) -> void;
    auto stop() -> void;

    /// Calls the task from the loop, after the current one.
    auto post(Task task) -> void;
    /// Calls the task at the deadline, or soon after.
    [[nodiscard]] auto at(BootTime deadline, Task task) -> Timer;
    /// Calls the task again and again with the period between the start of two calls.
    [[nodiscard]] auto every(Milliseconds period, Task task) -> Timer;
    /// Calls the task for each signal of that number. The process must not have blocked the signal.
    auto onSignal(int number, const Task &task) -> void;

    [[nodiscard]] auto context() -> boost::asio::io_context &;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace poplardock
