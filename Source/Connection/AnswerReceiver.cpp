#include "Connection/AnswerReceiver.h"

#include <absl/strings/match.h>

namespace poplardock {

namespace {

constexpr std::size_t MAXIMUM_ANSWER_BYTES = 1U << 20U;

} // namespace

AnswerReceiver::AnswerReceiver(CallerReply &reply, CallerWatch::Registration &watch, bool collectsAll)
    : reply_(reply)
    , watch_(watch)
    , collectsAll_(collectsAll)
{
}

auto AnswerReceiver::handlers() -> UpstreamHandlers
{
    return { [this](const UpstreamHead &head) { return receiveHead(head); },
             [this](std::string_view part) {
                 return receiveData(part);
             } };
}

auto AnswerReceiver::isStream() const -> bool
{
    return isStream_;
}

auto AnswerReceiver::isTooLarge() const -> bool
{
    return isTooLarge_;
}

auto AnswerReceiver::firstByteAt() const -> std::optional<TimePoint>
{
    return firstByteAt_;
}

auto AnswerReceiver::body() const -> const std::string &
{
    return body_;
}

auto AnswerReceiver::receiveHead(const UpstreamHead &head) -> bool
{
    head_ = head;
    isStream_ = !collectsAll_ && absl::StartsWithIgnoreCase(findHeader(head, "Content-Type"), "text/event-stream");
    return true;
}

auto AnswerReceiver::receiveData(std::string_view part) -> bool
{
    if (!firstByteAt_) {
        firstByteAt_ = Clock::now();
    }
    if (isStream_) {
        watch_.watchKey();
        return reply_.sendPart(head_, part);
    }
    isTooLarge_ = body_.size() + part.size() > MAXIMUM_ANSWER_BYTES;
    if (isTooLarge_) {
        return false;
    }
    body_.append(part);
    return true;
}

} // namespace poplardock
