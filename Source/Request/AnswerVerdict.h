#pragma once

namespace poplardock {

/// How the bytes of an answer came to their end.
struct AnswerEnding
{
    enum class Framing
    {
        /// A length or chunks show where the body ends.
        Delimited,
        /// The body ends with its connection.
        UntilClose,
    };
    enum class Connection
    {
        Open,
        /// The peer closed its side in order.
        Finished,
        /// Reset, timed out or failed.
        Broken,
    };

    /// Whether the head came whole; the status and the framing mean nothing otherwise.
    bool hasHead = false;
    int status = 0;
    Framing framing = Framing::Delimited;
    /// Whether the end of a delimited body came.
    bool hasBodyEnd = false;
    Connection connection = Connection::Open;
    /// Whether the whole request was written before.
    bool isRequestSent = true;

    auto operator==(const AnswerEnding &) const -> bool = default;
};

enum class AnswerVerdict
{
    Whole,
    /// Whole unless the peer crashed, whose system then closes the connection in the same way.
    MayBeCut,
    /// The answer broke off or never came: the request may have run.
    Lost,
    /// The bytes are no answer in the protocol: the request may have run.
    NotAnAnswer,
};

/// Whether a status is one of the protocol's, 100 to 599 without 101, which no request of this system asks for. Thread-safe.
auto isAnswerStatus(int status) -> bool;

/// Decides what has been received when no more bytes of an answer come. Thread-safe.
auto judgeAnswer(const AnswerEnding &ending) -> AnswerVerdict;

} // namespace poplardock
