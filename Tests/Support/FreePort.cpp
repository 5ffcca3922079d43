#include "Support/FreePort.h"

#include <Poco/Net/ServerSocket.h>
#include <absl/strings/str_cat.h>
#include <boost/interprocess/sync/file_lock.hpp>

#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <unistd.h>
#include <vector>

namespace poplardock {

namespace {

constexpr int FIRST_PORT = 20000;
constexpr int BLOCK_PORTS = 100;
constexpr int BLOCKS = 100;

/// Locks a block of ports for this process until it ends, so that no other test process gives out a port of a daemon that
/// is being restarted. Returns the first port.
auto lockBlock() -> int
{
    static std::vector<boost::interprocess::file_lock> locks;
    static std::vector<bool> isTaken(BLOCKS);
    for (int attempt = 0; attempt < BLOCKS; ++attempt) {
        const int block = (getpid() + attempt) % BLOCKS;
        // Closing a file releases this process's lock on it, so a block that it has is not opened again.
        if (isTaken[static_cast<std::size_t>(block)]) {
            continue;
        }
        const auto path = std::filesystem::temp_directory_path() / absl::StrCat("poplardock-ports-", block);
        std::ofstream(path, std::ios::app).close();
        boost::interprocess::file_lock lock(path.c_str());
        if (lock.try_lock()) {
            isTaken[static_cast<std::size_t>(block)] = true;
            locks.push_back(std::move(lock));
            return FIRST_PORT + block * BLOCK_PORTS;
        }
    }
    throw std::runtime_error("no block of ports is free");
}

auto isFree(int port) -> bool
{
    try {
        const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", static_cast<Poco::UInt16>(port)));
        return true;
    } catch (const Poco::Exception &) {
        return false;
    }
}

} // namespace

auto freePort() -> int
{
    static int next = 0;
    static int end = 0;
    for (;;) {
        if (next == end) {
            next = lockBlock();
            end = next + BLOCK_PORTS;
        }
        const int port = next++;
        if (isFree(port)) {
            return port;
        }
    }
}

} // namespace poplardock
