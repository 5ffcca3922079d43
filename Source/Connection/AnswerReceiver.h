#pragma once

#include "Connection/CallerReply.h"
#include "Connection/CallerWatch.h"
#include "Connection/UpstreamCall.h"

#include <optional>
#include <string>

namespace poplardock {

/// Takes one answer as it arrives. Event streams go to the caller at once; any other answer is collected, so
/// that the caller never gets a part of an answer that breaks off. Not thread-safe.
class AnswerReceiver
{
public:
    /// With "collectsAll" event streams are collected too.
    AnswerReceiver(CallerReply &reply, CallerWatch::Registration &watch, bool collectsAll);

    /// The handlers refer to this object.
    [[nodiscard]] auto handlers() -> UpstreamHandlers;
    [[nodiscard]] auto isStream() const -> bool;
    /// The collected answer exceeded 1 MB and was broken off.
    [[nodiscard]] auto isTooLarge() const -> bool;
    /// Time of the first byte of the body.
    [[nodiscard]] auto firstByteAt() const -> std::optional<TimePoint>;
    [[nodiscard]] auto body() const -> const std::string &;

private:
    auto receiveHead(const UpstreamHead &head) -> bool;
    auto receiveData(std::string_view part) -> bool;

    CallerReply &reply_;
    CallerWatch::Registration &watch_;
    const bool collectsAll_;
    UpstreamHead head_;
    bool isStream_ = false;
    bool isTooLarge_ = false;
    std::optional<TimePoint> firstByteAt_;
    std::string body_;
};

} // namespace poplardock
