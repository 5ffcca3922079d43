#pragma once

#include "Process/JsonClient.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace poplardock {

/// Holds one JsonClient, with its connection pool, per peer address.
/// Thread safety: all methods may be called from any thread.
class PeerClients
{
public:
    /// Returns the client of an address and creates it on first use.
    /// Precondition: the address is the "IP:port" of a member's peers address.
    auto clientFor(const std::string &address) -> std::shared_ptr<JsonClient>;
    /// Drops the clients of all other addresses. Calls that are in progress keep their client alive.
    auto retain(const std::vector<std::string> &addresses) -> void;

private:
    std::mutex mutex_;
    std::map<std::string, std::shared_ptr<JsonClient>> clients_;
};

} // namespace poplardock
