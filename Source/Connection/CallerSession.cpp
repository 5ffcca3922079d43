#include "Connection/CallerSession.h"

#include "Process/EventLog.h"

#include <absl/strings/match.h>

#include <algorithm>

namespace poplardock {

namespace {

/// Bytes of following requests that are kept while one runs; callers send one request at a time.
constexpr std::size_t EARLY_BYTES = 64U << 10U;
/// Objects, timers and headers of a connection that is idle, and of one that has begun a request.
constexpr std::uint64_t IDLE_CONNECTION_BYTES = 4U << 10U;
constexpr std::uint64_t BUSY_CONNECTION_BYTES = 16U << 10U;

} // namespace

CallerSession::CallerSession(std::shared_ptr<Channel> channel, std::shared_ptr<const SessionEnvironment> environment)
    : channel_(std::move(channel))
    , environment_(std::move(environment))
    , idleSince_(BootClock::now())
    , progressAt_(idleSince_)
    , charge_(environment_->account)
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
    charge_.set(chargedBytes());
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
    bodyCopies_ = 0;
    if (!rest.empty()) {
        startedAt_ = BootClock::now();
        reader_->feed(rest);
    }
}

auto CallerSession::takeData(std::string_view bytes) -> void
{
    progressAt_ = BootClock::now();
    if (exchange_ != nullptr) {
        early_.append(bytes);
        if (early_.size() > EARLY_BYTES) {
            channel_->pause();
        }
        charge_.set(chargedBytes());
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
        if (!charge()) {
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
        const std::uint64_t requestBytes = charge_.bytes();
        exchange_
            = std::make_shared<CallerExchange>(weak_from_this(), reader_->head(), reader_->takeBody(), startedAt_, environment_->account);
        const auto exchange = exchange_;
        exchange->requestCharge_.set(requestBytes);
        charge_.set(chargedBytes());
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
    refuseWith({ status, {}, {} });
}

auto CallerSession::refuseWith(const HttpResult &result) -> void
{
    isRefused_ = true;
    channel_->send(encodeResponse(result.status, result.headers, result.body, false));
    // What has been read of the request is not needed any more.
    reader_.emplace(MessageReader::Kind::Request, MessageReader::Limits {});
    close();
}

auto CallerSession::chargedBytes() const -> std::uint64_t
{
    std::uint64_t bytes = IDLE_CONNECTION_BYTES + early_.capacity() + heldBack_.capacity() + channel_->heldBytes();
    if (exchange_ == nullptr && reader_->hasBytes()) {
        const std::uint64_t body = std::max<std::uint64_t>(reader_->declaredBytes().value_or(0), reader_->heldBytes());
        bytes += BUSY_CONNECTION_BYTES + static_cast<std::uint64_t>(std::max(1, bodyCopies_)) * body;
    }
    return bytes;
}

auto CallerSession::charge() -> bool
{
    const ReadState state = reader_->state();
    if (bodyCopies_ == 0 && (state == ReadState::Body || state == ReadState::Done)) {
        bodyCopies_ = environment_->bodyCopies ? environment_->bodyCopies(reader_->head()) : 1;
    }
    if (charge_.trySet(chargedBytes(), BootClock::now())) {
        return true;
    }
    refuseWith(environment_->overloadAnswer ? environment_->overloadAnswer() : HttpResult { HttpStatus::UNAVAILABLE, {}, {} });
    return false;
}

auto CallerSession::endForRoom() -> void
{
    const auto self = shared_from_this();
    if (exchange_ == nullptr && reader_->hasBytes() && channel_->queuedBytes() == 0) {
        refuseWith(environment_->overloadAnswer ? environment_->overloadAnswer() : HttpResult { HttpStatus::UNAVAILABLE, {}, {} });
    } else if (exchange_ == nullptr && channel_->queuedBytes() == 0) {
        close();
    } else {
        // The answer is not taken: as if the caller had closed the connection.
        channel_->abort();
        takeEnd();
    }
    charge_.set(0);
}

auto CallerSession::holding(BootTime now) -> Holding
{
    noteDelivery(now);
    charge_.set(chargedBytes());
    return { charge_.bytes(), progressAt_ };
}

auto CallerSession::progressAt() const -> BootTime
{
    return progressAt_;
}

auto CallerSession::hasRequest() const -> bool
{
    return exchange_ != nullptr;
}

auto CallerSession::isEndable() const -> bool
{
    return exchange_ == nullptr || channel_->queuedBytes() > 0;
}

auto CallerSession::isRefused() const -> bool
{
    return isRefused_;
}

auto CallerSession::noteDelivery(BootTime now) -> void
{
    const std::size_t queued = channel_->queuedBytes();
    if (queued != undelivered_) {
        undelivered_ = queued;
        progressAt_ = now;
    }
}

auto CallerSession::closeIfLate(BootTime now) -> void
{
    noteDelivery(now);
    charge_.set(chargedBytes());
    const CallerLimits limits = environment_->limits();
    if (channel_->queuedBytes() > 0 && now - progressAt_ > limits.idleTimeout) {
        endForRoom();
        return;
    }
    if (exchange_ != nullptr) {
        return;
    }
    if (!reader_->hasBytes() && now - idleSince_ > limits.idleTimeout) {
        close();
    } else if (reader_->hasBytes() && reader_->state() == ReadState::Head && now - startedAt_ > limits.headTimeout) {
        refuse(HttpStatus::REQUEST_TIMEOUT);
    } else if (reader_->state() == ReadState::Body && now - progressAt_ > limits.idleTimeout) {
        if (environment_->onBodyTimeout) {
            environment_->onBodyTimeout();
        }
        refuse(HttpStatus::REQUEST_TIMEOUT);
    }
}

auto CallerSession::answerUnfinished(const HttpResult &result) -> void
{
    const auto self = shared_from_this();
    const auto exchange = exchange_;
    if (exchange == nullptr || exchange->hasBegun()) {
        return;
    }
    exchange->isGone_ = true;
    if (const auto onGone = std::exchange(exchange->onGone_, nullptr)) {
        onGone();
    }
    exchange->reply(result);
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
    std::string().swap(heldBack_);
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
    progressAt_ = idleSince_;
    undelivered_ = channel_->queuedBytes();
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
    charge_.set(chargedBytes());
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
    // A request that was read behind the one that ends is answered before the connection closes.
    return keeps_ && !hasAnnouncedClose_ && (!environment_->isDraining() || !early_.empty());
}

auto CallerSession::announceKeeping() -> bool
{
    hasAnnouncedClose_ = !keepsConnection();
    return !hasAnnouncedClose_;
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
    if (environment_->isDraining() || isRefused_) {
        // A daemon that stops waits until its answers have arrived. A refused caller may still be sending: closing the socket
        // with bytes unread would reset the connection before the refusal has arrived.
        channel_->closeAfterDelivery();
    } else {
        channel_->close();
    }
    environment_->onEnd(this);
}

} // namespace poplardock
