#pragma once

#include "Process/JsonClient.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace poplardock {

/// Keeps one client for each peer address. Thread-safe.
class PeerClients
{
public:
    /// Precondition: "IP:port" of a member's peers address.
    auto clientFor(const std::string &address) -> std::shared_ptr<JsonClient>;
    /// Drops the clients of addresses that are not given.
    auto retain(const std::vector<std::string> &addresses) -> void;

private:
    std::mutex mutex_;
    std::map<std::string, std::shared_ptr<JsonClient>> clients_;
};

} // namespace poplardock
