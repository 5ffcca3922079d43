#pragma once

#include "CaseRecord.h"
#include "Connection/Io/Listener.h"
#include "Connection/Io/MessageReader.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace poplardock::review {

/// Stand-in for a sound model server, as PROTOCOL.md describes it: streams numbered events, resumes a stream after an event,
/// drops a request when its connection closes, declines requests beyond its slots and those for another server.
class CaseEngine
{
public:
    struct Shape
    {
        int events = 10;
        /// Bytes of the data of one event.
        std::size_t eventBytes = 65;
        /// Zero: all events are sent at once.
        Milliseconds eventPause { 20 };
        std::size_t slots = 8;
    };

    /// Listens on a free port of the loopback address. "record" takes a line for each run unless it is null.
    CaseEngine(EventLoop &loop, std::string name, Shape shape, CaseRecord *record);

    /// The server's entry in the platform's store.
    [[nodiscard]] auto entry(const std::string &service, const std::string &zone, const std::string &state = "ready") const -> std::string;
    [[nodiscard]] auto name() const -> const std::string &;
    /// The text that the result of an item must have.
    [[nodiscard]] auto textOf(const std::string &requestId) const -> std::string;
    [[nodiscard]] auto runningCount() const -> std::size_t;
    /// Runs that have begun, by request.
    [[nodiscard]] auto runs() const -> const std::map<std::string, int> &;
    /// When each run began.
    [[nodiscard]] auto runTimes() const -> const std::vector<BootTime> &;
    /// When the last run began or ended.
    [[nodiscard]] auto lastWorkAt() const -> BootTime;
    /// Makes the server faulty: each "every"th of its streams, the first one included, has bytes that are no text in the middle of
    /// the data of one event. 0: none.
    auto spoilStreams(int every) -> void;
    /// Makes the server faulty: each "every"th of its streams, the first one included, goes on without end, at 50 MB a second,
    /// until the caller closes the connection. 0: none.
    auto sendEndlessStreams(int every) -> void;
    /// The requests whose streams were spoilt or had no end.
    [[nodiscard]] auto spoilt() const -> const std::vector<std::string> &;

private:
    struct Connection
    {
        std::shared_ptr<Channel> channel;
        MessageReader reader { MessageReader::Kind::Request, { 65536, 8U << 20U } };
        std::string requestId;
        bool isRunning = false;
        bool isSpoilt = false;
        bool isEndless = false;
        Timer timer;
    };

    auto accept(std::shared_ptr<Channel> channel) -> void;
    auto take(const std::shared_ptr<Connection> &connection) -> void;
    auto run(const std::shared_ptr<Connection> &connection, const MessageHead &head) -> void;
    auto sendFrom(const std::shared_ptr<Connection> &connection, int number) -> void;
    auto sendWithoutEnd(const std::shared_ptr<Connection> &connection, std::int64_t number) -> void;
    auto end(const std::shared_ptr<Connection> &connection, const char *how) -> void;
    [[nodiscard]] auto dataOf(const std::string &requestId, int number) const -> std::string;
    auto note(const std::string &line) -> void;

    EventLoop &loop_;
    const std::string name_;
    const Shape shape_;
    CaseRecord *record_;
    std::unique_ptr<Listener> listener_;
    std::size_t running_ = 0;
    int spoilEvery_ = 0;
    int endlessEvery_ = 0;
    int streams_ = 0;
    std::vector<std::string> spoilt_;
    std::map<std::string, int> runs_;
    std::vector<BootTime> runTimes_;
    BootTime lastWorkAt_;
};

} // namespace poplardock::review
