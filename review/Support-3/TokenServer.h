#pragma once

#include "Connection/Io/Listener.h"
#include "Connection/Io/MessageReader.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace poplardock::review {

/// Stand-in for a sound model server: streams numbered events of a fixed size, resumes after an event, refuses what is meant for
/// another server or other weights and what it has no slot for, and drops a request when its connection closes.
/// Thread safety: the loop's thread only.
class TokenServer
{
public:
    /// The answers: the events of each and the bytes of an event's data, and how many come every how often.
    struct Shape
    {
        int events = 35;
        std::size_t eventBytes = 65;
        int eventsPerStep = 1;
        Milliseconds step { 10 };
    };
    /// One request that the server began to run.
    struct Run
    {
        std::string request;
        std::string team;
        BootTime startedAt;
        /// Unset while it runs.
        BootTime endedAt;
        bool isComplete = false;
    };

    static constexpr int SLOTS = 8;
    /// Of the weights; a request that expects another one gets 421.
    static constexpr const char *WEIGHT_VERSION = "1";

    /// Listens on a free port of the loopback address.
    TokenServer(EventLoop &loop, std::string name, Shape shape);

    [[nodiscard]] auto name() const -> const std::string &;
    /// The server's entry in the store.
    [[nodiscard]] auto entry(const std::string &service, const std::string &zone) const -> std::string;
    [[nodiscard]] auto runs() const -> const std::vector<std::shared_ptr<Run>> &;
    [[nodiscard]] auto busySlots() const -> int;
    /// The whole output for a request: the data of all events, separated by line feeds.
    static auto outputOf(const std::string &request, const Shape &shape) -> std::string;

private:
    struct Connection
    {
        std::shared_ptr<Channel> channel;
        MessageReader reader { MessageReader::Kind::Request, { 65536, 4U << 20U } };
        std::shared_ptr<Run> run;
        int next = 0;
        Timer timer;
    };

    auto accept(std::shared_ptr<Channel> channel) -> void;
    auto take(const std::shared_ptr<Connection> &connection) -> void;
    auto step(const std::shared_ptr<Connection> &connection) -> void;
    static auto end(const std::shared_ptr<Connection> &connection, bool isComplete) -> void;
    [[nodiscard]] auto loadHeader() const -> std::string;

    EventLoop &loop_;
    const std::string name_;
    const Shape shape_;
    std::unique_ptr<Listener> listener_;
    std::vector<std::weak_ptr<Connection>> connections_;
    std::vector<std::shared_ptr<Run>> runs_;
};

} // namespace poplardock::review
