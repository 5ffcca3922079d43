#include "Connection/UpstreamCall.h"

#include "Connection/BodyDecoder.h"
#include "Request/AnswerVerdict.h"

#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <optional>
#include <sstream>
#include <sys/socket.h>

namespace poplardock {

namespace {

constexpr std::size_t MAXIMUM_ANSWER_BYTES = 1U << 20U;
constexpr std::size_t MAXIMUM_HEAD_BYTES = 32U << 10U;
constexpr std::size_t READ_BYTES = 16U << 10U;
/// Upstreams are in the same region; a connect that takes longer goes to another upstream instead.
constexpr Milliseconds CONNECT_TIMEOUT { 1000 };
constexpr std::string_view HEAD_END = "\r\n\r\n";
constexpr std::string_view STREAM_END = "data: [DONE]";
/// The end of an event stream is looked for in this many last bytes.
constexpr std::size_t KEPT_TAIL_BYTES = 64;
constexpr int FIRST_FINAL_STATUS = 200;
constexpr const char *CHAT_PATH = "/v1/chat/completions";

auto timespanUntil(TimePoint deadline, TimePoint now) -> Poco::Timespan
{
    const auto left = std::chrono::duration_cast<std::chrono::microseconds>(deadline - now).count();
    return { std::max<Poco::Timespan::TimeDiff>(1000, left) };
}

auto encodeHead(const Upstream &upstream, const UpstreamRequest &request) -> std::string
{
    Poco::Net::HTTPRequest head(request.method, request.path, Poco::Net::HTTPMessage::HTTP_1_1);
    head.setHost(upstream.address);
    for (const auto &[name, value] : request.headers) {
        head.set(name, value);
    }
    if (!upstream.credential.empty()) {
        head.set("Authorization", absl::StrCat("Bearer ", upstream.credential));
    }
    head.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
    std::ostringstream text;
    head.write(text);
    return text.str();
}

auto isJson(const std::string &text) -> bool
{
    try {
        Poco::JSON::Parser().parse(text);
        return true;
    } catch (const Poco::Exception &) {
        return false;
    }
}

/// One exchange over one connection, used by one thread.
class Exchange
{
public:
    Exchange(const Upstream &upstream, const UpstreamRequest &request, const UpstreamHandlers &handlers, const std::stop_token &stop)
        : upstream_(upstream)
        , request_(request)
        , handlers_(handlers)
        , stop_(stop)
    {
    }

    auto run() -> UpstreamResult
    {
        if (const auto failure = connect()) {
            return *failure;
        }
        if (handlers_.mayStart && !handlers_.mayStart()) {
            return UpstreamFailure { RunState::NotRun, ResultCode::UpstreamConnectFailed, "the upstream was withdrawn" };
        }
        const std::stop_callback breakOff(stop_, [this] { ::shutdown(socket_.impl()->sockfd(), SHUT_RDWR); });
        auto failure = send();
        if (!failure) {
            failure = receiveHead();
        }
        if (!failure) {
            failure = receiveBody();
        }
        if (failure) {
            failure->isStopped = failure->isStopped || stop_.stop_requested();
            failure->isConnectionLost = failure->isConnectionLost && !failure->isStopped;
            return *std::move(failure);
        }
        return std::move(answer_);
    }

private:
    using Failure = std::optional<UpstreamFailure>;

    auto connect() -> Failure
    {
        const TimePoint now = Clock::now();
        if (stop_.stop_requested()) {
            return UpstreamFailure { RunState::NotRun, ResultCode::UpstreamConnectFailed, "stopped", false, true };
        }
        if (now >= request_.deadline) {
            return UpstreamFailure { RunState::NotRun, ResultCode::UpstreamConnectFailed, "the deadline has passed" };
        }
        try {
            const TimePoint deadline = std::min(request_.deadline, now + CONNECT_TIMEOUT);
            socket_.connect(Poco::Net::SocketAddress(upstream_.address), timespanUntil(deadline, now));
            socket_.setNoDelay(true);
            return std::nullopt;
        } catch (const Poco::Exception &exception) {
            return UpstreamFailure { RunState::NotRun, ResultCode::UpstreamConnectFailed, exception.displayText() };
        }
    }

