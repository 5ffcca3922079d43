#include "Support/PeerMesh.h"

#include "Support/FreePort.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include <stdexcept>

namespace poplardock {

PeerMesh::PeerMesh(EventLoop &loop, std::vector<std::string> addresses)
    : addresses_(std::move(addresses))
    , paths_(addresses_.size() * addresses_.size())
{
    for (std::size_t from = 0; from < addresses_.size(); ++from) {
        for (std::size_t to = 0; to < addresses_.size(); ++to) {
            if (from == to) {
                continue;
            }
            Path &each = path(from, to);
            each.address = absl::StrCat("127.0.0.1:", freePort());
            each.connections = std::make_unique<LoopbackProxy>(loop, each.address, addresses_[to]);
            // Forwards from the address at which the receiver reaches the sender, so that responses take the mesh too.
            auto socket = DatagramSocket::open(loop, each.address, [this, from, to](const std::string &, std::string_view text) {
                if (!path(from, to).isBlocked) {
                    path(to, from).datagrams->sendTo(addresses_[to], translateAddresses(from, to, std::string(text)));
                }
            });
            if (!socket.ok()) {
                throw std::runtime_error(std::string(socket.status().message()));
            }
            each.datagrams = *std::move(socket);
        }
    }
}

auto PeerMesh::path(std::size_t from, std::size_t to) -> Path &
{
    return paths_[from * addresses_.size() + to];
}

auto PeerMesh::translateAddresses(std::size_t from, std::size_t to, const std::string &text) -> std::string
{
    std::vector<std::pair<std::string, std::string>> replacements = { { addresses_[from] + " ", path(to, from).address + " " } };
    for (std::size_t other = 0; other < addresses_.size(); ++other) {
        if (other != from && other != to) {
            replacements.emplace_back(path(from, other).address + " ", path(to, other).address + " ");
        }
    }
    return absl::StrReplaceAll(text, replacements);
}

auto PeerMesh::rewriteAddressesFor(std::size_t daemon, const std::string &text) const -> std::string
{
    std::vector<std::pair<std::string, std::string>> replacements;
    for (std::size_t other = 0; other < addresses_.size(); ++other) {
        if (other != daemon) {
            // The closing quote ensures that no address matches as the prefix of another one.
            replacements.emplace_back(absl::StrCat(addresses_[other], "\""),
                                      absl::StrCat(paths_[daemon * addresses_.size() + other].address, "\""));
        }
    }
    return absl::StrReplaceAll(text, replacements);
}

auto PeerMesh::setBlocked(std::size_t from, std::size_t to, bool isBlocked) -> void
{
    path(from, to).isBlocked = isBlocked;
    LoopbackProxy::Faults requests;
    requests.holdsRequests = isBlocked;
    requests.holdsAnswers = path(to, from).isBlocked;
    path(from, to).connections->setFaults(requests);
    LoopbackProxy::Faults answers;
    answers.holdsRequests = path(to, from).isBlocked;
    answers.holdsAnswers = isBlocked;
    path(to, from).connections->setFaults(answers);
}

} // namespace poplardock
