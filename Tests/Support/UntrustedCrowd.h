#pragma once

#include "Connection/Io/Channel.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace poplardock {

/// Memory and descriptors of a process, as the kernel reports them.
struct ProcessUse
{
    std::uint64_t residentBytes = 0;
    /// Received by the kernel on the process's ports and not read yet.
    std::uint64_t unreadBytes = 0;
    std::size_t descriptors = 0;

    auto operator==(const ProcessUse &) const -> bool = default;
};

/// All values are 0 for a process that is gone.
auto measureProcess(pid_t pid, const std::vector<std::string> &addresses) -> ProcessUse;

/// Clients that all send one text in turn with others and keep their connections open.
/// Thread safety: the loop's thread only.
class UntrustedCrowd
{
public:
    struct Plan
    {
        std::string address;
        int clients = 0;
        /// The head of the request of one client.
        std::function<std::string(int client)> head;
        /// Sent after the head, "repeats" times.
        std::string body;
        int repeats = 1;
        /// Sent after the body.
        std::string tail;
    };

    /// Connects all clients at once.
    UntrustedCrowd(EventLoop &loop, Plan plan);
    UntrustedCrowd(const UntrustedCrowd &) = delete;
    auto operator=(const UntrustedCrowd &) -> UntrustedCrowd & = delete;
    UntrustedCrowd(UntrustedCrowd &&) = delete;
    auto operator=(UntrustedCrowd &&) -> UntrustedCrowd & = delete;
    ~UntrustedCrowd();

    /// Payload bytes that the sockets of the clients have taken so far.
    [[nodiscard]] auto sentBytes() const -> std::uint64_t;

private:
    struct Client
    {
        std::shared_ptr<Channel> channel;
        std::size_t position = 0;
        int repeat = 0;
        bool isDone = false;
    };

    auto sendMore(std::size_t client) -> void;

    EventLoop &loop_;
    const Plan plan_;
    std::vector<Client> clients_;
    std::uint64_t sentBytes_ = 0;
    /// Ends when the crowd does, for the handlers of connections that are still being made.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace poplardock
