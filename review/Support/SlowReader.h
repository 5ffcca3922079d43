#pragma once

#include <string>

namespace poplardock {

/// What came back on one connection.
struct SlowAnswer
{
    int status = 0;
    /// As the head of the answer says; -1 without one.
    long long announcedBytes = -1;
    long long bodyBytes = 0;
    double seconds = 0;
    /// The connection was reset, not closed in order.
    bool isReset = false;

    [[nodiscard]] auto isWhole() const -> bool;
};

/// Sends the bytes to "IP:port" and reads the answer at a steady rate, with the segments of an Ethernet link and a small window,
/// as a client on a slow line does. Blocks; gives up after the time.
auto readSlowly(const std::string &address, const std::string &request, int bytesPerSecond, double secondsAtMost) -> SlowAnswer;

} // namespace poplardock
