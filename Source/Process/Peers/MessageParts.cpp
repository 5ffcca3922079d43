#include "Process/Peers/MessageParts.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace poplardock {

namespace {

/// "part1 NUMBER POSITION COUNT", a line feed, and the bytes of the part.
constexpr std::string_view PART_TAG = "part1 ";

struct Part
{
    std::uint64_t number = 0;
    std::size_t position = 0;
    std::size_t count = 0;
    std::string_view text;
};

auto parsePart(std::string_view datagram) -> std::optional<Part>
{
    const std::size_t end = datagram.find('\n');
    if (end == std::string_view::npos) {
        return std::nullopt;
    }
    constexpr std::size_t WORDS = 4;
    const std::vector<absl::string_view> words = absl::StrSplit(absl::string_view(datagram.data(), end), ' ');
    Part part;
    part.text = datagram.substr(end + 1);
    const bool isValid = words.size() == WORDS && absl::SimpleAtoi(words[1], &part.number) && absl::SimpleAtoi(words[2], &part.position)
                         && absl::SimpleAtoi(words[3], &part.count) && part.count > 1 && part.count <= MAXIMUM_PARTS
                         && part.position < part.count && !part.text.empty() && part.text.size() <= MAXIMUM_DATAGRAM_BYTES;
    return isValid ? std::optional(part) : std::nullopt;
}

} // namespace

auto splitMessage(std::string_view text, std::uint64_t number) -> std::vector<std::string>
{
    if (text.size() <= MAXIMUM_DATAGRAM_BYTES) {
        return { std::string(text) };
    }
    if (text.size() > MAXIMUM_MESSAGE_BYTES) {
        return {};
    }
    const std::size_t count = (text.size() + MAXIMUM_DATAGRAM_BYTES - 1) / MAXIMUM_DATAGRAM_BYTES;
    std::vector<std::string> parts;
    for (std::size_t position = 0; position < count; ++position) {
        const std::string_view part = text.substr(position * MAXIMUM_DATAGRAM_BYTES, MAXIMUM_DATAGRAM_BYTES);
        parts.push_back(absl::StrCat(absl::string_view(PART_TAG.data(), PART_TAG.size()),
                                     number,
                                     " ",
                                     position,
                                     " ",
                                     count,
                                     "\n",
                                     absl::string_view(part.data(), part.size())));
    }
    return parts;
}

auto MessageAssembler::isPart(std::string_view datagram) -> bool
{
    return datagram.starts_with(PART_TAG);
}

auto MessageAssembler::bytes() const -> std::size_t
{
    return bytes_;
}

auto MessageAssembler::dropExpired(BootTime now) -> void
{
    while (!messages_.empty() && (messages_.front().expiresAt <= now || bytes_ > MAXIMUM_BYTES || messages_.size() > MAXIMUM_SENDERS)) {
        bytes_ -= messages_.front().bytes;
        messages_.pop_front();
    }
}

auto MessageAssembler::add(const std::string &sender, std::string_view datagram, BootTime now) -> std::optional<std::string>
{
    dropExpired(now);
    const auto part = parsePart(datagram);
    if (!part) {
        return std::nullopt;
    }
    auto message = std::find_if(messages_.begin(), messages_.end(), [&sender](const Message &each) { return each.sender == sender; });
    if (message != messages_.end() && (message->number != part->number || message->parts.size() != part->count)) {
        bytes_ -= message->bytes;
        messages_.erase(message);
        message = messages_.end();
    }
    if (message == messages_.end()) {
        message = messages_.insert(
            messages_.end(), Message { sender, part->number, now + PART_TIME, std::vector<std::string>(part->count), part->count, 0 });
    }
    std::string &place = message->parts[part->position];
    if (!place.empty()) {
        return std::nullopt;
    }
    place = std::string(part->text);
    message->bytes += place.size();
    bytes_ += place.size();
    if (--message->missing > 0) {
        dropExpired(now);
        return std::nullopt;
    }
    std::string text;
    text.reserve(message->bytes);
    for (const std::string &each : message->parts) {
        text += each;
    }
    bytes_ -= message->bytes;
    messages_.erase(message);
    return text;
}

} // namespace poplardock
