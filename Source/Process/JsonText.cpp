#include "Process/JsonText.h"

#include <algorithm>
#include <optional>

namespace poplardock::JsonText {

namespace {

constexpr std::string_view WHITESPACE = " \t\r\n";
constexpr std::string_view SCALAR_END = " \t\r\n,]}";

/// Reads the parts of one text from its start to its end.
class Scanner
{
public:
    explicit Scanner(std::string_view text)
        : text_(text)
    {
    }

    /// Skips whitespace and then the character; false when another one follows.
    auto take(char expected) -> bool
    {
        skipWhitespace();
        if (position_ >= text_.size() || text_[position_] != expected) {
            return false;
        }
        ++position_;
        return true;
    }

    /// The next value as it stands in the text; unset when none is complete.
    auto takeValue() -> std::optional<std::string_view>
    {
        skipWhitespace();
        const std::size_t begin = position_;
        if (begin >= text_.size()) {
            return std::nullopt;
        }
        const char first = text_[begin];
        const bool isComplete = first == '"' ? skipString() : first == '{' || first == '[' ? skipNested() : skipScalar();
        return isComplete ? std::optional(text_.substr(begin, position_ - begin)) : std::nullopt;
    }

private:
    auto skipWhitespace() -> void
    {
        position_ = std::min(text_.find_first_not_of(WHITESPACE, position_), text_.size());
    }

    auto skipString() -> bool
    {
        for (++position_; position_ < text_.size(); ++position_) {
            if (text_[position_] == '"') {
                ++position_;
                return true;
            }
            position_ += text_[position_] == '\\' ? 1 : 0;
        }
        return false;
    }

    auto skipNested() -> bool
    {
        for (std::size_t depth = 0; position_ < text_.size();) {
            const char next = text_[position_];
            if (next == '"') {
                if (!skipString()) {
                    return false;
                }
                continue;
            }
            ++position_;
            depth += next == '{' || next == '[' ? 1 : 0;
            depth -= next == '}' || next == ']' ? 1 : 0;
            if (depth == 0) {
                return true;
            }
        }
        return false;
    }

    auto skipScalar() -> bool
    {
        const std::size_t begin = position_;
        position_ = std::min(text_.find_first_of(SCALAR_END, position_), text_.size());
        return position_ > begin;
    }

    const std::string_view text_;
    std::size_t position_ = 0;
};

} // namespace

auto members(std::string_view text) -> absl::StatusOr<std::map<std::string, std::string_view, std::less<>>>
{
    std::map<std::string, std::string_view, std::less<>> found;
    Scanner scanner(text);
    bool isWhole = scanner.take('{');
    if (isWhole && scanner.take('}')) {
        return found;
    }
    while (isWhole) {
        const auto key = scanner.takeValue();
        const bool hasKey = key && key->front() == '"' && scanner.take(':');
        const auto value = hasKey ? scanner.takeValue() : std::nullopt;
        if (!value) {
            break;
        }
        found[std::string(key->substr(1, key->size() - 2))] = *value;
        if (scanner.take('}')) {
            return found;
        }
        isWhole = scanner.take(',');
    }
    return absl::InvalidArgumentError("malformed JSON: no object");
}

auto elements(std::string_view text) -> absl::StatusOr<std::vector<std::string_view>>
{
    std::vector<std::string_view> found;
    Scanner scanner(text);
    bool isWhole = scanner.take('[');
    if (isWhole && scanner.take(']')) {
        return found;
    }
    while (isWhole) {
        const auto value = scanner.takeValue();
        if (!value) {
            break;
        }
        found.push_back(*value);
        if (scanner.take(']')) {
            return found;
        }
        isWhole = scanner.take(',');
    }
    return absl::InvalidArgumentError("malformed JSON: no array");
}

} // namespace poplardock::JsonText
