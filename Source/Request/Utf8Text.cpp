#include "Request/Utf8Text.h"

#include <Poco/UTF8Encoding.h>

#include <algorithm>

namespace poplardock {

auto isUtf8(std::string_view bytes) -> bool
{
    constexpr unsigned char FIRST_LONG = 0x80;
    constexpr unsigned char FIRST_OF_THREE = 0xe0;
    constexpr unsigned char FIRST_OF_FOUR = 0xf0;
    while (!bytes.empty()) {
        const auto first = static_cast<unsigned char>(bytes.front());
        const std::size_t length = first < FIRST_LONG ? 1 : first < FIRST_OF_THREE ? 2 : first < FIRST_OF_FOUR ? 3 : 4;
        unsigned char sequence[4] {};
        if (length > bytes.size()) {
            return false;
        }
        std::copy_n(bytes.begin(), length, sequence);
        if (length > 1 && !Poco::UTF8Encoding::isLegal(sequence, static_cast<int>(length))) {
            return false;
        }
        bytes.remove_prefix(length);
    }
    return true;
}

} // namespace poplardock
