#pragma once

#include "Connection/Io/Listener.h"
#include "Connection/Io/MessageReader.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace poplardock {

/// Stand-in for one server of the users' platform: answers streams of numbered events and plain requests, resumes a
/// stream after an event, refuses what is meant for another server, and misbehaves on order. Runs on the test's loop.
class FakeEngine
{
public:
    struct Behaviour
    {
        int events = 5;
        Milliseconds eventPause { 5 };
        /// All answers say that the engine leaves.
        bool isLeaving = false;
        /// Requests are declined as not run.
        bool declines = false;
        /// Streams are reset after this many events of a run; 0 for never.
        int breakAfterEvents = 0;
        /// Whole requests are read and the connection is reset without an answer.
        bool losesAnswers = false;
        /// An answer to another request is sent before the right one.
        bool sendsStrayAnswer = false;
        /// That answer says that the engine leaves.
        bool strayAnswerLeaves = false;
        /// A copy of the former answer on the same connection is sent before the right one, if that was not a stream.
        bool repeatsFormerAnswer = false;
        /// Bytes that belong to no request follow each answer.
        bool sendsExtraBytes = false;
        /// Bytes in the body of each stream after "eventsBeforeNoise" events of the run; the connection then ends in order. "DUE_ID"
        /// stands for the id of the event that is due. Empty for none.
        std::string noise;
        int eventsBeforeNoise = 0;
        /// Status line and headers of the answer to a stream that is resumed, and its body; empty for a sound one.
        std::string resumedHead;
        std::string resumedBody;
        /// Bytes before each event and before the end of a sound stream.
        std::string comment;
        /// Follows the data of each event of a sound stream.
        std::string eventPadding;
        /// The padding and the noise are only for requests whose id contains this text; empty for all.
        std::string onlyRequests;
        /// Answers have neither a length nor chunks and end with the connection.
        bool omitsLength = false;
        /// Bytes of a plain answer's body after which nothing more comes, although its length is larger; 0 for a sound one.
        std::size_t unfinishedBodyBytes = 0;
        /// Requests are read and never answered.
        bool isSilent = false;
        /// Requests that name another version of the weights are declined.
        std::string weightVersion = "1";
        /// Status of all answers.
        int status = 200;
        /// Requests a second that the engine says it takes; empty when it names no limit.
        std::string limit;
        /// Id of a prompt part that crashes the engine right after the head of the answer; empty for none.
        std::string crashesOnPart;
        /// Such a crash comes after the first event and closes the connections in order instead of resetting them.
        bool crashLooksWhole = false;
        /// Until when the engine is cold, which all answers state; BootTime() for an engine that states nothing.
        BootTime coldUntil;
        /// Requests within a second that crash a cold engine; 0 for none.
        std::ptrdiff_t crashingRequests = 0;

        auto operator==(const Behaviour &) const -> bool = default;
    };
    /// One request that the engine has begun to run.
    struct Run
    {
        MessageHead head;
        std::string body;
        BootTime startedAt;
        /// Events sent so far.
        int sent = 0;
        bool isComplete = false;
        /// The connection was closed before the answer was complete.
        bool isCut = false;
    };

    /// Listens on a free port of the loopback address.
    FakeEngine(EventLoop &loop, std::string name);

    /// The entry in the store of an engine of group "models" at an address.
    static auto entryAt(const std::string &address, const std::string &state) -> std::string;
    /// The first events of the answer to a request, as they are sent.
    static auto streamOf(const std::string &requestId, int events) -> std::string;
    /// The data of these events, separated by line feeds.
    static auto dataOf(const std::string &requestId, int events) -> std::string;

    [[nodiscard]] auto name() const -> const std::string &;
    [[nodiscard]] auto address() const -> std::string;
    [[nodiscard]] auto behaviour() -> Behaviour &;
    [[nodiscard]] auto runs() const -> std::vector<Run>;
    /// When requests arrived, the declined ones included and those that were meant for another server left out.
    [[nodiscard]] auto arrivals() const -> const std::vector<BootTime> &;
    /// The most requests that arrived within any second from that time on.
    [[nodiscard]] auto mostArrivalsInSecond(BootTime from) const -> std::ptrdiff_t;
    /// Runs of one request.
    [[nodiscard]] auto runsOf(const std::string &requestId) const -> int;
    [[nodiscard]] auto runsOfRequest(const std::string &requestId) const -> std::vector<Run>;
    /// Stops listening and resets all connections, as a crash does.
    auto crash() -> void;
    /// As crash(), but what was sent still arrives, and connections are closed in order.
    auto crashInOrder() -> void;
    [[nodiscard]] auto hasCrashed() const -> bool;
    /// The handler is called at the end of each crash.
    auto setCrashHandler(std::function<void()> handler) -> void;

private:
    struct Connection
    {
        std::shared_ptr<Channel> channel;
        MessageReader reader { MessageReader::Kind::Request, { 65536, 4U << 20U } };
        std::shared_ptr<Run> run;
        /// The last answer that was no stream.
        std::string formerAnswer;
        Timer timer;
    };

    auto accept(std::shared_ptr<Channel> channel) -> void;
    auto take(const std::shared_ptr<Connection> &connection) -> void;
    static auto sendWhole(const std::shared_ptr<Connection> &connection, const std::string &answer) -> void;
    auto answerPlain(const std::shared_ptr<Connection> &connection) -> void;
    auto beginStream(const std::shared_ptr<Connection> &connection) -> void;
    auto sendEvent(const std::shared_ptr<Connection> &connection, std::int64_t number) -> void;
    /// An event as part of the body of a stream.
    [[nodiscard]] auto framed(const std::string &event) const -> std::string;
    auto endStream(const std::shared_ptr<Connection> &connection) -> void;
    auto finish(const std::shared_ptr<Connection> &connection) -> void;
    /// Headers that depend on the engine's state.
    [[nodiscard]] auto stateHeaders() const -> std::string;
    auto closeAll(const std::function<void(Channel &)> &close) -> void;

    EventLoop &loop_;
    const std::string name_;
    std::unique_ptr<Listener> listener_;
    std::function<void()> onCrash_;
    Behaviour behaviour_;
    std::vector<std::shared_ptr<Connection>> connections_;
    std::vector<std::shared_ptr<Run>> runs_;
    std::vector<BootTime> arrivals_;
};

} // namespace poplardock
