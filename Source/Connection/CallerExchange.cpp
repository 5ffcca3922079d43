#include "Connection/CallerExchange.h"

#include "Connection/CallerSession.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

namespace poplardock {

CallerExchange::CallerExchange(std::weak_ptr<CallerSession> session,
                               MessageHead head,
                               std::string body,
                               BootTime receivedAt,
                               const std::shared_ptr<HeldBytes> &account)
    : session_(std::move(session))
    , head_(std::move(head))
    , body_(std::move(body))
    , receivedAt_(receivedAt)
    , requestCharge_(account)
    , answerCharge_(account)
{
}

auto CallerExchange::head() const -> const MessageHead &
{
    return head_;
}

auto CallerExchange::body() const -> const std::string &
{
    return body_;
}

auto CallerExchange::takeBody() -> std::string
{
    return std::exchange(body_, {});
}

auto CallerExchange::receivedAt() const -> BootTime
{
    return receivedAt_;
}

auto CallerExchange::reply(const HttpResult &result) -> void
{
    if (isAnswered_) {
        return;
    }
    isAnswered_ = true;
    onGone_ = nullptr;
    if (const auto session = session_.lock()) {
        session->send(encodeReply(result, session->announceKeeping()));
        session->finishExchange(true);
    }
}

auto CallerExchange::encodeReply(const HttpResult &result, bool keepAlive) const -> std::string
{
    if (!isHeadRequest()) {
        return encodeResponse(result.status, result.headers, result.body, keepAlive);
    }
    std::string text = encodeHead(result.status, result.headers, keepAlive);
    if (!result.body.empty()) {
        absl::StrAppend(&text, "Content-Length: ", result.body.size(), "\r\n");
    }
    absl::StrAppend(&text, "\r\n");
    return text;
}

auto CallerExchange::begin(int status, const HeaderList &headers) -> void
{
    hasBegun_ = true;
    if (const auto session = session_.lock()) {
        session->holdBack(absl::StrCat(encodeHead(status, headers, session->announceKeeping()), "Transfer-Encoding: chunked\r\n\r\n"));
    }
}

auto CallerExchange::sendPiece(std::string_view bytes) -> void
{
    const auto session = session_.lock();
    if (session == nullptr || isAnswered_ || bytes.empty() || isHeadRequest()) {
        return;
    }
    std::string chunk = absl::StrFormat("%x\r\n", bytes.size());
    chunk.append(bytes).append("\r\n");
    session->send(chunk);
}

auto CallerExchange::finish() -> void
{
    if (isAnswered_) {
        return;
    }
    isAnswered_ = true;
    onGone_ = nullptr;
    if (const auto session = session_.lock()) {
        session->send(isHeadRequest() ? "" : "0\r\n\r\n");
        session->finishExchange(true);
    }
}

auto CallerExchange::breakOff() -> void
{
    if (isAnswered_) {
        return;
    }
    isAnswered_ = true;
    onGone_ = nullptr;
    if (const auto session = session_.lock()) {
        session->finishExchange(false);
    }
}

auto CallerExchange::hasBegun() const -> bool
{
    return hasBegun_;
}

auto CallerExchange::isHeadRequest() const -> bool
{
    return head_.method == "HEAD";
}

auto CallerExchange::isGone() const -> bool
{
    return isGone_;
}

auto CallerExchange::queuedBytes() const -> std::size_t
{
    const auto session = session_.lock();
    return session == nullptr ? 0 : session->queuedBytes();
}

auto CallerExchange::tryCollect(std::size_t bytes) -> bool
{
    return answerCharge_.trySet(bytes, BootClock::now());
}

auto CallerExchange::setGoneHandler(std::function<void()> onGone) -> void
{
    onGone_ = std::move(onGone);
}

auto CallerExchange::setDrainHandler(std::function<void()> onDrained) -> void
{
    onDrained_ = std::move(onDrained);
}

} // namespace poplardock
