#include "Request/AnswerVerdict.h"

namespace poplardock {

namespace {

constexpr int FIRST_STATUS = 100;
constexpr int SWITCHING_PROTOCOLS = 101;
constexpr int FIRST_SUCCESS = 200;
constexpr int FIRST_REDIRECTION = 300;
constexpr int LAST_STATUS = 599;

} // namespace

auto isAnswerStatus(int status) -> bool
{
    return status >= FIRST_STATUS && status <= LAST_STATUS && status != SWITCHING_PROTOCOLS;
}

auto judgeAnswer(const AnswerEnding &ending) -> AnswerVerdict
{
    if (!ending.hasHead) {
        return AnswerVerdict::Lost;
    }
    if (!isAnswerStatus(ending.status)) {
        return AnswerVerdict::NotAnAnswer;
    }
    if (ending.framing == AnswerEnding::Framing::Delimited) {
        return ending.hasBodyEnd ? AnswerVerdict::Whole : AnswerVerdict::Lost;
    }
    if (ending.connection != AnswerEnding::Connection::Finished) {
        return AnswerVerdict::Lost;
    }
    const bool isSuccess = ending.status >= FIRST_SUCCESS && ending.status < FIRST_REDIRECTION;
    if (!isSuccess) {
        return AnswerVerdict::Whole;
    }
    // A peer that ends the connection while it is still being written to has not read the request that it claims to have served.
    return ending.isRequestSent ? AnswerVerdict::MayBeCut : AnswerVerdict::Lost;
}

} // namespace poplardock
