#pragma once

#include "Connection/WireDialect.h"
#include "Process/HeldBytes.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace poplardock {

class CallerSession;

/// One request of a caller and its answer. After reply(), finish() or breakOff() nothing more may be sent; sends to
/// a caller that has gone are ignored.
/// Thread safety: the loop's thread only.
class CallerExchange
{
public:
    CallerExchange(std::weak_ptr<CallerSession> session,
                   MessageHead head,
                   std::string body,
                   BootTime receivedAt,
                   const std::shared_ptr<HeldBytes> &account);

    [[nodiscard]] auto head() const -> const MessageHead &;
    [[nodiscard]] auto body() const -> const std::string &;
    /// Frees the body once it is not needed any more.
    auto takeBody() -> std::string;
    /// When the first byte of the request came.
    [[nodiscard]] auto receivedAt() const -> BootTime;

    /// Whether the answer is a head alone; the body of what is replied is then left out.
    [[nodiscard]] auto isHeadRequest() const -> bool;

    auto reply(const HttpResult &result) -> void;
    /// Starts an answer in pieces.
    auto begin(int status, const HeaderList &headers) -> void;
    auto sendPiece(std::string_view bytes) -> void;
    auto finish() -> void;
    /// Ends a started answer so that it does not look complete.
    auto breakOff() -> void;
    [[nodiscard]] auto hasBegun() const -> bool;
    /// The caller has closed its connection.
    [[nodiscard]] auto isGone() const -> bool;
    /// Bytes of the answer that the caller's connection has not taken yet.
    [[nodiscard]] auto queuedBytes() const -> std::size_t;

    /// Charges bytes of the answer that are collected before they are sent. Returns false, with the charge as it was, when the
    /// account of held bytes has no room.
    [[nodiscard]] auto tryCollect(std::size_t bytes) -> bool;

    /// Called once if the caller closes its connection before the answer is complete.
    auto setGoneHandler(std::function<void()> onGone) -> void;
    /// Called when queued bytes have been taken.
    auto setDrainHandler(std::function<void()> onDrained) -> void;

private:
    friend class CallerSession;

    [[nodiscard]] auto encodeReply(const HttpResult &result, bool keepAlive) const -> std::string;

    std::weak_ptr<CallerSession> session_;
    MessageHead head_;
    std::string body_;
    BootTime receivedAt_;
    /// Also covers work that goes on when the caller is gone.
    HeldBytes::Charge requestCharge_;
    HeldBytes::Charge answerCharge_;
    std::function<void()> onGone_;
    std::function<void()> onDrained_;
    bool hasBegun_ = false;
    bool isAnswered_ = false;
    bool isGone_ = false;
};

} // namespace poplardock
