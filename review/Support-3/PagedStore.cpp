#include "PagedStore.h"

#include "Process/JsonText.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

namespace poplardock::review {

namespace {

constexpr const char *ROOT = "/-/objects/";
constexpr Milliseconds ANSWER_TIME { 4 };
constexpr std::size_t VALUE_BYTES = 1048576;
constexpr std::size_t PAGE_OBJECTS = 500;
constexpr std::size_t PAGE_BYTES = 1000000;
constexpr std::uint32_t MAXIMUM_HEAD_BYTES = 16384;
constexpr std::uint64_t MAXIMUM_BODY_BYTES = 4U << 20U;

auto queryOf(const std::string &target) -> std::map<std::string, std::string>
{
    std::map<std::string, std::string> query;
    const std::size_t mark = target.find('?');
    if (mark == std::string::npos) {
        return query;
    }
    for (const auto &pair : absl::StrSplit(target.substr(mark + 1), '&')) {
        const std::pair<std::string, std::string> parts = absl::StrSplit(pair, absl::MaxSplits('=', 1));
        query.insert(parts);
    }
    return query;
}

auto textIn(const std::map<std::string, std::string> &query, const std::string &key) -> std::string
{
    const auto found = query.find(key);
    return found == query.end() ? std::string() : found->second;
}

auto numberIn(const std::map<std::string, std::string> &query, const std::string &key) -> std::uint64_t
{
    std::uint64_t number = 0;
    return absl::SimpleAtoi(textIn(query, key), &number) ? number : 0;
}

using Members = std::map<std::string, std::string_view, std::less<>>;

auto memberOf(const Members &members, const char *key) -> std::string
{
    const auto found = members.find(key);
    return found == members.end() ? std::string() : std::string(found->second);
}

auto unquoted(const std::string &text) -> std::string
{
    return text.size() >= 2 ? text.substr(1, text.size() - 2) : std::string();
}

} // namespace

PagedStore::PagedStore(EventLoop &loop)
    : loop_(loop)
{
    CallerServer::Options options;
    options.limits = [] {
        return CallerLimits { MAXIMUM_HEAD_BYTES, MAXIMUM_BODY_BYTES };
    };
    server_ = *CallerServer::open(loop_, "127.0.0.1:0", std::move(options), [this](const auto &exchange) {
        auto timer = std::make_shared<Timer>();
        *timer = loop_.at(BootClock::now() + ANSWER_TIME, [this, exchange, timer] { handle(exchange); });
    });
}

auto PagedStore::address() const -> std::string
{
    return server_->address();
}

auto PagedStore::find(const std::string &kind, const std::string &name) const -> const Object *
{
    const auto objects = objects_.find(kind);
    if (objects == objects_.end()) {
        return nullptr;
    }
    const auto object = objects->second.find(name);
    return object == objects->second.end() ? nullptr : &object->second;
}

auto PagedStore::textOf(const std::string &kind, const std::string &name) const -> std::string
{
    const Object &object = objects_.at(kind).at(name);
    return absl::StrCat(R"({"metadata":{"name":")",
                        name,
                        R"(","revision":)",
                        object.revision,
                        R"(},"spec":)",
                        object.spec,
                        R"(,"status":)",
                        object.status,
                        "}");
}

auto PagedStore::record(const std::string &kind, const std::string &name, bool isRemoved) -> void
{
    if (absl::StartsWith(kind, "results-") || kind == "payloads") {
        return;
    }
    history_.push_back(
        { revision_, kind, absl::StrCat(R"({"deleted":)", isRemoved ? "true" : "false", R"(,"object":)", textOf(kind, name), "}") });
    std::erase_if(watches_, [this](const Watch &each) { return answerWatch(each); });
}

auto PagedStore::put(const std::string &kind, const std::string &name, const std::string &spec) -> std::uint64_t
{
    Object &object = objects_[kind][name];
    if (object.spec != spec) {
        object.revision = ++revision_;
        object.spec = spec;
        record(kind, name, false);
    }
    return object.revision;
}

auto PagedStore::specOf(const std::string &kind, const std::string &name) const -> std::string
{
    const Object *object = find(kind, name);
    return object == nullptr ? std::string() : object->spec;
}

auto PagedStore::countOf(const std::string &kind) const -> std::size_t
{
    const auto objects = objects_.find(kind);
    return objects == objects_.end() ? 0 : objects->second.size();
}

auto PagedStore::setLostAnswers(std::function<bool(const std::string &method, const std::string &kind)> isLost) -> void
{
    isLost_ = std::move(isLost);
}

auto PagedStore::writeCount() const -> int
{
    return writes_;
}