    auto send() -> Failure
    {
        const std::string bytes = encodeHead(upstream_, request_) + request_.body;
        std::size_t sent = 0;
        try {
            while (sent < bytes.size()) {
                const TimePoint now = Clock::now();
                if (now >= request_.deadline) {
                    return timedOut(sent);
                }
                socket_.setSendTimeout(timespanUntil(request_.deadline, now));
                const auto left = static_cast<int>(bytes.size() - sent);
                sent += static_cast<std::size_t>(std::max(0, socket_.sendBytes(bytes.data() + sent, left, MSG_NOSIGNAL)));
            }
            return std::nullopt;
        } catch (const Poco::TimeoutException &) {
            return timedOut(sent);
        } catch (const Poco::Exception &exception) {
            // A send that fails has written nothing, so before the first success no byte has left.
            return UpstreamFailure { sent == 0 ? RunState::NotRun : RunState::MayHaveRun,
                                     sent == 0 ? ResultCode::UpstreamConnectFailed : ResultCode::UpstreamLost,
                                     exception.displayText(),
                                     sent > 0 };
        }
    }

    static auto timedOut(std::size_t sent) -> UpstreamFailure
    {
        return { sent == 0 ? RunState::NotRun : RunState::MayHaveRun, ResultCode::UpstreamTimedOut, "the deadline has passed" };
    }

    static auto invalid(std::string reason) -> UpstreamFailure
    {
        return { RunState::MayHaveRun, ResultCode::UpstreamAnswerInvalid, std::move(reason) };
    }

    static auto lost(std::string reason) -> UpstreamFailure
    {
        return { RunState::MayHaveRun, ResultCode::UpstreamLost, std::move(reason), true };
    }

    static auto stoppedByHandler() -> UpstreamFailure
    {
        return { RunState::MayHaveRun, ResultCode::UpstreamLost, "stopped by the receiver", false, true };
    }

    /// Appends what arrives next to unread_; leaves it unchanged at the end of the connection.
    auto receive() -> Failure
    {
        const TimePoint now = Clock::now();
        if (now >= request_.deadline) {
            return timedOut(1);
        }
        try {
            socket_.setReceiveTimeout(timespanUntil(request_.deadline, now));
            char buffer[READ_BYTES];
            const int count = socket_.receiveBytes(buffer, sizeof buffer);
            unread_.append(buffer, static_cast<std::size_t>(std::max(0, count)));
            return std::nullopt;
        } catch (const Poco::TimeoutException &) {
            return timedOut(1);
        } catch (const Poco::Exception &exception) {
            return lost(exception.displayText());
        }
    }

    auto receiveHead() -> Failure
    {
        while (head_.getStatus() < FIRST_FINAL_STATUS || answer_.head.status == 0) {
            std::size_t end = unread_.find(HEAD_END);
            while (end == std::string::npos) {
                const std::size_t before = unread_.size();
                if (auto failure = receive()) {
                    return failure;
                }
                if (unread_.size() == before) {
                    return lost("the connection was closed before the answer");
                }
                if (before > MAXIMUM_HEAD_BYTES) {
                    return invalid("the head of the answer is too large");
                }
                end = unread_.find(HEAD_END);
            }
            if (auto failure = parseHead(unread_.substr(0, end + HEAD_END.size()))) {
                return failure;
            }
            unread_.erase(0, end + HEAD_END.size());
        }
        if (handlers_.onHead && !handlers_.onHead(answer_.head)) {
            return stoppedByHandler();
        }
        return std::nullopt;
    }

