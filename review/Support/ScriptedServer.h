#pragma once

#include "Connection/Io/Listener.h"
#include "Connection/Io/MessageReader.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace poplardock {

/// A server of the deployment whose answers a case writes itself.
/// Thread safety: the loop's thread only.
class ScriptedServer
{
public:
    struct Connection
    {
        std::shared_ptr<Channel> channel;
        MessageReader reader { MessageReader::Kind::Request, { 65536, 1U << 20U } };
        /// Sent before the next answer: an extra response that arrives late.
        std::string lateAnswer;
    };
    using Handler = std::function<void(const std::shared_ptr<Connection> &connection, const MessageHead &head)>;

    ScriptedServer(EventLoop &loop, std::string name, Handler onRequest);

    [[nodiscard]] auto name() const -> const std::string &;
    [[nodiscard]] auto address() const -> std::string;

private:
    auto accept(std::shared_ptr<Channel> channel) -> void;

    const std::string name_;
    const Handler onRequest_;
    std::unique_ptr<Listener> listener_;
    std::vector<std::shared_ptr<Connection>> connections_;
};

/// The head of an answer to a request, without its framing.
auto answerHead(int status, const std::string &requestId) -> std::string;
/// The events of a stream, numbered from 0, as they are sent.
auto eventsOf(const std::string &requestId, int count) -> std::string;
/// Their data, separated by line feeds.
auto textOf(const std::string &requestId, int count) -> std::string;
/// A whole answer of events.
auto streamAnswer(const std::string &requestId, int count) -> std::string;

} // namespace poplardock
