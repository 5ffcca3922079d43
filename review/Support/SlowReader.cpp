#include "SlowReader.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace poplardock {

namespace {

constexpr int SEGMENT_BYTES = 1448;
constexpr int WINDOW_BYTES = 8192;
constexpr int PIECES_PER_SECOND = 100;

auto takeHead(const std::string &received, SlowAnswer &answer) -> std::size_t
{
    const std::size_t end = received.find("\r\n\r\n");
    if (end == std::string::npos) {
        return std::string::npos;
    }
    for (const absl::string_view line : absl::StrSplit(received.substr(0, end), "\r\n")) {
        if (absl::StartsWith(line, "HTTP/1.1 ")) {
            static_cast<void>(absl::SimpleAtoi(line.substr(9, 3), &answer.status));
        } else if (absl::StartsWithIgnoreCase(line, "Content-Length: ")) {
            static_cast<void>(absl::SimpleAtoi(line.substr(16), &answer.announcedBytes));
        }
    }
    return end + 4;
}

} // namespace

auto SlowAnswer::isWhole() const -> bool
{
    return status != 0 && announcedBytes >= 0 && bodyBytes == announcedBytes;
}

auto readSlowly(const std::string &address, const std::string &request, int bytesPerSecond, double secondsAtMost) -> SlowAnswer
{
    using Clock = std::chrono::steady_clock;
    const auto startedAt = Clock::now();
    const auto elapsed = [startedAt] {
        return std::chrono::duration<double>(Clock::now() - startedAt).count();
    };
    SlowAnswer answer;
    const std::pair<std::string, std::string> parts = absl::StrSplit(address, ':');
    int port = 0;
    static_cast<void>(absl::SimpleAtoi(parts.second, &port));
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, parts.first.c_str(), &target.sin_addr);
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    const auto set = [descriptor](int level, int option, int value) {
        setsockopt(descriptor, level, option, &value, sizeof(value));
    };
    set(SOL_SOCKET, SO_RCVBUF, WINDOW_BYTES);
    set(IPPROTO_TCP, TCP_MAXSEG, SEGMENT_BYTES);
    timeval patience { 1, 0 };
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0
        || send(descriptor, request.data(), request.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(request.size())) {
        close(descriptor);
        return answer;
    }
    std::string received;
    std::string piece(static_cast<std::size_t>(bytesPerSecond / PIECES_PER_SECOND), '\0');
    std::size_t headBytes = std::string::npos;
    auto nextAt = Clock::now();
    while (elapsed() < secondsAtMost && !answer.isWhole()) {
        const ssize_t count = recv(descriptor, piece.data(), piece.size(), 0);
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            continue;
        }
        if (count <= 0) {
            answer.isReset = count < 0;
            break;
        }
        received.append(piece, 0, static_cast<std::size_t>(count));
        headBytes = headBytes == std::string::npos ? takeHead(received, answer) : headBytes;
        answer.bodyBytes = headBytes == std::string::npos ? 0 : static_cast<long long>(received.size() - headBytes);
        nextAt
            = std::max(nextAt, Clock::now() - std::chrono::milliseconds(50)) + std::chrono::microseconds(1000000 * count / bytesPerSecond);
        std::this_thread::sleep_until(nextAt);
    }
    answer.seconds = elapsed();
    close(descriptor);
    return answer;
}

} // namespace poplardock
