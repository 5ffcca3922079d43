#include "Fakes/FakeObjectStore.h"

#include "Process/WordCodec.h"
#include "Request/Utf8Text.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

namespace poplardock {

namespace {

constexpr const char *ROOT = "/-/objects/";
/// Bounds of one page of a list.
constexpr std::size_t PAGE_OBJECTS = 500;
constexpr std::size_t PAGE_BYTES = 1000000;

auto queryOf(const std::string &target) -> std::map<std::string, std::string>
{
    std::map<std::string, std::string> query;
    const std::size_t mark = target.find('?');
    if (mark == std::string::npos) {
        return query;
    }
    for (const auto &pair : absl::StrSplit(target.substr(mark + 1), '&')) {
        const std::pair<std::string, std::string> parts = absl::StrSplit(pair, absl::MaxSplits('=', 1));
        query.emplace(parts.first, decodeWord(parts.second).value_or(std::string()));
    }
    return query;
}

auto numberIn(const std::map<std::string, std::string> &query, const std::string &key) -> std::uint64_t
{
    std::uint64_t number = 0;
    const auto found = query.find(key);
    return found != query.end() && absl::SimpleAtoi(found->second, &number) ? number : 0;
}

} // namespace

FakeObjectStore::FakeObjectStore(EventLoop &loop)
    : loop_(loop)
{
    openView([](const std::string &body) { return body; });
}

auto FakeObjectStore::openView(Rewrite rewrite) -> std::size_t
{
    const std::size_t view = views_.size();
    CallerServer::Options options;
    options.limits = [] {
        return CallerLimits { 16384, 4U << 20U };
    };
    auto server
        = CallerServer::open(loop_, "127.0.0.1:0", std::move(options), [this, view](const auto &exchange) { handle(exchange, view); });
    views_.push_back({ *std::move(server), std::move(rewrite), {}, {} });
    return view;
}

auto FakeObjectStore::address() const -> std::string
{
    return viewAddress(0);
}

auto FakeObjectStore::viewAddress(std::size_t view) const -> std::string
{
    return views_[view].server->address();
}

auto FakeObjectStore::setFaults(const Faults &faults) -> void
{
    setViewFaults(0, faults);
}

auto FakeObjectStore::setViewFaults(std::size_t view, const Faults &faults) -> void
{
    views_[view].faults = faults;
    if (!faults.isSilent) {
        views_[view].unanswered.clear();
    }
}

auto FakeObjectStore::reply(const std::shared_ptr<CallerExchange> &exchange, std::size_t view, HttpResult result) const -> void
{
    result.body = views_[view].rewrite(result.body);
    exchange->reply(result);
}

auto FakeObjectStore::textOf(const std::string &kind, const std::string &name) const -> std::string
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

auto FakeObjectStore::record(const std::string &kind, const std::string &name, bool isRemoved) -> void
{
    const std::string event = absl::StrCat(R"({"deleted":)", isRemoved ? "true" : "false", R"(,"object":)", textOf(kind, name), "}");
    history_.push_back({ revision_, kind, event });
    wakeWatches();
}

auto FakeObjectStore::put(const std::string &kind, const std::string &name, const std::string &spec) -> std::uint64_t
{
    Object &object = objects_[kind][name];
    object.revision = ++revision_;
    object.spec = spec;
    record(kind, name, false);
    return revision_;
}

auto FakeObjectStore::remove(const std::string &kind, const std::string &name) -> void
{
    objects_[kind].at(name).revision = ++revision_;
    record(kind, name, true);
    objects_[kind].erase(name);
}

auto FakeObjectStore::compact() -> void
{
    history_.clear();
    historyBegin_ = ++revision_;
    // Waiting watches are cut off.
    for (const Watch &watch : std::exchange(watches_, {})) {
        watch.exchange->breakOff();
    }
}

auto FakeObjectStore::specOf(const std::string &kind, const std::string &name) const -> std::string
{
    const auto objects = objects_.find(kind);
    const bool exists = objects != objects_.end() && objects->second.contains(name);
    return exists ? objects->second.at(name).spec : std::string();
}

auto FakeObjectStore::statusOf(const std::string &kind, const std::string &name) const -> std::string
{
    const auto objects = objects_.find(kind);
    const bool exists = objects != objects_.end() && objects->second.contains(name);
    return exists ? objects->second.at(name).status : std::string();
}

auto FakeObjectStore::countOf(const std::string &kind) const -> std::size_t
{
    const auto objects = objects_.find(kind);
    return objects == objects_.end() ? 0 : objects->second.size();
}

auto FakeObjectStore::callCount(const std::string &prefix) const -> int
{
    int count = 0;
    for (const auto &[call, calls] : calls_) {
        count += absl::StartsWith(call, prefix) ? calls : 0;
    }
    return count;
}

auto FakeObjectStore::listedBytes(const std::string &kind) const -> std::size_t
{
    const auto found = listedBytes_.find(kind);
    return found == listedBytes_.end() ? 0 : found->second;
}

auto FakeObjectStore::handle(const std::shared_ptr<CallerExchange> &exchange, std::size_t view) -> void
{
    const std::string &target = exchange->head().target;
    ++calls_[absl::StrCat(exchange->head().method, " ", target)];
    const Faults &faults = views_[view].faults;
    const bool isConcerned = absl::StrContains(target, faults.onlyTargets);
    if (isSilentFor(exchange, view)) {
        views_[view].unanswered.push_back(exchange);
        return;
    }
    if (isConcerned && faults.refuseStatus != 0) {
        exchange->reply({ faults.refuseStatus, {}, "{}" });
        return;
    }
    if (isConcerned && !faults.refusedText.empty() && absl::StrContains(exchange->body(), faults.refusedText)) {
        exchange->reply({ 400, {}, "{}" });
        return;
    }
    if (isConcerned && faults.valueBytes > 0 && exchange->body().size() > faults.valueBytes) {
        exchange->reply({ 413, {}, "{}" });
        return;
    }
    answer(exchange, view);
}

auto FakeObjectStore::takesLostAnswer(std::size_t view, const std::string &target) -> bool
{
    Faults &faults = views_[view].faults;
    if (faults.loseWriteAnswers == 0 || !absl::StrContains(target, faults.onlyTargets)) {
        return false;
    }
    --faults.loseWriteAnswers;
    return true;
}

auto FakeObjectStore::answer(const std::shared_ptr<CallerExchange> &exchange, std::size_t view) -> void
{
    const std::string &target = exchange->head().target;
    const std::string path = target.substr(0, target.find('?'));
    std::vector<std::string> words = absl::StrSplit(absl::StripPrefix(path, ROOT), '/');
    for (std::string &word : words) {
        word = decodeWord(word).value_or(std::string());
    }
    if (exchange->head().method != "GET") {
        const HttpResult result = answerWrite(exchange->head().method, words, exchange->body());
        if (takesLostAnswer(view, target)) {
            if (const int status = views_[view].faults.lostAnswerStatus; status != 0) {
                exchange->reply({ status, {}, "{}" });
            } else {
                exchange->breakOff();
            }
            return;
        }
        reply(exchange, view, result);
        return;
    }
    if (words.size() > 1) {
        const bool exists = !specOf(words[0], words[1]).empty();
        reply(exchange, view, { exists ? 200 : 404, {}, exists ? textOf(words[0], words[1]) : "{}" });
        return;
    }
    answerList(exchange, view, words[0], queryOf(target));
}

auto FakeObjectStore::answerWrite(const std::string &method, const std::vector<std::string> &path, const std::string &body) -> HttpResult
{
    const std::string &kind = path[0];
    if (method == "DELETE") {
        const bool exists = !specOf(kind, path[1]).empty();
        if (exists) {
            remove(kind, path[1]);
        }
        return { exists ? 200 : 404, {}, "{}" };
    }
    const auto json = Json::parseObject(body);
    if (!json.ok() || !isUtf8(body)) {
        return { 400, {}, "{}" };
    }
    const JsonObject::Ptr metadata = (*json)->getObject("metadata");
    const std::string name = path.size() > 1 ? path[1] : metadata->getValue<std::string>("name");
    const bool exists = !specOf(kind, name).empty();
    if (method == "POST" ? exists : !exists) {
        return { method == "POST" ? 409 : 404, {}, exists ? textOf(kind, name) : "{}" };
    }
    if (path.size() > 2) {
        objects_[kind][name].status = Json::toText((*json)->get("status"));
        objects_[kind][name].revision = ++revision_;
        record(kind, name, false);
        return { 200, {}, textOf(kind, name) };
    }
    if (exists && metadata->has("revision") && metadata->getValue<std::uint64_t>("revision") != objects_[kind][name].revision) {
        return { 409, {}, textOf(kind, name) };
    }
    put(kind, name, Json::toText((*json)->get("spec")));
    return { method == "POST" ? 201 : 200, {}, textOf(kind, name) };
}

auto FakeObjectStore::answerList(const std::shared_ptr<CallerExchange> &exchange,
                                 std::size_t view,
                                 const std::string &kind,
                                 const std::map<std::string, std::string> &query) -> void
{
    if (!query.contains("watch")) {
        const auto afterName = query.find("after");
        const auto &objects = objects_[kind];
        auto next = afterName == query.end() ? objects.begin() : objects.upper_bound(afterName->second);
        std::vector<std::string> items;
        std::size_t bytes = 0;
        for (; next != objects.end() && items.size() < PAGE_OBJECTS && bytes < PAGE_BYTES; ++next) {
            items.push_back(textOf(kind, next->first));
            bytes += items.back().size();
        }
        listedBytes_[kind] += bytes;
        reply(exchange,
              view,
              { 200,
                {},
                absl::StrCat(R"({"items":[)",
                             absl::StrJoin(items, ","),
                             R"(],"hasMore":)",
                             next == objects.end() ? "false" : "true",
                             R"(,"at":)",
                             revision_,
                             "}") });
        return;
    }
    Watch watch { exchange, view, kind, numberIn(query, "watch"), {} };
    if (watch.revision < historyBegin_) {
        exchange->reply({ 410, {}, "{}" });
        return;
    }
    if (replyEvents(watch)) {
        return;
    }
    watch.timeout = loop_.at(BootClock::now() + Milliseconds(numberIn(query, "waitMs")), [this, exchange, view] {
        if (isSilentFor(exchange, view)) {
            views_[view].unanswered.push_back(exchange);
            std::erase_if(watches_, [&exchange](const Watch &each) { return each.exchange == exchange; });
            return;
        }
        exchange->reply({ 200, {}, absl::StrCat(R"({"events":[],"at":)", revision_, "}") });
        std::erase_if(watches_, [&exchange](const Watch &each) { return each.exchange == exchange; });
    });
    watches_.push_back(std::move(watch));
}

auto FakeObjectStore::isSilentFor(const std::shared_ptr<CallerExchange> &exchange, std::size_t view) const -> bool
{
    const Faults &faults = views_[view].faults;
    return faults.isSilent && absl::StrContains(exchange->head().target, faults.onlyTargets);
}

auto FakeObjectStore::replyEvents(const Watch &watch) -> bool
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
    if (isSilentFor(watch.exchange, watch.view)) {
        views_[watch.view].unanswered.push_back(watch.exchange);
        return true;
    }
    reply(
        watch.exchange, watch.view, { 200, {}, absl::StrCat(R"({"events":[)", absl::StrJoin(events, ","), R"(],"at":)", revision_, "}") });
    return true;
}

auto FakeObjectStore::wakeWatches() -> void
{
    std::erase_if(watches_, [this](const Watch &watch) { return replyEvents(watch); });
}

} // namespace poplardock
