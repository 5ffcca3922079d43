#pragma once

#include "Process/Clock.h"

#include <functional>
#include <memory>
#include <string_view>

namespace boost::asio {
class io_context;
}

namespace poplardock {

/// Handle of a task that is scheduled on an event loop. Destruction cancels the task.
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

/// Single-threaded event loop over Boost.Asio. Only the Io folder uses Asio directly.
/// Thread safety: all methods but stop() may be called only from the thread that calls run().
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

    /// Called with the reason of each exception that a task or handler lets out during run().
    using ExceptionHandler = std::function<void(std::string_view reason)>;
    /// Without a handler, exceptions leave run().
    auto setExceptionHandler(ExceptionHandler handler) -> void;
    /// Runs until stop() is called. An exception ends the task that let it out, and neither the loop nor later calls of a timer;
    /// a connection whose bytes caused it is ended.
    auto run() -> void;
    /// Runs tasks until the deadline; for tests.
    auto runUntil(BootTime deadline) -> void;
    auto stop() -> void;

    /// Queues the task; it runs after the current one.
    auto post(Task task) -> void;
    /// Calls the task once, at the deadline or soon after.
    [[nodiscard]] auto at(BootTime deadline, Task task) -> Timer;
    /// Calls the task periodically; the period runs from the start of one call to the start of the next.
    /// Missed calls are not caught up on.
    [[nodiscard]] auto every(Milliseconds period, Task task) -> Timer;
    /// Calls the task each time the process receives the signal. Precondition: the process does not block the signal.
    auto onSignal(int number, const Task &task) -> void;

    [[nodiscard]] auto context() -> boost::asio::io_context &;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace poplardock
