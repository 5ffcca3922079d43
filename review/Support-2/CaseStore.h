#pragma once

#include "Connection/CallerServer.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace poplardock::review {

/// Stand-in for the platform's metadata store, as PROTOCOL.md describes it: kinds of objects under one revision counter,
/// conditional writes, lists in pages, and watches. It loses nothing and answers at once.
class CaseStore
{
public:
    explicit CaseStore(EventLoop &loop);

    [[nodiscard]] auto address() const -> std::string;
    /// Creates or replaces an object, as the operator and the servers do.
    auto put(const std::string &kind, const std::string &name, const std::string &spec) -> void;
    /// While it is down, the store resets all calls and does nothing.
    auto setDown(bool isDown) -> void;
    /// Empty when there is none.
    [[nodiscard]] auto specOf(const std::string &kind, const std::string &name) const -> std::string;

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
        std::string event;
    };
    struct Watch
    {
        std::shared_ptr<CallerExchange> exchange;
        std::string kind;
        std::uint64_t revision = 0;
        Timer timeout;
    };
    using Query = std::map<std::string, std::string>;

    auto handle(const std::shared_ptr<CallerExchange> &exchange) -> void;
    auto write(const std::string &method, const std::vector<std::string> &words, const std::string &body, const Query &query) -> HttpResult;
    [[nodiscard]] auto list(const std::string &kind, const std::string &after) const -> HttpResult;
    auto watch(const std::shared_ptr<CallerExchange> &exchange, const std::string &kind, const Query &query) -> void;
    auto replyEvents(const Watch &watch) const -> bool;
    auto record(const std::string &kind, const std::string &name, bool isRemoved) -> void;
    [[nodiscard]] auto textOf(const std::string &kind, const std::string &name) const -> std::string;
    [[nodiscard]] auto exists(const std::string &kind, const std::string &name) const -> bool;

    EventLoop &loop_;
    std::unique_ptr<CallerServer> server_;
    std::map<std::string, std::map<std::string, Object>> objects_;
    std::vector<Change> history_;
    std::vector<Watch> watches_;
    std::uint64_t revision_ = 1;
    bool isDown_ = false;
};

} // namespace poplardock::review
