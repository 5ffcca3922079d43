#include "Connection/CallerSession.h"

#include "Process/EventLog.h"

#include <absl/strings/match.h>

namespace poplardock {

namespace {

/// Bytes of following requests that are kept while one runs; callers send one request at a time.
constexpr std::size_t EARLY_BYTES = 64U << 10U;

} // namespace

CallerSession::CallerSession(std::shared_ptr<Channel> channel, std::shared_ptr<const SessionEnvironment> environment)
    : channel_(std::move(channel))
    , environment_(std::move(environment))
    , idleSince_(BootClock::now())
{
}

CallerSession::~CallerSession()
{
    // A closed channel still sends what is queued.
    if (!isClosed_) {
        channel_->abort();
    }
}

auto CallerSession::start() -> void
{
    beginNext({});
    channel_->start(
        [weak = weak_from_this()](std::string_view bytes) {
            if (const auto self = weak.lock()) {
                self->takeData(bytes);
            }
        },
        [weak = weak_from_this()](ChannelEnd) {
            if (const auto self = weak.lock()) {
                self->takeEnd();
            }
        });
    channel_->setDrainHandler([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self != nullptr && self->exchange_ != nullptr && self->exchange_->onDrained_) {
            self->exchange_->onDrained_();
        }
    });
}

auto CallerSession::beginNext(std::string_view rest) -> void
{
    const CallerLimits limits = environment_->limits();
    reader_.emplace(MessageReader::Kind::Request, MessageReader::Limits { limits.headBytes, limits.bodyBytes });
    wantsContinue_ = false;
    if (!rest.empty()) {
        startedAt_ = BootClock::now();
        reader_->feed(rest);
    }
}

auto CallerSession::takeData(std::string_view bytes) -> void
{
    if (exchange_ != nullptr) {
        early_.append(bytes);
        if (early_.size() > EARLY_BYTES) {
            channel_->pause();
        }
        return;
    }
    if (!reader_->hasBytes()) {
        startedAt_ = BootClock::now();
    }
    reader_->feed(bytes);
    advance();
}

auto CallerSession::takeEnd() -> void
{
    const auto self = shared_from_this();
    const auto exchange = std::move(exchange_);
    if (exchange != nullptr) {
        exchange->isGone_ = true;
    }
    if (exchange != nullptr && exchange->onGone_) {
        const auto onGone = std::exchange(exchange->onGone_, nullptr);
        onGone();
    }
    close();
}

auto CallerSession::advance() -> void
{
    const auto self = shared_from_this();
    while (!isClosed_ && exchange_ == nullptr) {
        const ReadState state = reader_->state();
        if (state == ReadState::Malformed) {
            refuse(HttpStatus::BAD_REQUEST);
            return;
        }
        if (state == ReadState::HeadTooLarge || state == ReadState::BodyTooLarge) {
            refuse(state == ReadState::HeadTooLarge ? HttpStatus::HEAD_TOO_LARGE : HttpStatus::CONTENT_TOO_LARGE);
            return;
        }
        if (state == ReadState::Body && !wantsContinue_) {
            const std::string_view expect = reader_->head().headers.valueOf("Expect");
            wantsContinue_ = true;
            if (absl::EqualsIgnoreCase(absl::string_view(expect.data(), expect.size()), "100-continue")) {
                channel_->send("HTTP/1.1 100 Continue\r\n\r\n");
            }
        }
        if (state != ReadState::Done) {
            return;
        }
        keeps_ = reader_->isKeepAlive();
        early_ = reader_->takeRest();
        exchange_ = std::make_shared<CallerExchange>(weak_from_this(), reader_->head(), reader_->takeBody(), startedAt_);
        const auto exchange = exchange_;
        try {
            environment_->onRequest(exchange);
        } catch (...) {
            // Whether the request runs is unknown, so the connection ends without an answer.
            finishExchange(false);
            throw;
        }
    }
}

auto CallerSession::refuse(int status) -> void
{
    EventLog::write("request_unreadable", { { "status", status } });
    channel_->send(encodeResponse(status, {}, {}, false));
    close();
}

auto CallerSession::closeIfLate(BootTime now) -> void
{
    if (exchange_ != nullptr) {
        return;
    }
    const CallerLimits limits = environment_->limits();
    if (!reader_->hasBytes() && now - idleSince_ > limits.idleTimeout) {
        close();
    } else if (reader_->hasBytes() && reader_->state() == ReadState::Head && now - startedAt_ > limits.headTimeout) {
        refuse(HttpStatus::REQUEST_TIMEOUT);
    }
}

auto CallerSession::closeIfIdle() -> void
{
    if (!isBusy()) {
        close();
    }
}

auto CallerSession::isBusy() const -> bool
{
    return exchange_ != nullptr || reader_->hasBytes() || channel_->queuedBytes() > 0;
}

auto CallerSession::channel() const -> const std::shared_ptr<Channel> &
{
    return channel_;
}

auto CallerSession::send(std::string_view bytes) -> void
{
    if (heldBack_.empty()) {
        channel_->send(bytes);
        return;
    }
    heldBack_.append(bytes);
    channel_->send(heldBack_);
    heldBack_.clear();
}

auto CallerSession::holdBack(std::string bytes) -> void
{
    heldBack_ = std::move(bytes);
}

auto CallerSession::finishExchange(bool isComplete) -> void
{
    const auto self = shared_from_this();
    heldBack_.clear();
    exchange_ = nullptr;
    idleSince_ = BootClock::now();
    if (!isComplete) {
        channel_->abort();
        close();
        return;
    }
    if (!keepsConnection()) {
        close();
        return;
    }
    beginNext(std::exchange(early_, {}));
    channel_->resume();
    if (reader_->hasBytes()) {
        // The next request is handled from the loop, so that answers given at once do not nest.
        channel_->post([weak = weak_from_this()] {
            const auto session = weak.lock();
            if (session != nullptr && session->exchange_ == nullptr && !session->isClosed_) {
                session->advance();
            }
        });
    }
}

auto CallerSession::keepsConnection() const -> bool
{
    return keeps_ && !environment_->isDraining();
}

auto CallerSession::queuedBytes() const -> std::size_t
{
    return channel_->queuedBytes();
}

auto CallerSession::close() -> void
{
    if (isClosed_) {
        return;
    }
    isClosed_ = true;
    if (environment_->isDraining()) {
        // A daemon that stops waits until its answers have arrived.
        channel_->closeAfterDelivery();
    } else {
        channel_->close();
    }
    environment_->onEnd(this);
}

} // namespace poplardock
