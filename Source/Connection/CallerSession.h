#pragma once

#include "Connection/CallerExchange.h"
#include "Connection/Io/Channel.h"
#include "Connection/Io/MessageReader.h"

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
    /// Closes the connection when it was idle, or has taken its time over a head, for longer than the limits allow.
    auto closeIfLate(BootTime now) -> void;
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
    [[nodiscard]] auto queuedBytes() const -> std::size_t;

private:
    auto takeData(std::string_view bytes) -> void;
    auto takeEnd() -> void;
    auto advance() -> void;
    auto refuse(int status) -> void;
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
    bool wantsContinue_ = false;
    bool keeps_ = true;
    bool isClosed_ = false;
};

} // namespace poplardock
