#pragma once

#include "Connection/CallerServer.h"
#include "Process/Json.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace poplardock {

/// Stand-in for the users' platform's object store, as its page describes it: kinds of objects with one revision
/// counter, conditional writes, lists, watches that wait, and a history that may be gone. Runs on the test's loop.
class FakeObjectStore
{
public:
    struct Faults
    {
        /// Calls are answered with this status; 0 for none.
        int refuseStatus = 0;
        /// Calls are not answered at all; neither are watches that wait already.
        bool isSilent = false;
        /// The next writes are done and their connection is cut.
        int loseWriteAnswers = 0;
        /// Their answer has this status instead; 0 for the cut.
        int lostAnswerStatus = 0;
        /// Writes whose body contains this text are refused with 400; empty for none.
        std::string refusedText;
        /// Writes with a larger body are refused with 413; 0 for no bound.
        std::size_t valueBytes = 0;
        /// Only calls whose target contains this text are concerned; empty for all.
        std::string onlyTargets;

        auto operator==(const Faults &) const -> bool = default;
    };

    /// Changes the body of an answer.
    using Rewrite = std::function<std::string(const std::string &)>;

    /// Listens on a free port of the loopback address.
    explicit FakeObjectStore(EventLoop &loop);

    [[nodiscard]] auto address() const -> std::string;
    auto setFaults(const Faults &faults) -> void;
    /// Opens one more address with faults of its own, whose answers are rewritten. Returns its number.
    auto openView(Rewrite rewrite) -> std::size_t;
    [[nodiscard]] auto viewAddress(std::size_t view) const -> std::string;
    auto setViewFaults(std::size_t view, const Faults &faults) -> void;
    /// Creates or replaces an object. Shape of the spec: JSON text.
    auto put(const std::string &kind, const std::string &name, const std::string &spec) -> std::uint64_t;
    auto remove(const std::string &kind, const std::string &name) -> void;
    /// Forgets the history: watches from earlier revisions are answered 410.
    auto compact() -> void;
    /// Empty when there is none.
    [[nodiscard]] auto specOf(const std::string &kind, const std::string &name) const -> std::string;
    [[nodiscard]] auto statusOf(const std::string &kind, const std::string &name) const -> std::string;
    [[nodiscard]] auto countOf(const std::string &kind) const -> std::size_t;
    /// Bytes of the objects of a kind in all lists so far.
    [[nodiscard]] auto listedBytes(const std::string &kind) const -> std::size_t;
    /// Calls so far whose method and target begin with the text.
    [[nodiscard]] auto callCount(const std::string &prefix) const -> int;

private:
    struct Object
    {
        std::uint64_t revision = 0;
        std::string spec;
        std::string status = "null";
    };
    struct Change
    {
        std::uint64_t revision = 0;
        std::string kind;
        /// JSON text of the event.
        std::string event;
    };
    /// One address at which the store answers.
    struct View
    {
        std::unique_ptr<CallerServer> server;
        Rewrite rewrite;
        Faults faults;
        std::vector<std::shared_ptr<CallerExchange>> unanswered;
    };
    struct Watch
    {
        std::shared_ptr<CallerExchange> exchange;
        std::size_t view = 0;
        std::string kind;
        std::uint64_t revision = 0;
        Timer timeout;
    };

    auto handle(const std::shared_ptr<CallerExchange> &exchange, std::size_t view) -> void;
    auto answer(const std::shared_ptr<CallerExchange> &exchange, std::size_t view) -> void;
    auto reply(const std::shared_ptr<CallerExchange> &exchange, std::size_t view, HttpResult result) const -> void;
    /// Whether the answer to a write is to be lost; counts it.
    auto takesLostAnswer(std::size_t view, const std::string &target) -> bool;
    auto answerWrite(const std::string &method, const std::vector<std::string> &path, const std::string &body) -> HttpResult;
    auto answerList(const std::shared_ptr<CallerExchange> &exchange,
                    std::size_t view,
                    const std::string &kind,
                    const std::map<std::string, std::string> &query) -> void;
    [[nodiscard]] auto isSilentFor(const std::shared_ptr<CallerExchange> &exchange, std::size_t view) const -> bool;
    auto replyEvents(const Watch &watch) -> bool;
    auto wakeWatches() -> void;
    auto record(const std::string &kind, const std::string &name, bool isRemoved) -> void;
    [[nodiscard]] auto textOf(const std::string &kind, const std::string &name) const -> std::string;

    EventLoop &loop_;
    /// The first one is the store's own address.
    std::vector<View> views_;
    std::map<std::string, std::map<std::string, Object>> objects_;
    std::vector<Change> history_;
    std::vector<Watch> watches_;
    std::map<std::string, int> calls_;
    std::map<std::string, std::size_t> listedBytes_;
    std::uint64_t revision_ = 1;
    std::uint64_t historyBegin_ = 0;
};

} // namespace poplardock
