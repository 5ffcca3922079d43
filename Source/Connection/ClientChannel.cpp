#include "Connection/ClientChannel.h"

#include "Request/AnswerVerdict.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace poplardock {

namespace {

/// Bounds on an answer: heads of upstreams are a few hundred bytes; lists of the store reach some MB.
constexpr MessageReader::Limits ANSWER_LIMITS { 64U << 10U, 64U << 20U };
constexpr int FIRST_FINAL_STATUS = 200;
/// Answers that are skipped before the one to the request: informational ones, and late ones to earlier requests.
constexpr int MAXIMUM_SKIPPED_ANSWERS = 8;
constexpr std::size_t MAXIMUM_SKIPPED_BYTES = 1U << 20U;

} // namespace

auto encodeCall(const HttpCall &call) -> std::string
{
    std::string text = absl::StrCat(call.method, " ", call.target, " HTTP/1.1\r\n");
    call.headers.appendTo(text);
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
        absl::StrAppend(&text, "Content-Length: ", call.body.size(), "\r\n");
    }
    absl::StrAppend(&text, "\r\n", call.body);
    return text;
}

ClientChannel::ClientChannel(std::shared_ptr<Channel> channel, std::function<void()> onIdleEnd)
    : channel_(std::move(channel))
    , onIdleEnd_(std::move(onIdleEnd))
    , idleSince_(BootClock::now())
{
}

ClientChannel::~ClientChannel()
{
    channel_->abort();
}

auto ClientChannel::start() -> void
{
    channel_->start(
        [weak = weak_from_this()](std::string_view bytes) {
            if (const auto self = weak.lock()) {
                self->takeData(bytes);
            }
        },
        [weak = weak_from_this()](ChannelEnd end) {
            if (const auto self = weak.lock()) {
                self->takeEnd(end);
            }
        });
}

auto ClientChannel::exchange(std::string_view request, ExchangeHandlers handlers) -> void
{
    handlers_ = std::move(handlers);
    isRunning_ = true;
    isHeadRequest_ = absl::StartsWith(absl::string_view(request.data(), request.size()), "HEAD ");
    reader_.emplace(freshReader());
    skippedAnswers_ = 0;
    skippedBytes_ = 0;
    channel_->send(request);
}

auto ClientChannel::cancel() -> void
{
    isRunning_ = false;
    // cancel() may be called from one of the handlers, which must outlive its own call.
    channel_->post([retired = std::exchange(handlers_, {})] { static_cast<void>(retired); });
    channel_->abort();
}

auto ClientChannel::pause() -> void
{
    channel_->pause();
}

auto ClientChannel::resume() -> void
{
    channel_->resume();
}

auto ClientChannel::recordRequest(const std::string &requestId) -> void
{
    carriedIds_.push_back(std::hash<std::string>()(requestId));
}

auto ClientChannel::hasCarried(const std::string &requestId) const -> bool
{
    return std::find(carriedIds_.begin(), carriedIds_.end(), std::hash<std::string>()(requestId)) != carriedIds_.end();
}

auto ClientChannel::isReusable() const -> bool
{
    return !isRunning_ && channel_->isOpen() && carriedIds_.size() < MAXIMUM_RECORDED_REQUESTS;
}

auto ClientChannel::usableUntil() const -> BootTime
{
    return usableUntil_;
}

auto ClientChannel::idleSince() const -> BootTime
{
    return idleSince_;
}

auto ClientChannel::setUsableFor(Milliseconds time) -> void
{
    usableUntil_ = BootClock::now() + time;
}

auto ClientChannel::freshReader() -> MessageReader
{
    hasHead_ = false;
    isSkipping_ = false;
    return MessageReader(isHeadRequest_ ? MessageReader::Kind::ResponseToHead : MessageReader::Kind::Response, ANSWER_LIMITS);
}

auto ClientChannel::takeData(std::string_view bytes) -> void
{
    const auto self = shared_from_this();
    if (!isRunning_) {
        channel_->abort();
        onIdleEnd_();
        return;
    }
    reader_->feed(bytes);
    advance();
}

auto ClientChannel::takeEnd(ChannelEnd end) -> void
{
    const auto self = shared_from_this();
    if (!isRunning_) {
        onIdleEnd_();
        return;
    }
    AnswerEnding ending;
    ending.hasHead = reader_->state() == ReadState::Body && !isSkipping_;
    if (ending.hasHead) {
        ending.status = reader_->head().status;
        ending.framing = reader_->needsEof() ? AnswerEnding::Framing::UntilClose : AnswerEnding::Framing::Delimited;
        ending.connection = end == ChannelEnd::Finished ? AnswerEnding::Connection::Finished : AnswerEnding::Connection::Broken;
        ending.isRequestSent = !channel_->hadUnsentBytes();
    }
    switch (judgeAnswer(ending)) {
    case AnswerVerdict::Whole:
    case AnswerVerdict::MayBeCut:
        finish(ExchangeEnd::Closed);
        return;
    case AnswerVerdict::Lost:
        finish(ExchangeEnd::Broken);
        return;
    case AnswerVerdict::NotAnAnswer:
        finish(ExchangeEnd::Malformed);
        return;
    }
}

auto ClientChannel::advance() -> void
{
    while (isRunning_) {
        const ReadState state = reader_->state();
        if (state == ReadState::Malformed || state == ReadState::HeadTooLarge || state == ReadState::BodyTooLarge) {
            finish(ExchangeEnd::Malformed);
            return;
        }
        if (state == ReadState::Head) {
            return;
        }
        if (!hasHead_) {
            if (!isAnswerStatus(reader_->head().status)) {
                finish(ExchangeEnd::Malformed);
                return;
            }
            hasHead_ = true;
            isSkipping_ = reader_->head().status < FIRST_FINAL_STATUS || !handlers_.accepts(reader_->head());
            if (!isSkipping_) {
                handlers_.onHead(reader_->head());
            } else if (++skippedAnswers_ > MAXIMUM_SKIPPED_ANSWERS) {
                finish(ExchangeEnd::Malformed);
                return;
            }
            continue;
        }
        const std::string body = reader_->takeBody();
        skippedBytes_ += isSkipping_ ? body.size() : 0;
        if (skippedBytes_ > MAXIMUM_SKIPPED_BYTES) {
            finish(ExchangeEnd::Malformed);
            return;
        }
        if (!body.empty() && !isSkipping_) {
            handlers_.onBody(body);
            continue;
        }
        if (state == ReadState::Body) {
            return;
        }
        if (!isSkipping_) {
            finish(ExchangeEnd::Complete);
            return;
        }
        const std::string rest = reader_->takeRest();
        reader_.emplace(freshReader());
        reader_->feed(rest);
    }
}

auto ClientChannel::finish(ExchangeEnd end) -> void
{
    const auto self = shared_from_this();
    const auto onEnd = std::move(handlers_.onEnd);
    handlers_ = {};
    isRunning_ = false;
    idleSince_ = BootClock::now();
    const bool isClean
        = end == ExchangeEnd::Complete && reader_->isKeepAlive() && reader_->takeRest().empty() && channel_->queuedBytes() == 0;
    if (isClean) {
        // A caller that reads slowly may have paused it.
        channel_->resume();
    } else {
        channel_->abort();
    }
    if (onEnd) {
        onEnd(end);
    }
}

} // namespace poplardock
