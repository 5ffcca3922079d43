#include "Connection/Io/EventLoop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <exception>
#include <vector>

namespace poplardock {

namespace asio = boost::asio;

struct Timer::State : std::enable_shared_from_this<Timer::State>
{
    State(asio::io_context &context, EventLoop::Task call)
        : timer(context)
        , task(std::move(call))
    {
    }

    auto arm(BootTime deadline) -> void
    {
        timer.expires_after(std::chrono::duration_cast<asio::steady_timer::duration>(deadline - BootClock::now()));
        timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
            if (!error && !self->isCancelled) {
                self->fire();
            }
        });
    }

    auto fire() -> void
    {
        if (period.count() == 0) {
            isCancelled = true;
            const EventLoop::Task call = std::move(task);
            call();
            return;
        }
        // Missed calls are not caught up on, so that a VM does not run a burst of them after it was suspended.
        nextCall = std::max(nextCall + period, BootClock::now());
        arm(nextCall);
        task();
    }

    auto cancel() -> void
    {
        isCancelled = true;
        timer.cancel();
        task = nullptr;
    }

    asio::steady_timer timer;
    EventLoop::Task task;
    Milliseconds period { 0 };
    BootTime nextCall;
    bool isCancelled = false;
};

Timer::Timer(std::shared_ptr<State> state)
    : state_(std::move(state))
{
}

auto Timer::operator=(Timer &&other) noexcept -> Timer &
{
    if (this != &other) {
        cancel();
        state_ = std::move(other.state_);
    }
    return *this;
}

Timer::~Timer()
{
    cancel();
}

auto Timer::cancel() -> void
{
    if (const auto state = std::move(state_)) {
        // A timer may be cancelled from its own task; the copy keeps alive what the task captured until this call ends.
        const EventLoop::Task running = state->task;
        state->cancel();
    }
}

auto Timer::isPending() const -> bool
{
    return state_ != nullptr && !state_->isCancelled;
}

struct EventLoop::Impl
{
    asio::io_context context { 1 };
    std::vector<std::unique_ptr<asio::signal_set>> signals;
    ExceptionHandler onException;
};

EventLoop::EventLoop()
    : impl_(std::make_unique<Impl>())
{
}

EventLoop::~EventLoop() = default;

auto EventLoop::run() -> void
{
    const auto work = asio::make_work_guard(impl_->context);
    while (!impl_->context.stopped()) {
        try {
            impl_->context.run();
        } catch (const std::exception &exception) {
            if (!impl_->onException) {
                throw;
            }
            impl_->onException(exception.what());
        }
    }
}

auto EventLoop::setExceptionHandler(ExceptionHandler handler) -> void
{
    impl_->onException = std::move(handler);
}

auto EventLoop::runUntil(BootTime deadline) -> void
{
    const auto work = asio::make_work_guard(impl_->context);
    impl_->context.restart();
    impl_->context.run_for(deadline - BootClock::now());
}

auto EventLoop::stop() -> void
{
    impl_->context.stop();
}

auto EventLoop::post(Task task) -> void
{
    asio::post(impl_->context, std::move(task));
}

auto EventLoop::at(BootTime deadline, Task task) -> Timer
{
    auto state = std::make_shared<Timer::State>(impl_->context, std::move(task));
    state->arm(deadline);
    return Timer(std::move(state));
}

auto EventLoop::every(Milliseconds period, Task task) -> Timer
{
    auto state = std::make_shared<Timer::State>(impl_->context, std::move(task));
    state->period = period;
    state->nextCall = BootClock::now() + period;
    state->arm(state->nextCall);
    return Timer(std::move(state));
}

namespace {

auto awaitSignal(asio::signal_set &signals, const EventLoop::Task &task) -> void
{
    signals.async_wait([&signals, task](const boost::system::error_code &error, int) {
        if (error) {
            return;
        }
        awaitSignal(signals, task);
        task();
    });
}

} // namespace

auto EventLoop::onSignal(int number, const Task &task) -> void
{
    impl_->signals.push_back(std::make_unique<asio::signal_set>(impl_->context, number));
    awaitSignal(*impl_->signals.back(), task);
}

auto EventLoop::context() -> asio::io_context &
{
    return impl_->context;
}

} // namespace poplardock
