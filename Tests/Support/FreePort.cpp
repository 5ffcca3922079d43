#include "Support/FreePort.h"

#include <Poco/Net/ServerSocket.h>

#include <stdexcept>
#include <unistd.h>

namespace poplardock {

auto freePort() -> int
{
    constexpr int FIRST_PORT = 20000;
    constexpr int PORTS = 10000;
    constexpr int STRIDE = 37;
    static int next = getpid() * STRIDE % PORTS;
    for (int attempt = 0; attempt < PORTS; ++attempt) {
        next = (next + 1) % PORTS;
        try {
            const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", static_cast<Poco::UInt16>(FIRST_PORT + next)));
            return FIRST_PORT + next;
        } catch (const Poco::Exception &) {
            continue;
        }
    }
    throw std::runtime_error("no port is free");
}

} // namespace poplardock
