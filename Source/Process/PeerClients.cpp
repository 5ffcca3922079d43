#include "Process/PeerClients.h"

#include <algorithm>

namespace poplardock {

auto PeerClients::clientFor(const std::string &address) -> std::shared_ptr<JsonClient>
{
    const std::lock_guard lock(mutex_);
    auto &client = clients_[address];
    if (!client) {
        client = std::make_shared<JsonClient>(address);
    }
    return client;
}

auto PeerClients::retain(const std::vector<std::string> &addresses) -> void
{
    const std::lock_guard lock(mutex_);
    std::erase_if(clients_, [&addresses](const auto &entry) {
        return std::find(addresses.begin(), addresses.end(), entry.first) == addresses.end();
    });
}

} // namespace poplardock
