#include "Connection/CallerServer.h"

#include <algorithm>
#include <functional>

namespace poplardock {

namespace {

/// Time limits of connections are seconds long; this is how late they may be noticed.
constexpr Milliseconds SWEEP_PERIOD { 500 };

auto isSending(const std::shared_ptr<Channel> &channel) -> bool
{
    return channel->isSending();
}

} // namespace

auto CallerServer::open(EventLoop &loop, const std::string &address, std::function<CallerLimits()> limits, RequestHandler onRequest)
    -> absl::StatusOr<std::unique_ptr<CallerServer>>
{
    std::unique_ptr<CallerServer> server(new CallerServer);
    CallerServer *self = server.get();
    server->environment_ = std::make_shared<SessionEnvironment>();
    server->environment_->onRequest = std::move(onRequest);
    server->environment_->limits = std::move(limits);
    server->environment_->isDraining = [self] {
        return self->isDraining_;
    };
    server->environment_->onEnd = [self](const CallerSession *session) {
        if (session->channel()->isSending()) {
            self->closing_.push_back(session->channel());
        }
        self->sessions_.erase(session);
    };
    auto listener = Listener::open(loop, address, [self](std::shared_ptr<Channel> channel) {
        auto session = std::make_shared<CallerSession>(std::move(channel), self->environment_);
        self->sessions_.emplace(session.get(), session);
        session->start();
    });
    if (!listener.ok()) {
        return listener.status();
    }
    server->listener_ = *std::move(listener);
    server->sweep_ = loop.every(SWEEP_PERIOD, [self] {
        const BootTime now = BootClock::now();
        std::erase_if(self->closing_, std::not_fn(isSending));
        const auto sessions = self->sessions_;
        for (const auto &[key, session] : sessions) {
            session->closeIfLate(now);
        }
    });
    return server;
}

CallerServer::~CallerServer()
{
    listener_ = nullptr;
    const auto sessions = std::move(sessions_);
    sessions_.clear();
}

auto CallerServer::drain() -> void
{
    isDraining_ = true;
}

auto CallerServer::closeIdle() -> void
{
    const auto sessions = sessions_;
    for (const auto &[key, session] : sessions) {
        session->closeIfIdle();
    }
}

auto CallerServer::stopAccepting() -> void
{
    listener_ = nullptr;
}

auto CallerServer::busyCount() const -> std::size_t
{
    const auto sessions = std::count_if(sessions_.begin(), sessions_.end(), [](const auto &entry) { return entry.second->isBusy(); });
    return static_cast<std::size_t>(sessions + std::count_if(closing_.begin(), closing_.end(), isSending));
}

auto CallerServer::sendingCount() const -> std::size_t
{
    const auto sessions
        = std::count_if(sessions_.begin(), sessions_.end(), [](const auto &entry) { return entry.second->channel()->isSending(); });
    return static_cast<std::size_t>(sessions + std::count_if(closing_.begin(), closing_.end(), isSending));
}

auto CallerServer::address() const -> std::string
{
    return listener_ == nullptr ? std::string() : listener_->address();
}

} // namespace poplardock
