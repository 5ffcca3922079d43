#include "TokenServer.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace poplardock::review {

namespace {

auto dataOf(const std::string &request, int number, std::size_t bytes) -> std::string
{
    std::string data = absl::StrCat(request, ":", number, ":");
    data.resize(std::max(bytes, data.size()), 'x');
    return data;
}

auto chunk(const std::string &bytes) -> std::string
{
    return absl::StrCat(absl::Hex(bytes.size()), "\r\n", bytes, "\r\n");
}

} // namespace

TokenServer::TokenServer(EventLoop &loop, std::string name, Shape shape)
    : loop_(loop)
    , name_(std::move(name))
    , shape_(shape)
{
    listener_ = *Listener::open(loop, "127.0.0.1:0", [this](std::shared_ptr<Channel> channel) { accept(std::move(channel)); });
}

auto TokenServer::name() const -> const std::string &
{
    return name_;
}

auto TokenServer::entry(const std::string &service, const std::string &zone) const -> std::string
{
    return absl::StrCat(R"({"service":")",
                        service,
                        R"(","address":")",
                        listener_->address(),
                        R"(","zone":")",
                        zone,
                        R"(","version":1,"slots":)",
                        SLOTS,
                        R"(,"state":"ready","coldRemainingMs":0,"sequence":1,"born":1})");
}

auto TokenServer::runs() const -> const std::vector<std::shared_ptr<Run>> &
{
    return runs_;
}

auto TokenServer::busySlots() const -> int
{
    return static_cast<int>(std::count_if(runs_.begin(), runs_.end(), [](const auto &run) { return run->endedAt == BootTime(); }));
}

auto TokenServer::outputOf(const std::string &request, const Shape &shape) -> std::string
{
    std::string text;
    for (int number = 0; number < shape.events; ++number) {
        absl::StrAppend(&text, number > 0 ? "\n" : "", dataOf(request, number, shape.eventBytes));
    }
    return text;
}

auto TokenServer::accept(std::shared_ptr<Channel> channel) -> void
{
    auto connection = std::make_shared<Connection>();
    connection->channel = std::move(channel);
    connection->channel->start(
        [this, connection](std::string_view bytes) {
            connection->reader.feed(bytes);
            take(connection);
        },
        [connection](ChannelEnd) { end(connection, false); });
}

auto TokenServer::end(const std::shared_ptr<Connection> &connection, bool isComplete) -> void
{
    connection->timer.cancel();
    if (const auto run = std::exchange(connection->run, nullptr)) {
        run->endedAt = BootClock::now();
        run->isComplete = isComplete;
    }
}

auto TokenServer::loadHeader() const -> std::string
{
    return absl::StrCat("Server-Load: ", busySlots(), ",0,", SLOTS, "\r\n");
}

auto TokenServer::take(const std::shared_ptr<Connection> &connection) -> void
{
    if (connection->run != nullptr || connection->reader.state() != ReadState::Done) {
        return;
    }
    const MessageHead head = connection->reader.head();
    const std::string rest = connection->reader.takeRest();
    connection->reader = MessageReader(MessageReader::Kind::Request, { 65536, 4U << 20U });
    connection->reader.feed(rest);
    const std::string request(head.headers.valueOf("Request-Id"));
    const std::string expected(head.headers.valueOf("Expect-Instance"));
    const std::string identity = absl::StrCat("Request-Id: ", request, "\r\n", loadHeader());
    if (!expected.empty() && expected != name_) {
        connection->channel->send(
            absl::StrCat("HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\n", identity, "Content-Length: 0\r\n\r\n"));
        return;
    }
    const std::string weights(head.headers.valueOf("Expect-Version"));
    if (!weights.empty() && weights != WEIGHT_VERSION) {
        connection->channel->send(absl::StrCat("HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nWeight-Versions: ",
                                               WEIGHT_VERSION,
                                               "\r\n",
                                               identity,
                                               "Content-Length: 0\r\n\r\n"));
        return;
    }
    if (busySlots() >= SLOTS) {
        connection->channel->send(
            absl::StrCat("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n", identity, "Content-Length: 0\r\n\r\n"));
        return;
    }
    connection->run = std::make_shared<Run>();
    connection->run->request = request;
    connection->run->team = std::string(head.headers.valueOf("Tenant"));
    connection->run->startedAt = BootClock::now();
    runs_.push_back(connection->run);
    const std::string_view last = head.headers.valueOf("Last-Event-Id");
    int lastNumber = 0;
    connection->next = absl::SimpleAtoi(absl::string_view(last.data(), last.size()), &lastNumber) ? lastNumber + 1 : 0;
    connection->channel->send(absl::StrCat("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nServer-Stamp: stamp-",
                                           request,
                                           "\r\nWeight-Versions: ",
                                           WEIGHT_VERSION,
                                           "\r\n",
                                           identity,
                                           "Transfer-Encoding: chunked\r\n\r\n"));
    step(connection);
}

auto TokenServer::step(const std::shared_ptr<Connection> &connection) -> void
{
    connection->timer = loop_.at(BootClock::now() + shape_.step, [this, connection] {
        if (connection->run == nullptr) {
            return;
        }
        std::string events;
        for (int count = 0; count < shape_.eventsPerStep && connection->next < shape_.events; ++count, ++connection->next) {
            absl::StrAppend(&events,
                            "id: ",
                            connection->next,
                            "\ndata: ",
                            dataOf(connection->run->request, connection->next, shape_.eventBytes),
                            "\n\n");
        }
        if (!events.empty()) {
            connection->channel->send(chunk(events));
        }
        if (connection->next < shape_.events) {
            step(connection);
            return;
        }
        connection->channel->send("0\r\n\r\n");
        end(connection, true);
        take(connection);
    });
}

} // namespace poplardock::review