    auto parseHead(const std::string &text) -> Failure
    {
        try {
            std::istringstream stream(text);
            head_.clear();
            head_.read(stream);
            if (head_.hasContentLength() && head_.getContentLength64() < 0) {
                return invalid("the announced length is negative");
            }
        } catch (const Poco::Exception &exception) {
            return invalid(exception.displayText());
        }
        answer_.head = {};
        answer_.head.status = static_cast<int>(head_.getStatus());
        for (const auto &[name, value] : head_) {
            answer_.head.headers[name] = value;
        }
        if (!isAnswerStatus(answer_.head.status)) {
            return invalid("the answer has no final status");
        }
        return std::nullopt;
    }

    auto receiveBody() -> Failure
    {
        BodyDecoder decoder(head_);
        while (true) {
            std::string part;
            if (!decoder.push(unread_, part)) {
                return invalid("the body of the answer is malformed");
            }
            unread_.clear();
            if (auto failure = passOn(part)) {
                return failure;
            }
            if (decoder.isComplete()) {
                return checkWhole(decoder);
            }
            if (auto failure = receive()) {
                return failure;
            }
            if (unread_.empty()) {
                return decoder.framing() == BodyDecoder::Framing::UntilClose ? checkWhole(decoder) : lost("the answer is incomplete");
            }
        }
    }

    auto passOn(const std::string &part) -> Failure
    {
        if (part.empty()) {
            return std::nullopt;
        }
        tail_.append(part);
        tail_.erase(0, tail_.size() - std::min(tail_.size(), KEPT_TAIL_BYTES));
        if (!handlers_.onData || isCheckedJson()) {
            if (answer_.body.size() + part.size() > MAXIMUM_ANSWER_BYTES) {
                return invalid("the answer is too large");
            }
            answer_.body.append(part);
        }
        if (handlers_.onData && !handlers_.onData(part)) {
            return stoppedByHandler();
        }
        return std::nullopt;
    }

    [[nodiscard]] auto hasType(std::string_view type) const -> bool
    {
        return absl::StartsWithIgnoreCase(head_.getContentType(), absl::string_view(type.data(), type.size()));
    }

    /// A JSON body whose length was not announced is kept, to see from its syntax whether it is whole.
    [[nodiscard]] auto isCheckedJson() const -> bool
    {
        return hasType("application/json") && !head_.hasContentLength();
    }

    /// Checks an answer whose length was not announced. A server that breaks off in a handler may still end
    /// the chunked body properly (POCO's does), so the content has to show that it is whole.
    auto checkWhole(const BodyDecoder &decoder) -> Failure
    {
        using Framing = BodyDecoder::Framing;
        if (decoder.framing() != Framing::Chunked && decoder.framing() != Framing::UntilClose) {
            return std::nullopt;
        }
        if (hasType("application/json")) {
            const bool isWhole = isJson(answer_.body);
            if (handlers_.onData) {
                answer_.body.clear();
            }
            return isWhole ? std::nullopt : Failure(lost("the JSON answer is incomplete"));
        }
        const bool isEventStream = hasType("text/event-stream");
        if (isEventStream && (request_.path == CHAT_PATH || !head_.getKeepAlive() || decoder.framing() == Framing::UntilClose)) {
            return tail_.find(STREAM_END) != std::string::npos ? std::nullopt : Failure(lost("the event stream is incomplete"));
        }
        if (decoder.framing() == Framing::UntilClose) {
            return invalid("the answer does not show its length");
        }
        const bool isClosed = head_.getKeepAlive() && socket_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
        return isClosed ? Failure(lost("the connection was closed with the last byte of the answer")) : std::nullopt;
    }

    const Upstream &upstream_;
    const UpstreamRequest &request_;
    const UpstreamHandlers &handlers_;
    const std::stop_token stop_;
    Poco::Net::StreamSocket socket_;
    Poco::Net::HTTPResponse head_;
    UpstreamAnswer answer_;
    std::string unread_;
    /// The last bytes of the body.
    std::string tail_;
};

} // namespace

auto callUpstream(const Upstream &upstream, const UpstreamRequest &request, const UpstreamHandlers &handlers, const std::stop_token &stop)
    -> UpstreamResult
{
    return Exchange(upstream, request, handlers, stop).run();
}

} // namespace poplardock
