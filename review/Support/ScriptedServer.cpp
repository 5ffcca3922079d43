#include "ScriptedServer.h"

#include <absl/strings/str_cat.h>

namespace poplardock {

ScriptedServer::ScriptedServer(EventLoop &loop, std::string name, Handler onRequest)
    : name_(std::move(name))
    , onRequest_(std::move(onRequest))
{
    listener_ = *Listener::open(loop, "127.0.0.1:0", [this](std::shared_ptr<Channel> channel) { accept(std::move(channel)); });
}

auto ScriptedServer::name() const -> const std::string &
{
    return name_;
}

auto ScriptedServer::address() const -> std::string
{
    return listener_->address();
}

auto ScriptedServer::accept(std::shared_ptr<Channel> channel) -> void
{
    auto connection = std::make_shared<Connection>();
    connection->channel = std::move(channel);
    connections_.push_back(connection);
    connection->channel->start(
        [this, connection](std::string_view bytes) {
            connection->reader.feed(bytes);
            if (connection->reader.state() != ReadState::Done) {
                return;
            }
            const MessageHead head = connection->reader.head();
            connection->reader = MessageReader(MessageReader::Kind::Request, { 65536, 1U << 20U });
            if (!connection->lateAnswer.empty()) {
                connection->channel->send(std::exchange(connection->lateAnswer, {}));
            }
            onRequest_(connection, head);
        },
        [](ChannelEnd) {});
}

auto answerHead(int status, const std::string &requestId) -> std::string
{
    return absl::StrCat(
        "HTTP/1.1 ", status, " Status\r\nRequest-Id: ", requestId, "\r\nServer-Stamp: stamp-", requestId, "\r\nServer-Load: 1,0,8\r\n");
}

auto eventsOf(const std::string &requestId, int count) -> std::string
{
    std::string events;
    for (int number = 0; number < count; ++number) {
        absl::StrAppend(&events, "id: ", number, "\ndata: ", requestId, ":", number, "\n\n");
    }
    return events;
}

auto textOf(const std::string &requestId, int count) -> std::string
{
    std::string text;
    for (int number = 0; number < count; ++number) {
        absl::StrAppend(&text, number > 0 ? "\n" : "", requestId, ":", number);
    }
    return text;
}

auto streamAnswer(const std::string &requestId, int count) -> std::string
{
    const std::string events = eventsOf(requestId, count);
    return absl::StrCat(answerHead(200, requestId),
                        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                        absl::Hex(events.size()),
                        "\r\n",
                        events,
                        "\r\n0\r\n\r\n");
}

} // namespace poplardock