auto PagedStore::handle(const std::shared_ptr<CallerExchange> &exchange) -> void
{
    const std::string &target = exchange->head().target;
    const std::string path = target.substr(0, target.find('?'));
    if (!absl::StartsWith(path, ROOT)) {
        exchange->reply({ HttpStatus::NOT_FOUND, {}, "{}" });
        return;
    }
    const std::vector<std::string> words = absl::StrSplit(path.substr(std::string(ROOT).size()), '/');
    const std::string &method = exchange->head().method;
    if (method != "GET") {
        ++writes_;
        const HttpResult result = method == "DELETE" ? remove(words) : write(method, words, exchange->body());
        if (isLost_ && isLost_(method, words[0])) {
            unanswered_.push_back(exchange);
        } else {
            exchange->reply(result);
        }
    } else if (words.size() > 1) {
        const bool exists = find(words[0], words[1]) != nullptr;
        exchange->reply({ exists ? HttpStatus::OK : HttpStatus::NOT_FOUND, {}, exists ? textOf(words[0], words[1]) : "{}" });
    } else {
        const Query query = queryOf(target);
        if (query.contains("watch")) {
            watch(exchange, words[0], query);
        } else {
            if (words[0] == "servers" && onList_) {
                const auto onList = onList_;
                onList();
            }
            exchange->reply({ HttpStatus::OK, {}, page(words[0], textIn(query, "after")) });
        }
    }
}

auto PagedStore::erase(const std::string &kind, const std::string &name) -> void
{
    static_cast<void>(remove({ kind, name }));
}

auto PagedStore::setListHandler(std::function<void()> onList) -> void
{
    onList_ = std::move(onList);
}

auto PagedStore::remove(const std::vector<std::string> &path) -> HttpResult
{
    if (path.size() < 2 || find(path[0], path[1]) == nullptr) {
        return { HttpStatus::NOT_FOUND, {}, "{}" };
    }
    objects_[path[0]][path[1]].revision = ++revision_;
    record(path[0], path[1], true);
    objects_[path[0]].erase(path[1]);
    return { HttpStatus::OK, {}, "{}" };
}

auto PagedStore::write(const std::string &method, const std::vector<std::string> &path, const std::string &body) -> HttpResult
{
    const auto members = JsonText::members(body);
    // The members refer to the text.
    const std::string metadataText = members.ok() ? memberOf(*members, "metadata") : std::string();
    const auto metadata = JsonText::members(metadataText);
    if (!metadata.ok()) {
        return { HttpStatus::BAD_REQUEST, {}, "{}" };
    }
    const std::string &kind = path[0];
    const std::string name = path.size() > 1 ? path[1] : unquoted(memberOf(*metadata, "name"));
    const Object *known = find(kind, name);
    if (method == "POST" && known != nullptr) {
        return { HttpStatus::CONFLICT, {}, textOf(kind, name) };
    }
    if (method != "POST" && known == nullptr) {
        return { HttpStatus::NOT_FOUND, {}, "{}" };
    }
    const std::string revision = memberOf(*metadata, "revision");
    if (known != nullptr && !revision.empty() && revision != std::to_string(known->revision)) {
        return { HttpStatus::CONFLICT, {}, textOf(kind, name) };
    }
    if (path.size() > 2) {
        Object &object = objects_[kind][name];
        object.status = memberOf(*members, "status");
        object.revision = ++revision_;
        record(kind, name, false);
        return { HttpStatus::OK, {}, textOf(kind, name) };
    }
    const std::string spec = memberOf(*members, "spec");
    if (spec.size() > VALUE_BYTES) {
        return { HttpStatus::CONTENT_TOO_LARGE, {}, "{}" };
    }
    put(kind, name, spec);
    constexpr int CREATED = 201;
    return { method == "POST" ? CREATED : HttpStatus::OK, {}, textOf(kind, name) };
}

auto PagedStore::page(const std::string &kind, const std::string &after) const -> std::string
{
    std::string items;
    std::size_t count = 0;
    bool hasMore = false;
    const auto objects = objects_.find(kind);
    if (objects != objects_.end()) {
        for (auto object = objects->second.upper_bound(after); object != objects->second.end(); ++object) {
            const std::string text = textOf(kind, object->first);
            if (count >= PAGE_OBJECTS || (count > 0 && items.size() + text.size() > PAGE_BYTES)) {
                hasMore = true;
                break;
            }
            absl::StrAppend(&items, count > 0 ? "," : "", text);
            ++count;
        }
    }
    return absl::StrCat(R"({"items":[)", items, R"(],"hasMore":)", hasMore ? "true" : "false", R"(,"at":)", revision_, "}");
}

auto PagedStore::watch(const std::shared_ptr<CallerExchange> &exchange, const std::string &kind, const Query &query) -> void
{
    Watch watch { exchange, kind, numberIn(query, "watch"), {} };
    if (answerWatch(watch)) {
        return;
    }
    watch.timeout = loop_.at(BootClock::now() + Milliseconds(numberIn(query, "waitMs")), [this, exchange] {
        exchange->reply({ HttpStatus::OK, {}, absl::StrCat(R"({"events":[],"at":)", revision_, "}") });
        std::erase_if(watches_, [&exchange](const Watch &each) { return each.exchange == exchange; });
    });
    watches_.push_back(std::move(watch));
}

auto PagedStore::answerWatch(const Watch &watch) const -> bool
{
    std::vector<std::string> events;
    for (const Change &change : history_) {
        if (change.kind == watch.kind && change.revision > watch.revision) {
            events.push_back(change.event);
        }
    }
    if (events.empty()) {
        return false;
    }
    watch.exchange->reply({ HttpStatus::OK, {}, absl::StrCat(R"({"events":[)", absl::StrJoin(events, ","), R"(],"at":)", revision_, "}") });
    return true;
}

} // namespace poplardock::review
