#include "Process/Store/ObjectStore.h"

namespace poplardock {

namespace {

/// The store answers in 4 ms; a slow one takes 60 times as long. Later answers are of no use to a caller's target.
constexpr Milliseconds CALL_PATIENCE { 1500 };
/// Time that a watch may be late over its own wait.
constexpr Milliseconds WATCH_SLACK { 700 };
/// A read that fails sooner than this is sent once more.
constexpr Milliseconds QUICK_FAILURE { 300 };
constexpr ClientPool::Options POOL_OPTIONS { { 1500, 1000 }, Milliseconds(700), Milliseconds(10000) };

/// Each job has a kind of its own for its log; they are counted as one.
constexpr std::string_view LOG_KIND_BEGIN = "results-";

auto toStatus(int status) -> absl::Status
{
    switch (status) {
    case HttpStatus::NOT_FOUND:
        return absl::NotFoundError("no such object");
    case HttpStatus::CONFLICT:
        return absl::AbortedError("the object exists or has changed");
    case HttpStatus::GONE:
        return absl::OutOfRangeError("the history is gone");
    case HttpStatus::TOO_MANY_REQUESTS:
    case HttpStatus::UNAVAILABLE:
        return absl::UnavailableError("the store refused the call");
    default:
        return absl::InvalidArgumentError("unexpected status " + std::to_string(status));
    }
}

} // namespace

ObjectStore::ObjectStore(EventLoop &loop, const WireDialect &dialect, std::string address)
    : loop_(loop)
    , adapter_(dialect)
    , address_(std::move(address))
    , pool_(loop, POOL_OPTIONS)
    , client_(loop, pool_)
{
}

auto ObjectStore::send(const HttpCall &call, Milliseconds patience, ResultHandler handler) -> void
{
    sendOnce(call, patience, call.method == "GET", std::move(handler));
}

auto ObjectStore::sendOnce(const HttpCall &call, Milliseconds patience, bool mayRepeat, ResultHandler handler) -> void
{
    const BootTime sentAt = BootClock::now();
    client_.call(address_,
                 call,
                 sentAt + patience,
                 [this, call, patience, mayRepeat, sentAt, handler = std::move(handler)](const HttpCallOutcome &outcome) {
                     const auto *result = std::get_if<HttpResult>(&outcome);
                     if (result == nullptr && mayRepeat && BootClock::now() - sentAt < QUICK_FAILURE) {
                         // Most likely a kept connection that the store had closed; that is no loss of the store.
                         sendOnce(call, patience, false, handler);
                         return;
                     }
                     const bool isContact = result != nullptr && result->status != HttpStatus::TOO_MANY_REQUESTS
                                            && result->status != HttpStatus::UNAVAILABLE;
                     if (isContact) {
                         lostSince_.reset();
                     } else {
                         ++counts_.failures;
                         lostSince_ = lostSince_.value_or(sentAt);
                     }
                     if (result == nullptr) {
                         const bool isNotSent = std::get<HttpCallFailure>(outcome).isNotSent;
                         handler(isNotSent ? absl::UnavailableError("the store cannot be reached")
                                           : absl::UnknownError("the store did not answer"));
                         return;
                     }
                     if (!HttpStatus::isSuccess(result->status)) {
                         handler(toStatus(result->status));
                         return;
                     }
                     handler(*result);
                 });
}

auto ObjectStore::read(const std::string &kind, const std::string &name, ObjectHandler handler) -> void
{
    ++counts_.reads;
    ++callsByKind_["read " + kind];
    send(adapter_.readCall(kind, name), CALL_PATIENCE, [this, kind, handler = std::move(handler)](const auto &result) {
        handler(result.ok() ? adapter_.decodeObject(kind, result->body) : result.status());
    });
}

auto ObjectStore::listAll(const std::string &kind, bool allowsStale, ListHandler handler) -> void
{
    StoreQuery query;
    query.allowsStale = allowsStale;
    listPage(kind, std::move(query), std::make_shared<StoreList>(), std::move(handler));
}

auto ObjectStore::listPage(const std::string &kind, StoreQuery query, std::shared_ptr<StoreList> found, ListHandler handler) -> void
{
    ++(query.allowsStale ? counts_.staleReads : counts_.reads);
    ++callsByKind_[(query.allowsStale ? "stale_list " : "list ") + std::string(kind.starts_with(LOG_KIND_BEGIN) ? LOG_KIND_BEGIN : kind)];
    const HttpCall call = adapter_.listCall(kind, query);
    send(call,
         CALL_PATIENCE,
         [this, kind, query = std::move(query), found = std::move(found), handler = std::move(handler)](const auto &result) {
             const auto page = result.ok() ? adapter_.decodeList(kind, result->body) : result.status();
             if (!page.ok()) {
                 handler(page.status());
                 return;
             }
             // Changes between two pages are reported by a watch from the revision of the first page.
             if (query.after.empty()) {
                 found->revision = page->revision;
             }
             found->objects.insert(found->objects.end(), page->objects.begin(), page->objects.end());
             if (page->hasMore && !page->objects.empty()) {
                 StoreQuery next = query;
                 next.after = page->objects.back().name;
                 listPage(kind, std::move(next), found, handler);
                 return;
             }
             handler(*found);
         });
}

auto ObjectStore::watch(const std::string &kind, std::uint64_t revision, Milliseconds wait, EventsHandler handler) -> void
{
    ++counts_.watches;
    ++callsByKind_["watch " + kind];
    StoreQuery query;
    query.watchRevision = revision;
    query.wait = wait;
    send(adapter_.listCall(kind, query), wait + WATCH_SLACK, [this, kind, handler = std::move(handler)](const auto &result) {
        handler(result.ok() ? adapter_.decodeEvents(kind, result->body) : result.status());
    });
}

auto ObjectStore::create(const StoredObject &object, ObjectHandler handler) -> void
{
    ++counts_.writes;
    ++callsByKind_["create " + std::string(object.kind.starts_with(LOG_KIND_BEGIN) ? LOG_KIND_BEGIN : object.kind)];
    send(adapter_.createCall(object), CALL_PATIENCE, [this, kind = object.kind, handler = std::move(handler)](const auto &result) {
        if (absl::IsAborted(result.status())) {
            handler(absl::AlreadyExistsError("the object exists"));
            return;
        }
        handler(result.ok() ? adapter_.decodeObject(kind, result->body) : result.status());
    });
}

auto ObjectStore::replace(const StoredObject &object, ObjectHandler handler) -> void
{
    ++counts_.writes;
    ++callsByKind_["replace " + object.kind];
    send(adapter_.replaceCall(object), CALL_PATIENCE, [this, kind = object.kind, handler = std::move(handler)](const auto &result) {
        handler(result.ok() ? adapter_.decodeObject(kind, result->body) : result.status());
    });
}

auto ObjectStore::remove(const std::string &kind, const std::string &name, DoneHandler handler) -> void
{
    write(adapter_.removeCall(kind, name), std::move(handler));
}

auto ObjectStore::write(const HttpCall &call, DoneHandler handler) -> void
{
    ++counts_.writes;
    send(call, CALL_PATIENCE, [handler = std::move(handler)](const auto &result) { handler(result.status()); });
}

auto ObjectStore::counts() const -> const Counts &
{
    return counts_;
}

auto ObjectStore::callsByKind() const -> const std::map<std::string, std::uint64_t> &
{
    return callsByKind_;
}

auto ObjectStore::lostSince() const -> std::optional<BootTime>
{
    return lostSince_;
}

} // namespace poplardock
