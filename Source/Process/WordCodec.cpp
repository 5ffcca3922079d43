#include "Process/WordCodec.h"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>

namespace poplardock {

namespace {

constexpr char ESCAPE = '%';
constexpr std::size_t ESCAPE_DIGITS = 2;

auto isPlain(char each) -> bool
{
    constexpr absl::string_view SPECIAL = "%/?#&+";
    return absl::ascii_isgraph(static_cast<unsigned char>(each)) && SPECIAL.find(each) == absl::string_view::npos;
}

} // namespace

auto encodeWord(absl::string_view text) -> std::string
{
    std::string word;
    word.reserve(text.size());
    for (const char each : text) {
        if (isPlain(each)) {
            word.push_back(each);
        } else {
            absl::StrAppend(&word, std::string(1, ESCAPE), absl::BytesToHexString({ &each, 1 }));
        }
    }
    return word;
}

auto decodeWord(absl::string_view word) -> std::optional<std::string>
{
    std::string text;
    text.reserve(word.size());
    for (std::size_t position = 0; position < word.size(); ++position) {
        const char each = word[position];
        if (each == ESCAPE) {
            const absl::string_view digits = word.substr(position + 1, ESCAPE_DIGITS);
            if (digits.size() != ESCAPE_DIGITS || !absl::ascii_isxdigit(static_cast<unsigned char>(digits[0]))
                || !absl::ascii_isxdigit(static_cast<unsigned char>(digits[1]))) {
                return std::nullopt;
            }
            text += absl::HexStringToBytes(digits);
            position += ESCAPE_DIGITS;
        } else if (absl::ascii_isgraph(static_cast<unsigned char>(each))) {
            text.push_back(each);
        } else {
            return std::nullopt;
        }
    }
    if (text.size() > MAXIMUM_WORD_BYTES) {
        return std::nullopt;
    }
    return text;
}

} // namespace poplardock
