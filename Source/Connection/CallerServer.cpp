#include "Connection/CallerServer.h"

#include <algorithm>

namespace poplardock {

namespace {

/// Time limits of connections are seconds long; this is how late they may be noticed.
constexpr Milliseconds SWEEP_PERIOD { 500 };

/// A connection that has made progress within this time is not ended to make room for others: clients pause for round trips
/// and for lost packets.
constexpr Milliseconds HOLDER_PATIENCE { 1000 };
constexpr Milliseconds CONNECTION_PATIENCE { 200 };

auto isSending(const Channel &channel) -> bool
{
    return channel.isSending();
}

} // namespace

auto CallerServer::open(EventLoop &loop, const std::string &address, Options options, RequestHandler onRequest)
    -> absl::StatusOr<std::unique_ptr<CallerServer>>
{
    std::unique_ptr<CallerServer> server(new CallerServer);
    CallerServer *self = server.get();
    server->options_ = std::move(options);
    server->environment_ = std::make_shared<SessionEnvironment>();
    server->environment_->onRequest = std::move(onRequest);
    server->environment_->limits = server->options_.limits;
    server->environment_->isDraining = [self] {
        return self->isDraining_;
    };
    server->environment_->onEnd = [self](const CallerSession *session) {
        self->takeEnd(session);
    };
    server->environment_->account = server->options_.account;
    server->environment_->bodyCopies = server->options_.bodyCopies;
    server->environment_->overloadAnswer = server->options_.overloadAnswer;
    server->environment_->onBodyTimeout = server->options_.onBodyTimeout;
    auto listener = Listener::open(loop, address, [self](const std::shared_ptr<Channel> &channel) { self->accept(channel); });
    if (!listener.ok()) {
        return listener.status();
    }
    server->listener_ = *std::move(listener);
    server->self_ = std::make_shared<CallerServer *>(self);
    if (server->options_.account != nullptr) {
        server->options_.account->addHolders([weak = std::weak_ptr<CallerServer *>(server->self_)](BootTime now) {
            const auto alive = weak.lock();
            return alive == nullptr ? std::nullopt : (*alive)->worstHolder(now);
        });
    }
    server->sweepTimer_ = loop.every(SWEEP_PERIOD, [self] { self->sweep(); });
    return server;
}

CallerServer::~CallerServer()
{
    listener_ = nullptr;
    const auto sessions = std::move(sessions_);
    sessions_.clear();
}

auto CallerServer::accept(const std::shared_ptr<Channel> &channel) -> void
{
    if (options_.maximumConnections > 0 && sessions_.size() + closing_.size() >= options_.maximumConnections) {
        if (options_.onConnectionBound) {
            options_.onConnectionBound();
        }
        if (!endLongestWaiting(BootClock::now())) {
            channel->abort();
            return;
        }
    }
    auto session = std::make_shared<CallerSession>(channel, environment_);
    sessions_.emplace(session.get(), session);
    session->start();
}

auto CallerServer::takeEnd(const CallerSession *session) -> void
{
    const auto &channel = session->channel();
    if (session->isRefused() || channel->isSending()) {
        auto charge = std::make_unique<HeldBytes::Charge>(options_.account);
        charge->set(channel->heldBytes());
        closing_.push_back({ channel, std::move(charge), channel->queuedBytes(), BootClock::now(), session->isRefused() });
    }
    sessions_.erase(session);
}

auto CallerServer::sweep() -> void
{
    const BootTime now = BootClock::now();
    const Milliseconds idleTimeout = options_.limits().idleTimeout;
    for (Closing &closing : closing_) {
        closing.charge->set(closing.channel->heldBytes());
        if (closing.channel->queuedBytes() != closing.undelivered) {
            closing.undelivered = closing.channel->queuedBytes();
            closing.progressAt = now;
        }
        if (now - closing.progressAt > idleTimeout) {
            closing.channel->abort();
        } else if (closing.isRefused && !isSending(*closing.channel)) {
            // The refusal has arrived; the rest of the request is not read.
            closing.channel->discard();
        }
    }
    std::erase_if(closing_, [](const Closing &closing) { return !isSending(*closing.channel); });
    const auto sessions = sessions_;
    for (const auto &[key, session] : sessions) {
        session->closeIfLate(now);
    }
}

auto CallerServer::endLongestWaiting(BootTime now) -> bool
{
    std::shared_ptr<CallerSession> longest;
    for (const auto &[key, session] : sessions_) {
        const BootTime progressAt = session->progressAt();
        if (!session->hasRequest() && now - progressAt >= CONNECTION_PATIENCE
            && (longest == nullptr || progressAt < longest->progressAt())) {
            longest = session;
        }
    }
    const auto oldest = std::min_element(
        closing_.begin(), closing_.end(), [](const Closing &left, const Closing &right) { return left.progressAt < right.progressAt; });
    if (oldest != closing_.end() && (longest == nullptr || oldest->progressAt < longest->progressAt())) {
        oldest->channel->discard();
        closing_.erase(oldest);
        return true;
    }
    if (longest == nullptr) {
        return false;
    }
    longest->endForRoom();
    // The refusal is sent; its socket is not kept for the delivery.
    if (!closing_.empty() && closing_.back().channel == longest->channel()) {
        closing_.back().channel->discard();
        closing_.pop_back();
    }
    return true;
}

auto CallerServer::worstHolder(BootTime now) -> std::optional<HeldBytes::Candidate>
{
    std::vector<HeldBytes::Candidate> candidates;
    std::vector<Holding> holdings;
    for (const auto &[key, session] : sessions_) {
        if (session->isEndable()) {
            holdings.push_back(session->holding(now));
            candidates.push_back({ holdings.back(), [session = session] {
                                      session->endForRoom();
                                  } });
        }
    }
    for (const Closing &closing : closing_) {
        holdings.push_back({ closing.charge->bytes(), closing.progressAt });
        candidates.push_back({ holdings.back(), [this, channel = closing.channel] {
                                  channel->abort();
                                  std::erase_if(closing_, [&channel](const Closing &each) { return each.channel == channel; });
                              } });
    }
    const auto chosen = chooseHoldingToEnd(holdings, now, HOLDER_PATIENCE);
    return chosen ? std::optional(std::move(candidates[*chosen])) : std::nullopt;
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
    listener_->close();
}

auto CallerServer::answerUnfinished(const HttpResult &result) -> void
{
    const auto sessions = sessions_;
    for (const auto &[key, session] : sessions) {
        session->answerUnfinished(result);
    }
}

auto CallerServer::busyCount() const -> std::size_t
{
    const auto sessions = std::count_if(sessions_.begin(), sessions_.end(), [](const auto &entry) { return entry.second->isBusy(); });
    return static_cast<std::size_t>(
        sessions + std::count_if(closing_.begin(), closing_.end(), [](const Closing &each) { return isSending(*each.channel); }));
}

auto CallerServer::sendingCount() const -> std::size_t
{
    const auto sessions
        = std::count_if(sessions_.begin(), sessions_.end(), [](const auto &entry) { return entry.second->channel()->isSending(); });
    return static_cast<std::size_t>(
        sessions + std::count_if(closing_.begin(), closing_.end(), [](const Closing &each) { return isSending(*each.channel); }));
}

auto CallerServer::address() const -> std::string
{
    return listener_ == nullptr ? std::string() : listener_->address();
}

} // namespace poplardock
