#include "CaseEngine.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace poplardock::review {

namespace {

constexpr Milliseconds PLAIN_DELAY { 5 };
/// No text in UTF-8 holds these bytes.
constexpr std::string_view NOISE = "\xff\xfe\xff\xfe";
constexpr int SPOILT_EVENT = 3;
constexpr Milliseconds ENDLESS_PAUSE { 5 };
constexpr std::size_t ENDLESS_BYTES = 250000;
constexpr std::size_t ENDLESS_EVENT_BYTES = 4000;

auto chunk(const std::string &bytes) -> std::string
{
    return absl::StrCat(absl::Hex(bytes.size()), "\r\n", bytes, "\r\n");
}

} // namespace

CaseEngine::CaseEngine(EventLoop &loop, std::string name, Shape shape, CaseRecord *record)
    : loop_(loop)
    , name_(std::move(name))
    , shape_(shape)
    , record_(record)
{
    listener_ = *Listener::open(loop, "127.0.0.1:0", [this](std::shared_ptr<Channel> channel) { accept(std::move(channel)); });
}

auto CaseEngine::entry(const std::string &service, const std::string &zone, const std::string &state) const -> std::string
{
    return absl::StrCat(R"({"service":")",
                        service,
                        R"(","address":")",
                        listener_->address(),
                        R"(","zone":")",
                        zone,
                        R"(","version":1,"slots":)",
                        shape_.slots,
                        R"(,"state":")",
                        state,
                        R"(","coldRemainingMs":0,"sequence":1,"born":1700000000000})");
}

auto CaseEngine::name() const -> const std::string &
{
    return name_;
}

auto CaseEngine::dataOf(const std::string &requestId, int number) const -> std::string
{
    std::string data = absl::StrCat(requestId, ":", number, ":");
    data.resize(std::max(data.size(), shape_.eventBytes), 'x');
    return data;
}

auto CaseEngine::textOf(const std::string &requestId) const -> std::string
{
    std::string text;
    for (int number = 1; number <= shape_.events; ++number) {
        absl::StrAppend(&text, number > 1 ? "\n" : "", dataOf(requestId, number));
    }
    return text;
}

auto CaseEngine::runningCount() const -> std::size_t
{
    return running_;
}

auto CaseEngine::runs() const -> const std::map<std::string, int> &
{
    return runs_;
}

auto CaseEngine::runTimes() const -> const std::vector<BootTime> &
{
    return runTimes_;
}

auto CaseEngine::lastWorkAt() const -> BootTime
{
    return lastWorkAt_;
}

auto CaseEngine::spoilStreams(int every) -> void
{
    spoilEvery_ = every;
    streams_ = 0;
}

auto CaseEngine::sendEndlessStreams(int every) -> void
{
    endlessEvery_ = every;
    streams_ = 0;
}

auto CaseEngine::spoilt() const -> const std::vector<std::string> &
{
    return spoilt_;
}

auto CaseEngine::note(const std::string &line) -> void
{
    if (record_ != nullptr) {
        record_->write(absl::StrCat(name_, " ", line));
    }
}

auto CaseEngine::accept(std::shared_ptr<Channel> channel) -> void
{
    auto connection = std::make_shared<Connection>();
    connection->channel = std::move(channel);
    connection->channel->start(
        [this, connection](std::string_view bytes) {
            connection->reader.feed(bytes);
            take(connection);
        },
        [this, connection](ChannelEnd) {
            connection->timer.cancel();
            if (connection->isRunning) {
                end(connection, "drops");
            }
        });
}

auto CaseEngine::take(const std::shared_ptr<Connection> &connection) -> void
{
    if (connection->isRunning || connection->reader.state() != ReadState::Done) {
        return;
    }
    const MessageHead head = connection->reader.head();
    const std::string rest = connection->reader.takeRest();
    connection->reader = MessageReader(MessageReader::Kind::Request, { 65536, 8U << 20U });
    connection->reader.feed(rest);
    connection->requestId = head.headers.valueOf("Request-Id");
    const std::string echo = absl::StrCat("Request-Id: ", connection->requestId, "\r\nContent-Length: 0\r\n\r\n");
    const std::string expected(head.headers.valueOf("Expect-Instance"));
    if (!expected.empty() && expected != name_) {
        connection->channel->send("HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\n" + echo);
    } else if (running_ >= shape_.slots) {
        connection->channel->send("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n" + echo);
    } else {
        run(connection, head);
    }
}

