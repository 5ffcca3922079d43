#include "Connection/HttpClient.h"

namespace poplardock {

namespace {

/// Idle connections to the store and to peers stay usable; both keep them open far longer.
constexpr Milliseconds REUSE_TIME { 10000 };

struct PendingCall : std::enable_shared_from_this<PendingCall>
{
    PendingCall(ClientPool &connections, std::string peer, std::string text, HttpClient::Handler handler)
        : pool(connections)
        , address(std::move(peer))
        , request(std::move(text))
        , onOutcome(std::move(handler))
    {
    }

    auto begin(const std::shared_ptr<ClientChannel> &opened) -> void
    {
        if (onOutcome == nullptr) {
            if (opened != nullptr) {
                pool.release(address, opened);
            }
            return;
        }
        if (opened == nullptr) {
            finish(HttpCallFailure { true });
            return;
        }
        channel = opened;
        ExchangeHandlers handlers;
        handlers.accepts = [](const MessageHead &) {
            return true;
        };
        handlers.onHead = [self = shared_from_this()](const MessageHead &head) {
            self->result.status = head.status;
            self->result.headers = head.headers;
        };
        handlers.onBody = [self = shared_from_this()](std::string_view bytes) {
            self->result.body.append(bytes);
        };
        handlers.onEnd = [self = shared_from_this()](ExchangeEnd end) {
            self->pool.release(self->address, self->channel);
            self->channel = nullptr;
            if (end == ExchangeEnd::Complete || end == ExchangeEnd::Closed) {
                self->finish(std::move(self->result));
            } else {
                self->finish(HttpCallFailure { false });
            }
        };
        opened->exchange(request, std::move(handlers));
    }

    auto expire() -> void
    {
        const bool isSent = channel != nullptr;
        if (isSent) {
            channel->cancel();
            channel = nullptr;
        }
        finish(HttpCallFailure { !isSent });
    }

    auto finish(const HttpCallOutcome &outcome) -> void
    {
        timeout.cancel();
        const auto handler = std::exchange(onOutcome, nullptr);
        if (handler) {
            handler(outcome);
        }
    }

    ClientPool &pool;
    std::string address;
    std::string request;
    HttpClient::Handler onOutcome;
    HttpResult result;
    std::shared_ptr<ClientChannel> channel;
    Timer timeout;
};

} // namespace

HttpClient::HttpClient(EventLoop &loop, ClientPool &pool)
    : loop_(loop)
    , pool_(pool)
{
}

auto HttpClient::call(const std::string &address, const HttpCall &call, BootTime deadline, Handler handler) -> void
{
    HttpCall whole = call;
    if (whole.headers.find("Host") == nullptr) {
        whole.headers.add("Host", address);
    }
    auto pending = std::make_shared<PendingCall>(pool_, address, encodeCall(whole), std::move(handler));
    pending->timeout = loop_.at(deadline, [weak = std::weak_ptr(pending)] {
        if (const auto self = weak.lock()) {
            self->expire();
        }
    });
    pool_.acquire(
        address, address, REUSE_TIME, std::nullopt, [pending](const std::shared_ptr<ClientChannel> &channel) { pending->begin(channel); });
}

} // namespace poplardock
