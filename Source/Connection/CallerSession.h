#pragma once

#include "Connection/CallerExchange.h"
#include "Connection/Io/Channel.h"
#include "Connection/Io/MessageReader.h"
#include "Process/HeldBytes.h"

#include <functional>
#include <memory>
#include <optional>

namespace poplardock {

/// What a session asks of its server.
struct SessionEnvironment
{
    std::function<void(const std::shared_ptr<CallerExchange> &)> onRequest;
    std::function<CallerLimits()> limits;
    /// True once connections are to be closed after their answer.
    std::function<bool()> isDraining;
    std::function<void(const CallerSession *)> onEnd;
    /// Null for a server whose memory is not accounted.
    std::shared_ptr<HeldBytes> account;
    /// Copies of its body that a request takes while it is served; unset for one.
    std::function<int(const MessageHead &)> bodyCopies;
    /// The answer to a request that is not read because there is no room for it; unset for a bare 503.
    std::function<HttpResult()> overloadAnswer;
    /// Called for each body that is ended because nothing more came of it.
    std::function<void()> onBodyTimeout;
};

/// One connection from a caller: reads requests one after the other and writes their answers.
/// Thread safety: the loop's thread only.
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    CallerSession(std::shared_ptr<Channel> channel, std::shared_ptr<const SessionEnvironment> environment);
    CallerSession(const CallerSession &) = delete;
    auto operator=(const CallerSession &) -> CallerSession & = delete;
    CallerSession(CallerSession &&) = delete;
    auto operator=(CallerSession &&) -> CallerSession & = delete;
    ~CallerSession();

    /// Call once after construction.
    auto start() -> void;
    /// Closes the connection when it was idle, has taken its time over a head, or has made no progress with a body or in taking
    /// an answer for longer than the limits allow.
    auto closeIfLate(BootTime now) -> void;
    /// Refuses the request that is being read as not run, or ends the connection if there is none.
    auto endForRoom() -> void;
    /// What the connection holds, apart from a request that runs.
    [[nodiscard]] auto holding(BootTime now) -> Holding;
    [[nodiscard]] auto progressAt() const -> BootTime;
    /// Whether a request runs, or its answer is being sent.
    [[nodiscard]] auto hasRequest() const -> bool;
    /// Whether the connection may be ended without breaking off a request that runs.
    [[nodiscard]] auto isEndable() const -> bool;
    /// Whether the last answer was a refusal to read on.
    [[nodiscard]] auto isRefused() const -> bool;
    /// Gives the request that runs this answer unless its own has begun, as if its caller had gone.
    auto answerUnfinished(const HttpResult &result) -> void;
    /// Closes the connection if it carries no request.
    auto closeIfIdle() -> void;
    [[nodiscard]] auto isBusy() const -> bool;
    /// Never null; outlives the session while it sends what is queued.
    [[nodiscard]] auto channel() const -> const std::shared_ptr<Channel> &;

    // For CallerExchange.
    auto send(std::string_view bytes) -> void;
    /// Keeps bytes for the next send, so that a head and its first piece share a packet.
    auto holdBack(std::string bytes) -> void;
    auto finishExchange(bool isComplete) -> void;
    [[nodiscard]] auto keepsConnection() const -> bool;
    /// As keepsConnection(), for the head of an answer: once it has said that the connection closes, it does.
    auto announceKeeping() -> bool;
    [[nodiscard]] auto queuedBytes() const -> std::size_t;

private:
    auto takeData(std::string_view bytes) -> void;
    auto takeEnd() -> void;
    auto advance() -> void;
    auto refuse(int status) -> void;
    auto refuseWith(const HttpResult &result) -> void;
    /// Charges what the connection holds now. Refuses the request that is being read if there is no room for it.
    auto charge() -> bool;
    [[nodiscard]] auto chargedBytes() const -> std::uint64_t;
    /// Notes whether the queue has changed, which shows that the caller reads or that an answer goes on.
    auto noteDelivery(BootTime now) -> void;
    auto beginNext(std::string_view rest) -> void;
    auto close() -> void;

    std::shared_ptr<Channel> channel_;
    std::shared_ptr<const SessionEnvironment> environment_;
    std::optional<MessageReader> reader_;
    std::shared_ptr<CallerExchange> exchange_;
    std::string heldBack_;
    /// Bytes of the next request that came while one was running.
    std::string early_;
    BootTime startedAt_;
    BootTime idleSince_;
    /// When bytes last came, or were last taken.
    BootTime progressAt_;
    std::size_t undelivered_ = 0;
    HeldBytes::Charge charge_;
    /// For the request that is being read; 0 until it is asked for.
    int bodyCopies_ = 0;
    bool wantsContinue_ = false;
    bool hasAnnouncedClose_ = false;
    bool keeps_ = true;
    bool isClosed_ = false;
    bool isRefused_ = false;
};

} // namespace poplardock
