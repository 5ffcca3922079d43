#include "CaseStore.h"

#include "Process/JsonText.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

#include <utility>

namespace poplardock::review {

namespace {

constexpr const char *ROOT = "/-/objects/";
constexpr std::size_t PAGE_ITEMS = 500;
constexpr std::size_t PAGE_BYTES = 1000000;
/// The pages' historyS of 20 s holds more changes of these kinds than any case makes.
constexpr std::size_t HISTORY_CHANGES = 20000;

auto unquoted(std::string_view text) -> std::string
{
    return text.size() < 2 ? std::string() : std::string(text.substr(1, text.size() - 2));
}

auto numberOf(const std::map<std::string, std::string> &query, const char *key) -> std::uint64_t
{
    std::uint64_t number = 0;
    const auto found = query.find(key);
    return found != query.end() && absl::SimpleAtoi(found->second, &number) ? number : 0;
}

auto isUtf8(std::string_view text) -> bool
{
    for (std::size_t position = 0; position < text.size();) {
        const auto first = static_cast<unsigned char>(text[position]);
        const std::size_t size = first < 0x80                    ? 1
                                 : first >= 0xc2 && first < 0xe0 ? 2
                                 : first >= 0xe0 && first < 0xf0 ? 3
                                 : first >= 0xf0 && first < 0xf5 ? 4
                                                                 : 0;
        if (size == 0 || position + size > text.size()) {
            return false;
        }
        for (std::size_t next = position + 1; next < position + size; ++next) {
            if ((static_cast<unsigned char>(text[next]) & 0xc0U) != 0x80U) {
                return false;
            }
        }
        position += size;
    }
    return true;
}

/// Result logs are never watched, so their changes need not be kept.
auto isWatched(const std::string &kind) -> bool
{
    return kind == "config" || kind == "servers" || kind == "members" || kind == "retirements";
}

} // namespace

CaseStore::CaseStore(EventLoop &loop)
    : loop_(loop)
{
    CallerServer::Options options;
    options.limits = [] {
        return CallerLimits { 16384, 4U << 20U };
    };
    server_ = *CallerServer::open(loop, "127.0.0.1:0", std::move(options), [this](const auto &exchange) { handle(exchange); });
}

auto CaseStore::address() const -> std::string
{
    return server_->address();
}

auto CaseStore::setDown(bool isDown) -> void
{
    isDown_ = isDown;
    if (isDown) {
        for (const Watch &each : std::exchange(watches_, {})) {
            each.exchange->breakOff();
        }
    }
}

auto CaseStore::exists(const std::string &kind, const std::string &name) const -> bool
{
    const auto found = objects_.find(kind);
    return found != objects_.end() && found->second.contains(name);
}

auto CaseStore::specOf(const std::string &kind, const std::string &name) const -> std::string
{
    return exists(kind, name) ? objects_.at(kind).at(name).spec : std::string();
}

auto CaseStore::textOf(const std::string &kind, const std::string &name) const -> std::string
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

auto CaseStore::put(const std::string &kind, const std::string &name, const std::string &spec) -> void
{
    Object &object = objects_[kind][name];
    object.revision = ++revision_;
    object.spec = spec;
    record(kind, name, false);
}

auto CaseStore::record(const std::string &kind, const std::string &name, bool isRemoved) -> void
{
    if (!isWatched(kind)) {
        return;
    }
    history_.push_back(
        { revision_, kind, absl::StrCat(R"({"deleted":)", isRemoved ? "true" : "false", R"(,"object":)", textOf(kind, name), "}") });
    if (history_.size() > HISTORY_CHANGES) {
        history_.erase(history_.begin());
    }
    std::erase_if(watches_, [this](const Watch &each) { return replyEvents(each); });
}

auto CaseStore::handle(const std::shared_ptr<CallerExchange> &exchange) -> void
{
    if (isDown_) {
        exchange->breakOff();
        return;
    }
    const std::pair<std::string, std::string> target = absl::StrSplit(exchange->head().target, absl::MaxSplits('?', 1));
    Query query;
    for (const absl::string_view pair : absl::StrSplit(target.second, '&', absl::SkipEmpty())) {
        const std::pair<std::string, std::string> parts = absl::StrSplit(pair, absl::MaxSplits('=', 1));
        query.insert(parts);
    }
    const std::vector<std::string> words = absl::StrSplit(absl::StripPrefix(target.first, ROOT), '/');
    if (exchange->head().method != "GET") {
        exchange->reply(write(exchange->head().method, words, exchange->body(), query));
    } else if (words.size() > 1) {
        const bool isFound = exists(words[0], words[1]);
        exchange->reply({ isFound ? 200 : 404, {}, isFound ? textOf(words[0], words[1]) : "{}" });
    } else if (query.contains("watch")) {
        watch(exchange, words[0], query);
    } else {
        exchange->reply(list(words[0], query["after"]));
    }
}

auto CaseStore::write(const std::string &method, const std::vector<std::string> &words, const std::string &body, const Query &query)
    -> HttpResult
{
    const std::string &kind = words[0];
    if (method == "DELETE") {
        if (!exists(kind, words[1])) {
            return { 404, {}, "{}" };
        }
        objects_[kind][words[1]].revision = ++revision_;
        record(kind, words[1], true);
        objects_[kind].erase(words[1]);
        return { 200, {}, "{}" };
    }
    // JSON is text in UTF-8.
    const auto members = isUtf8(body) ? JsonText::members(body) : absl::InvalidArgumentError("no JSON");
    const auto metadata = members.ok() ? JsonText::members(members->at("metadata")) : members;
    if (!metadata.ok()) {
        return { 400, {}, "{}" };
    }
    const std::string name = words.size() > 1 ? words[1] : unquoted(metadata->at("name"));
    const bool isFound = exists(kind, name);
    if (method == "POST" && isFound) {
        return { 409, {}, textOf(kind, name) };
    }
    if (method != "POST" && !isFound) {
        return { 404, {}, "{}" };
    }
    std::uint64_t condition = numberOf(query, "revision");
    if (const auto field = metadata->find("revision"); field != metadata->end()) {
        static_cast<void>(absl::SimpleAtoi(absl::string_view(field->second.data(), field->second.size()), &condition));
    }
    Object &object = objects_[kind][name];
    if (isFound && condition != 0 && condition != object.revision) {
        return { 409, {}, textOf(kind, name) };
    }
    const bool isStatus = words.size() > 2;
    std::string &field = isStatus ? object.status : object.spec;
    const std::string value(members->at(isStatus ? "status" : "spec"));
    // A write that changes nothing does not increase the revision.
    if (!isFound || field != value) {
        field = value;
        object.revision = ++revision_;
        record(kind, name, false);
    }
    return { method == "POST" ? 201 : 200, {}, textOf(kind, name) };
}

auto CaseStore::list(const std::string &kind, const std::string &after) const -> HttpResult
{
    std::string items;
    std::size_t count = 0;
    bool hasMore = false;
    const auto found = objects_.find(kind);
    if (found != objects_.end()) {
        for (auto object = found->second.upper_bound(after); object != found->second.end(); ++object) {
            const std::string text = textOf(kind, object->first);
            if (count > 0 && (count == PAGE_ITEMS || items.size() + text.size() > PAGE_BYTES)) {
                hasMore = true;
                break;
            }
            absl::StrAppend(&items, count > 0 ? "," : "", text);
            ++count;
        }
    }
    return { 200, {}, absl::StrCat(R"({"items":[)", items, R"(],"hasMore":)", hasMore ? "true" : "false", R"(,"at":)", revision_, "}") };
}

auto CaseStore::watch(const std::shared_ptr<CallerExchange> &exchange, const std::string &kind, const Query &query) -> void
{
    Watch waiting { exchange, kind, numberOf(query, "watch"), {} };
    if (replyEvents(waiting)) {
        return;
    }
    waiting.timeout = loop_.at(BootClock::now() + Milliseconds(numberOf(query, "waitMs")), [this, exchange] {
        exchange->reply({ 200, {}, absl::StrCat(R"({"events":[],"at":)", revision_, "}") });
        std::erase_if(watches_, [&exchange](const Watch &each) { return each.exchange == exchange; });
    });
    watches_.push_back(std::move(waiting));
}

auto CaseStore::replyEvents(const Watch &watch) const -> bool
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
    watch.exchange->reply({ 200, {}, absl::StrCat(R"({"events":[)", absl::StrJoin(events, ","), R"(],"at":)", revision_, "}") });
    return true;
}

} // namespace poplardock::review
