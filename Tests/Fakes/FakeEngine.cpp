#include "Fakes/FakeEngine.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include <algorithm>

namespace poplardock {

namespace {

constexpr const char *LEAVING_HEADER = "Server-Leaving: 1\r\n";

auto idOf(const MessageHead &head) -> std::string
{
    return std::string(head.headers.valueOf("Request-Id"));
}

auto commonHeaders(const std::string &requestId) -> std::string
{
    return absl::StrCat("Request-Id: ", requestId, "\r\nServer-Stamp: stamp-", requestId, "\r\nServer-Load: 1,0,8\r\n");
}

auto hasPart(const MessageHead &head, const std::string &part) -> bool
{
    const std::string_view parts = head.headers.valueOf("Prompt-Prefix");
    return !part.empty()
           && absl::StrContains(absl::StrCat(",", absl::string_view(parts.data(), parts.size())), absl::StrCat(",", part, ":"));
}

auto dataOfEvent(const std::string &requestId, std::int64_t number) -> std::string
{
    return absl::StrCat(requestId, ":", number);
}

auto eventOf(const std::string &requestId, std::int64_t number) -> std::string
{
    return absl::StrCat("id: ", number, "\ndata: ", dataOfEvent(requestId, number), "\n\n");
}

auto chunk(const std::string &bytes) -> std::string
{
    return absl::StrCat(absl::Hex(bytes.size()), "\r\n", bytes, "\r\n");
}

} // namespace

FakeEngine::FakeEngine(EventLoop &loop, std::string name)
    : loop_(loop)
    , name_(std::move(name))
{
    listener_ = *Listener::open(loop, "127.0.0.1:0", [this](std::shared_ptr<Channel> channel) { accept(std::move(channel)); });
}

auto FakeEngine::entryAt(const std::string &address, const std::string &state) -> std::string
{
    return absl::StrCat(R"({"service":"models","address":")", address, R"(","zone":"east-a","slots":8,"state":")", state, R"("})");
}

auto FakeEngine::streamOf(const std::string &requestId, int events) -> std::string
{
    std::string text;
    for (int number = 0; number < events; ++number) {
        text += eventOf(requestId, number);
    }
    return text;
}

auto FakeEngine::dataOf(const std::string &requestId, int events) -> std::string
{
    std::string text;
    for (int number = 0; number < events; ++number) {
        absl::StrAppend(&text, number > 0 ? "\n" : "", dataOfEvent(requestId, number));
    }
    return text;
}

auto FakeEngine::name() const -> const std::string &
{
    return name_;
}

auto FakeEngine::address() const -> std::string
{
    return listener_->address();
}

auto FakeEngine::behaviour() -> Behaviour &
{
    return behaviour_;
}

auto FakeEngine::runs() const -> std::vector<Run>
{
    std::vector<Run> runs;
    for (const auto &run : runs_) {
        runs.push_back(*run);
    }
    return runs;
}

auto FakeEngine::arrivals() const -> const std::vector<BootTime> &
{
    return arrivals_;
}

auto FakeEngine::runsOf(const std::string &requestId) const -> int
{
    int count = 0;
    for (const auto &run : runs_) {
        count += idOf(run->head) == requestId ? 1 : 0;
    }
    return count;
}

auto FakeEngine::runsOfRequest(const std::string &requestId) const -> std::vector<Run>
{
    std::vector<Run> runs;
    for (const auto &run : runs_) {
        if (idOf(run->head) == requestId) {
            runs.push_back(*run);
        }
    }
    return runs;
}

auto FakeEngine::crash() -> void
{
    closeAll([](Channel &channel) { channel.abort(); });
}

auto FakeEngine::crashInOrder() -> void
{
    closeAll([](Channel &channel) { channel.close(); });
}

auto FakeEngine::closeAll(const std::function<void(Channel &)> &close) -> void
{
    listener_ = nullptr;
    for (const auto &connection : connections_) {
        connection->timer.cancel();
        close(*connection->channel);
    }
    connections_.clear();
    if (onCrash_) {
        onCrash_();
    }
}

auto FakeEngine::setCrashHandler(std::function<void()> handler) -> void
{
    onCrash_ = std::move(handler);
}

auto FakeEngine::hasCrashed() const -> bool
{
    return listener_ == nullptr;
}

auto FakeEngine::accept(std::shared_ptr<Channel> channel) -> void
{
    auto connection = std::make_shared<Connection>();
    connection->channel = std::move(channel);
    connections_.push_back(connection);
    connection->channel->start(
        [this, connection](std::string_view bytes) {
            connection->reader.feed(bytes);
            take(connection);
        },
        [connection](ChannelEnd) {
            connection->timer.cancel();
            if (connection->run != nullptr) {
                connection->run->isCut = true;
            }
        });
}

auto FakeEngine::take(const std::shared_ptr<Connection> &connection) -> void
{
    if (connection->run != nullptr || connection->reader.state() != ReadState::Done) {
        return;
    }
    const MessageHead head = connection->reader.head();
    const std::string body = connection->reader.takeBody();
    const std::string rest = connection->reader.takeRest();
    connection->reader = MessageReader(MessageReader::Kind::Request, { 65536, 4U << 20U });
    connection->reader.feed(rest);
    const std::string expected(head.headers.valueOf("Expect-Instance"));
    const std::string version(head.headers.valueOf("Expect-Version"));
    if ((!expected.empty() && expected != name_) || (!version.empty() && version != behaviour_.weightVersion)) {
        connection->channel->send(absl::StrCat(
            "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: ", name_, "\r\nRequest-Id: ", idOf(head), "\r\nContent-Length: 0\r\n\r\n"));
        return;
    }
    const BootTime now = BootClock::now();
    arrivals_.push_back(now);
    const bool isOverloaded = now < behaviour_.coldUntil && behaviour_.crashingRequests > 0
                              && mostArrivalsInSecond(now - std::chrono::seconds(1)) >= behaviour_.crashingRequests;
    if (isOverloaded) {
        // The crash ends the connection whose data handler is running.
        loop_.post([this] { crash(); });
        return;
    }
    if (behaviour_.repeatsFormerAnswer) {
        connection->channel->send(connection->formerAnswer);
    }
    if (behaviour_.declines) {
        sendWhole(connection,
                  absl::StrCat("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n",
                               stateHeaders(),
                               "Request-Id: ",
                               idOf(head),
                               "\r\nContent-Length: 0\r\n\r\n"));
        return;
    }
    connection->run = std::make_shared<Run>();
    connection->run->head = head;
    connection->run->body = body;
    connection->run->startedAt = BootClock::now();
    runs_.push_back(connection->run);
    if (behaviour_.isSilent) {
        return;
    }
    if (behaviour_.losesAnswers) {
        connection->run = nullptr;
        connection->channel->abort();
        return;
    }
    if (behaviour_.sendsStrayAnswer) {
        connection->channel->send(absl::StrCat("HTTP/1.1 200 OK\r\n",
                                               commonHeaders("stray"),
                                               behaviour_.strayAnswerLeaves ? LEAVING_HEADER : "",
                                               "Content-Length: 5\r\n\r\nstray"));
    }
    // Requests for tokens are streams; the others are plain.
    if (head.headers.find("Token-Count") != nullptr && behaviour_.status == 200) {
        beginStream(connection);
    } else {
        answerPlain(connection);
    }
}

auto FakeEngine::sendWhole(const std::shared_ptr<Connection> &connection, const std::string &answer) -> void
{
    connection->formerAnswer = answer;
    connection->channel->send(answer);
}

auto FakeEngine::answerPlain(const std::shared_ptr<Connection> &connection) -> void
{
    // Daemons take answers of at most 1 MiB, and larger requests.
    constexpr std::size_t ECHOED_BYTES = 1000U << 10U;
    const std::string body = absl::StrCat("answer to ", connection->run->body.substr(0, ECHOED_BYTES));
    const std::string head
        = absl::StrCat("HTTP/1.1 ", behaviour_.status, " Status\r\n", commonHeaders(idOf(connection->run->head)), stateHeaders());
    if (behaviour_.unfinishedBodyBytes > 0) {
        connection->channel->send(absl::StrCat(
            head, "Content-Length: ", behaviour_.unfinishedBodyBytes + 1, "\r\n\r\n", std::string(behaviour_.unfinishedBodyBytes, 'x')));
        return;
    }
    connection->run->isComplete = true;
    connection->run = nullptr;
    if (behaviour_.omitsLength) {
        connection->channel->send(absl::StrCat(head, "\r\n", body));
        connection->channel->close();
        return;
    }
    sendWhole(connection, absl::StrCat(head, "Content-Length: ", body.size(), "\r\n\r\n", body, behaviour_.sendsExtraBytes ? "extra" : ""));
    take(connection);
}

auto FakeEngine::beginStream(const std::shared_ptr<Connection> &connection) -> void
{
    std::int64_t first = 0;
    const std::string_view last = connection->run->head.headers.valueOf("Last-Event-Id");
    if (absl::SimpleAtoi(absl::string_view(last.data(), last.size()), &first)) {
        ++first;
        if (!behaviour_.resumedHead.empty()) {
            sendWhole(connection,
                      absl::StrCat("HTTP/1.1 ",
                                   behaviour_.resumedHead,
                                   "\r\n",
                                   commonHeaders(idOf(connection->run->head)),
                                   "Content-Length: ",
                                   behaviour_.resumedBody.size(),
                                   "\r\n\r\n",
                                   behaviour_.resumedBody));
            finish(connection);
            return;
        }
    }
    connection->channel->send(absl::StrCat("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n",
                                           commonHeaders(idOf(connection->run->head)),
                                           stateHeaders(),
                                           behaviour_.omitsLength ? "\r\n" : "Transfer-Encoding: chunked\r\n\r\n"));
    if (hasPart(connection->run->head, behaviour_.crashesOnPart)) {
        if (behaviour_.crashLooksWhole) {
            connection->channel->send(framed(eventOf(idOf(connection->run->head), first)));
        }
        // The crash ends the connection whose data handler is running.
        loop_.post([this] { behaviour_.crashLooksWhole ? crashInOrder() : crash(); });
        return;
    }
    sendEvent(connection, first);
}

auto FakeEngine::sendEvent(const std::shared_ptr<Connection> &connection, std::int64_t number) -> void
{
    connection->timer = loop_.at(BootClock::now() + behaviour_.eventPause, [this, connection, number] {
        if (!behaviour_.comment.empty()) {
            connection->channel->send(framed(behaviour_.comment));
        }
        const bool isConcerned = absl::StrContains(idOf(connection->run->head), behaviour_.onlyRequests);
        if (isConcerned && !behaviour_.noise.empty() && connection->run->sent >= behaviour_.eventsBeforeNoise) {
            connection->channel->send(framed(absl::StrReplaceAll(behaviour_.noise, { { "DUE_ID", absl::StrCat(number) } })));
            connection->run->isCut = true;
            connection->run = nullptr;
            loop_.post([connection] { connection->channel->close(); });
            return;
        }
        if (number >= behaviour_.events) {
            endStream(connection);
            return;
        }
        if (behaviour_.breakAfterEvents > 0 && connection->run->sent >= behaviour_.breakAfterEvents) {
            // Half an event, and then nothing more.
            connection->channel->send(framed(absl::StrCat("id: ", number, "\ndata: ha")));
            connection->run->isCut = true;
            connection->run = nullptr;
            loop_.post([connection] { connection->channel->abort(); });
            return;
        }
        std::string event = eventOf(idOf(connection->run->head), number);
        event.insert(event.size() - 2, isConcerned ? behaviour_.eventPadding : std::string());
        connection->channel->send(framed(event));
        ++connection->run->sent;
        sendEvent(connection, number + 1);
    });
}

auto FakeEngine::mostArrivalsInSecond(BootTime from) const -> std::ptrdiff_t
{
    std::ptrdiff_t most = 0;
    for (auto first = std::lower_bound(arrivals_.begin(), arrivals_.end(), from); first != arrivals_.end(); ++first) {
        most = std::max(most, std::upper_bound(first, arrivals_.end(), *first + std::chrono::seconds(1)) - first);
    }
    return most;
}

auto FakeEngine::stateHeaders() const -> std::string
{
    const auto coldMs = std::chrono::ceil<Milliseconds>(std::max(BootTime::duration(0), behaviour_.coldUntil - BootClock::now())).count();
    return absl::StrCat(behaviour_.coldUntil == BootTime() ? std::string() : absl::StrCat("Cold-Ms: ", coldMs, "\r\n"),
                        behaviour_.limit.empty() ? std::string() : absl::StrCat("Server-Limit: ", behaviour_.limit, "\r\n"),
                        behaviour_.isLeaving ? LEAVING_HEADER : "");
}

auto FakeEngine::framed(const std::string &event) const -> std::string
{
    return behaviour_.omitsLength ? event : chunk(event);
}

auto FakeEngine::endStream(const std::shared_ptr<Connection> &connection) -> void
{
    if (behaviour_.omitsLength) {
        connection->run->isComplete = true;
        connection->run = nullptr;
        connection->channel->close();
        return;
    }
    connection->channel->send("0\r\n\r\n");
    finish(connection);
}

auto FakeEngine::finish(const std::shared_ptr<Connection> &connection) -> void
{
    connection->run->isComplete = true;
    connection->run = nullptr;
    take(connection);
}

} // namespace poplardock
