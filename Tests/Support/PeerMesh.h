#pragma once

#include "Connection/Io/DatagramSocket.h"
#include "Support/LoopbackProxy.h"

#include <memory>
#include <string>
#include <vector>

namespace poplardock {

/// Proxies TCP and UDP between the daemons of a fleet. Each ordered pair of daemons has its own address, so that a test
/// can block the path between any two daemons in either direction.
/// Thread safety: the loop's thread only.
class PeerMesh
{
public:
    /// "addresses": the daemons' own "IP:port" for datagrams and calls of the other daemons. Throws std::runtime_error if
    /// a socket cannot be opened.
    PeerMesh(EventLoop &loop, std::vector<std::string> addresses);

    /// Replaces the other daemons' own addresses in a text by those at which the daemon with that index reaches them.
    [[nodiscard]] auto rewriteAddressesFor(std::size_t daemon, const std::string &text) const -> std::string;
    /// Blocks or restores the path from one daemon to another. While it is blocked, datagrams are lost and bytes of
    /// connections are held back.
    auto setBlocked(std::size_t from, std::size_t to, bool isBlocked) -> void;

private:
    /// The endpoints that "from" uses to reach "to".
    struct Path
    {
        std::string address;
        std::unique_ptr<DatagramSocket> datagrams;
        std::unique_ptr<LoopbackProxy> connections;
        bool isBlocked = false;
    };

    /// Replaces the addresses in a datagram, at which the sender reaches daemons, by those at which the receiver does.
    [[nodiscard]] auto translateAddresses(std::size_t from, std::size_t to, const std::string &text) -> std::string;
    [[nodiscard]] auto path(std::size_t from, std::size_t to) -> Path &;

    const std::vector<std::string> addresses_;
    std::vector<Path> paths_;
};

} // namespace poplardock
