#pragma once

#include "Connection/CallerServer.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace poplardock::review {

/// Stand-in for the platform's metadata store: objects by kind and name with one revision counter, conditional writes, watches,
/// pages of at most 500 objects or 1 MB, and the answer time and the size limit that the pages name.
/// Thread safety: the loop's thread only.
class PagedStore
{
public:
    /// Listens on a free port of the loopback address.
    explicit PagedStore(EventLoop &loop);

    [[nodiscard]] auto address() const -> std::string;
    /// Creates or replaces an object. Shape of the spec: JSON text.
    auto put(const std::string &kind, const std::string &name, const std::string &spec) -> std::uint64_t;
    auto erase(const std::string &kind, const std::string &name) -> void;
    /// Called before each answer to a list of the kind "servers"; empty for none.
    auto setListHandler(std::function<void()> onList) -> void;
    /// Empty when there is no such object.
    [[nodiscard]] auto specOf(const std::string &kind, const std::string &name) const -> std::string;
    [[nodiscard]] auto countOf(const std::string &kind) const -> std::size_t;
    /// Writes for which the function returns true are done and not answered; their connections return nothing further.
    auto setLostAnswers(std::function<bool(const std::string &method, const std::string &kind)> isLost) -> void;
    /// Writes so far.
    [[nodiscard]] auto writeCount() const -> int;

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
    struct Watch
    {
        std::shared_ptr<CallerExchange> exchange;
        std::string kind;
        std::uint64_t revision = 0;
        Timer timeout;
    };
    using Query = std::map<std::string, std::string>;

    auto handle(const std::shared_ptr<CallerExchange> &exchange) -> void;
    [[nodiscard]] auto write(const std::string &method, const std::vector<std::string> &path, const std::string &body) -> HttpResult;
    [[nodiscard]] auto remove(const std::vector<std::string> &path) -> HttpResult;
    [[nodiscard]] auto page(const std::string &kind, const std::string &after) const -> std::string;
    auto watch(const std::shared_ptr<CallerExchange> &exchange, const std::string &kind, const Query &query) -> void;
    [[nodiscard]] auto answerWatch(const Watch &watch) const -> bool;
    auto record(const std::string &kind, const std::string &name, bool isRemoved) -> void;
    [[nodiscard]] auto textOf(const std::string &kind, const std::string &name) const -> std::string;
    [[nodiscard]] auto find(const std::string &kind, const std::string &name) const -> const Object *;

    EventLoop &loop_;
    std::unique_ptr<CallerServer> server_;
    std::map<std::string, std::map<std::string, Object>> objects_;
    /// Changes of the kinds that are watched; the results of jobs would only fill the memory.
    std::vector<Change> history_;
    std::vector<Watch> watches_;
    std::uint64_t revision_ = 1;
    std::function<bool(const std::string &method, const std::string &kind)> isLost_;
    std::function<void()> onList_;
    int writes_ = 0;
    /// Kept, so that their connections stay open and silent.
    std::vector<std::shared_ptr<CallerExchange>> unanswered_;
};

} // namespace poplardock::review
