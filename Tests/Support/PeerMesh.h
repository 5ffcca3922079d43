#pragma once

#include "Connection/Io/DatagramSocket.h"
#include "Support/LoopbackProxy.h"

#include <memory>
#include <string>
#include <vector>

namespace poplardock {

/// Stands between the daemons of a fleet: each reaches each other one at an address of its own for that pair, over TCP
/// and UDP, so that a test can cut any pair in either direction.
/// Thread safety: the loop's thread only.
class PeerMesh
{
public:
    /// Takes the daemons' own addresses for each other, "IP:port".
    PeerMesh(EventLoop &loop, std::vector<std::string> addresses);

    /// The text with the other daemons' own addresses replaced by those at which this daemon reaches them.
    [[nodiscard]] auto rewriteAddressesFor(std::size_t daemon, const std::string &text) const -> std::string;
    /// Takes the path from one daemon to another away, or gives it back. Datagrams are lost, bytes are held.
    auto setBlocked(std::size_t from, std::size_t to, bool isCut) -> void;

private:
    /// What "from" uses to reach "to".
    struct Path
    {
        std::string address;
        std::unique_ptr<DatagramSocket> datagrams;
        std::unique_ptr<LoopbackProxy> connections;
        bool isBlocked = false;
    };

    /// The addresses in a datagram, which are those that the sender uses, as those that the receiver has to use.
    [[nodiscard]] auto translateAddresses(std::size_t from, std::size_t to, const std::string &text) -> std::string;
    [[nodiscard]] auto path(std::size_t from, std::size_t to) -> Path &;

    const std::vector<std::string> addresses_;
    std::vector<Path> paths_;
};

} // namespace poplardock
