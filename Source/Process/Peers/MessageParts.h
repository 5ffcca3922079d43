#pragma once

#include "Process/Clock.h"

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplardock {

/// Longest text that is sent as one datagram. UDP over IPv4 carries 65,507 bytes.
inline constexpr std::size_t MAXIMUM_DATAGRAM_BYTES = 60000;
/// Longest message that can be sent in parts.
inline constexpr std::size_t MAXIMUM_PARTS = 64;
inline constexpr std::size_t MAXIMUM_MESSAGE_BYTES = MAXIMUM_PARTS * MAXIMUM_DATAGRAM_BYTES;

/// The datagrams of a message: the text itself if it fits, else parts of it, each behind a line with the number of the message, its own
/// position and the count. "number": differs from the sender's last messages. Empty for a text longer than MAXIMUM_MESSAGE_BYTES.
/// Thread-safe.
auto splitMessage(std::string_view text, std::uint64_t number) -> std::vector<std::string>;

/// Puts the parts of messages together, whatever their order. A message of which a part is lost is dropped once its sender has begun
/// another one, after PART_TIME, or for lack of room.
/// Times are passed in, so that tests need no clock. Thread safety: one thread.
class MessageAssembler
{
public:
    static constexpr Milliseconds PART_TIME { 2000 };
    /// Bytes of all messages that lack a part.
    static constexpr std::size_t MAXIMUM_BYTES = 2 * MAXIMUM_MESSAGE_BYTES;
    static constexpr std::size_t MAXIMUM_SENDERS = 1000;

    /// Whether a datagram is a part of a message.
    static auto isPart(std::string_view datagram) -> bool;
    /// Takes a part from that sender and returns the text if it was the last one that lacked; malformed parts are ignored.
    auto add(const std::string &sender, std::string_view datagram, BootTime now) -> std::optional<std::string>;
    /// Bytes that are held.
    [[nodiscard]] auto bytes() const -> std::size_t;

private:
    struct Message
    {
        std::string sender;
        std::uint64_t number = 0;
        BootTime expiresAt;
        /// Empty for a part that lacks.
        std::vector<std::string> parts;
        std::size_t missing = 0;
        std::size_t bytes = 0;
    };

    auto dropExpired(BootTime now) -> void;

    /// In the order in which they were begun, one for each sender.
    std::list<Message> messages_;
    std::size_t bytes_ = 0;
};

} // namespace poplardock
