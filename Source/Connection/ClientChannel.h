#pragma once

#include "Connection/Io/Channel.h"
#include "Connection/Io/MessageReader.h"
#include "Connection/WireDialect.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace poplardock {

/// How an exchange on a client channel ended.
enum class ExchangeEnd
{
    /// The answer is complete.
    Complete,
    /// The answer has no length and ended in order with the connection: it is complete, unless the peer has crashed.
    Closed,
    /// The connection ended before the answer did.
    Broken,
    /// The peer sent bytes that are no answer.
    Malformed,
};

/// What the owner of an exchange hears. No handler is called after onEnd or after cancel().
struct ExchangeHandlers
{
    /// False for an answer that belongs to another request: it is skipped, and the next one is awaited.
    std::function<bool(const MessageHead &)> accepts;
    std::function<void(const MessageHead &)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void(ExchangeEnd)> onEnd;
};

/// Writes a request with a length. Precondition: the headers hold neither Content-Length nor Transfer-Encoding.
auto encodeCall(const HttpCall &call) -> std::string;

/// A kept HTTP/1.1 connection to an upstream, the store or a peer; one exchange at a time.
/// Bytes that come outside an exchange, or after a complete answer, belong to no request: the channel is closed.
/// Thread safety: the loop's thread only.
class ClientChannel : public std::enable_shared_from_this<ClientChannel>
{
public:
    /// "onIdleEnd" is called when the connection ends while no exchange runs.
    ClientChannel(std::shared_ptr<Channel> channel, std::function<void()> onIdleEnd);
    ClientChannel(const ClientChannel &) = delete;
    auto operator=(const ClientChannel &) -> ClientChannel & = delete;
    ClientChannel(ClientChannel &&) = delete;
    auto operator=(ClientChannel &&) -> ClientChannel & = delete;
    ~ClientChannel();

    static constexpr std::size_t MAXIMUM_RECORDED_REQUESTS = 500;

    /// Call once after construction.
    auto start() -> void;
    /// Sends a request. The answer to a HEAD request ends with its head. Precondition: isReusable().
    auto exchange(std::string_view request, ExchangeHandlers handlers) -> void;
    /// Ends the running exchange, if any, and closes the connection.
    auto cancel() -> void;
    /// Stops and continues reading the answer.
    auto pause() -> void;
    auto resume() -> void;
    /// Records the id of the request that is sent next, since copies of its answer may come as long as the connection lives.
    auto recordRequest(const std::string &requestId) -> void;
    /// Whether a request with that id has been recorded; may be true by chance for another id.
    [[nodiscard]] auto hasCarried(const std::string &requestId) const -> bool;
    /// Whether another exchange may be sent now. False for good after MAXIMUM_RECORDED_REQUESTS ids.
    [[nodiscard]] auto isReusable() const -> bool;
    /// The connection must not be used after this time; the peer closes it then.
    [[nodiscard]] auto usableUntil() const -> BootTime;
    [[nodiscard]] auto idleSince() const -> BootTime;
    /// Sets how long the connection stays usable from now on.
    auto setUsableFor(Milliseconds time) -> void;

private:
    auto takeData(std::string_view bytes) -> void;
    auto takeEnd(ChannelEnd end) -> void;
    auto advance() -> void;
    auto finish(ExchangeEnd end) -> void;
    auto freshReader() -> MessageReader;

    std::shared_ptr<Channel> channel_;
    std::function<void()> onIdleEnd_;
    std::optional<MessageReader> reader_;
    ExchangeHandlers handlers_;
    bool isRunning_ = false;
    bool isHeadRequest_ = false;
    bool hasHead_ = false;
    bool isSkipping_ = false;
    int skippedAnswers_ = 0;
    std::size_t skippedBytes_ = 0;
    /// Hashes of the recorded ids.
    std::vector<std::size_t> carriedIds_;
    BootTime idleSince_;
    BootTime usableUntil_ = BootTime::max();
};

} // namespace poplardock