auto CaseEngine::run(const std::shared_ptr<Connection> &connection, const MessageHead &head) -> void
{
    connection->isRunning = true;
    ++running_;
    ++runs_[connection->requestId];
    lastWorkAt_ = BootClock::now();
    runTimes_.push_back(lastWorkAt_);
    const std::string last(head.headers.valueOf("Last-Event-Id"));
    note(absl::StrCat("runs ", connection->requestId, last.empty() ? "" : " after event ", last));
    const std::string common
        = absl::StrCat("Request-Id: ", connection->requestId, "\r\nServer-Stamp: ", name_, ".", connection->requestId, "\r\n");
    if (head.headers.find("Token-Count") == nullptr) {
        connection->timer = loop_.at(BootClock::now() + PLAIN_DELAY, [this, connection, common] {
            const std::string body = "answer to " + connection->requestId;
            connection->channel->send(absl::StrCat("HTTP/1.1 200 OK\r\n", common, "Content-Length: ", body.size(), "\r\n\r\n", body));
            end(connection, "answers");
            take(connection);
        });
        return;
    }
    connection->isSpoilt = spoilEvery_ > 0 && streams_ % spoilEvery_ == 0;
    connection->isEndless = endlessEvery_ > 0 && streams_ % endlessEvery_ == 0;
    ++streams_;
    if (connection->isSpoilt || connection->isEndless) {
        spoilt_.push_back(connection->requestId);
        note((connection->isSpoilt ? "spoils an event of " : "sends without end for ") + connection->requestId);
    }
    int after = 0;
    static_cast<void>(absl::SimpleAtoi(last, &after));
    connection->channel->send(
        absl::StrCat("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n", common, "Transfer-Encoding: chunked\r\n\r\n"));
    if (connection->isEndless) {
        sendWithoutEnd(connection, after + 1);
    } else {
        sendFrom(connection, after + 1);
    }
}

auto CaseEngine::sendWithoutEnd(const std::shared_ptr<Connection> &connection, std::int64_t number) -> void
{
    connection->timer = loop_.at(BootClock::now() + ENDLESS_PAUSE, [this, connection, number] {
        std::int64_t next = number;
        if (connection->channel->queuedBytes() < ENDLESS_BYTES) {
            std::string events;
            for (; events.size() < ENDLESS_BYTES; ++next) {
                absl::StrAppend(&events, "id: ", next, "\ndata: ", std::string(ENDLESS_EVENT_BYTES, 'x'), "\n\n");
            }
            connection->channel->send(chunk(events));
        }
        sendWithoutEnd(connection, next);
    });
}

auto CaseEngine::sendFrom(const std::shared_ptr<Connection> &connection, int number) -> void
{
    connection->timer = loop_.at(BootClock::now() + shape_.eventPause, [this, connection, number] {
        std::string events;
        int next = number;
        const int stop = shape_.eventPause.count() == 0 ? shape_.events + 1 : std::min(number + 1, shape_.events + 1);
        for (; next < stop; ++next) {
            std::string data = dataOf(connection->requestId, next);
            if (connection->isSpoilt && next == SPOILT_EVENT) {
                data.replace(data.size() / 2, NOISE.size(), NOISE);
            }
            absl::StrAppend(&events, "id: ", next, "\ndata: ", data, "\n\n");
        }
        connection->channel->send(events.empty() ? std::string() : chunk(events));
        if (next <= shape_.events) {
            sendFrom(connection, next);
            return;
        }
        connection->channel->send("0\r\n\r\n");
        end(connection, "completes");
        take(connection);
    });
}

auto CaseEngine::end(const std::shared_ptr<Connection> &connection, const char *how) -> void
{
    connection->isRunning = false;
    --running_;
    lastWorkAt_ = BootClock::now();
    note(absl::StrCat(how, " ", connection->requestId));
}

} // namespace poplardock::review
