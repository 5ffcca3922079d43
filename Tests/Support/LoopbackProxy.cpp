#include "Support/LoopbackProxy.h"

#include <stdexcept>

namespace poplardock {

namespace {

constexpr Milliseconds CONNECT_TIME { 1000 };

} // namespace

LoopbackProxy::LoopbackProxy(EventLoop &loop, const std::string &listenAddress, std::string target)
    : loop_(loop)
    , target_(std::move(target))
{
    auto listener = Listener::open(loop, listenAddress, [this](std::shared_ptr<Channel> channel) { accept(std::move(channel)); });
    if (!listener.ok()) {
        throw std::runtime_error(std::string(listener.status().message()));
    }
    listener_ = *std::move(listener);
    address_ = listener_->address();
}

auto LoopbackProxy::address() const -> std::string
{
    return address_;
}

auto LoopbackProxy::setFaults(const Faults &faults) -> void
{
    faults_ = faults;
    for (const auto &link : std::list<std::shared_ptr<Link>>(links_)) {
        pump(link, true);
        pump(link, false);
    }
}

auto LoopbackProxy::resetConnections() -> void
{
    for (const auto &link : std::list<std::shared_ptr<Link>>(links_)) {
        end(link);
    }
}

auto LoopbackProxy::close() -> void
{
    listener_ = nullptr;
    resetConnections();
}

auto LoopbackProxy::accept(std::shared_ptr<Channel> near) -> void
{
    if (faults_.refuses) {
        near->abort();
        return;
    }
    auto link = std::make_shared<Link>();
    link->near = std::move(near);
    link->answers.to = link->near;
    links_.push_back(link);
    link->near->start(
        [this, link](std::string_view bytes) {
            push(link, true, { {}, std::string(bytes), false });
        },
        [this, link](ChannelEnd how) {
            if (how == ChannelEnd::Broken) {
                end(link);
            } else {
                push(link, true, { {}, {}, true });
            }
        });
    Channel::connect(loop_, target_, BootClock::now() + CONNECT_TIME, {}, [this, link](std::shared_ptr<Channel> far) {
        connected(link, std::move(far));
    });
}

auto LoopbackProxy::connected(const std::shared_ptr<Link> &link, std::shared_ptr<Channel> far) -> void
{
    if (far == nullptr || link->isOver) {
        if (far != nullptr) {
            far->abort();
        }
        end(link);
        return;
    }
    link->far = std::move(far);
    link->requests.to = link->far;
    link->far->start(
        [this, link](std::string_view bytes) {
            push(link, false, { {}, std::string(bytes), false });
        },
        [this, link](ChannelEnd how) {
            if (how == ChannelEnd::Broken) {
                end(link);
            } else {
                push(link, false, { {}, {}, true });
            }
        });
    pump(link, true);
}

auto LoopbackProxy::push(const std::shared_ptr<Link> &link, bool isRequest, Piece piece) -> void
{
    Direction &direction = isRequest ? link->requests : link->answers;
    piece.dueAt = BootClock::now() + faults_.delay;
    direction.pieces.push_back(std::move(piece));
    pump(link, isRequest);
}

auto LoopbackProxy::pump(const std::shared_ptr<Link> &link, bool isRequest) -> void
{
    Direction &direction = isRequest ? link->requests : link->answers;
    const bool isHeld = isRequest ? faults_.holdsRequests : faults_.holdsAnswers;
    while (!link->isOver && direction.to != nullptr && !isHeld && !direction.pieces.empty()) {
        if (direction.pieces.front().dueAt > BootClock::now()) {
            direction.timer = loop_.at(direction.pieces.front().dueAt, [this, link, isRequest] { pump(link, isRequest); });
            return;
        }
        const Piece piece = std::move(direction.pieces.front());
        direction.pieces.pop_front();
        if (piece.isEnd) {
            // Neither callers nor daemons go on with one half of a connection.
            direction.to->close();
            end(link);
            return;
        }
        direction.to->send(piece.bytes);
    }
}

auto LoopbackProxy::end(const std::shared_ptr<Link> &link) -> void
{
    if (link->isOver) {
        return;
    }
    link->isOver = true;
    link->requests.timer.cancel();
    link->answers.timer.cancel();
    // The handlers hold the link; a channel that was closed in order still sends what it has queued.
    for (const auto &channel : { link->near, link->far }) {
        if (channel != nullptr && channel->isOpen()) {
            channel->abort();
        }
    }
    links_.remove(link);
}

} // namespace poplardock
