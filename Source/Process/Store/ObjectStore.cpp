#include "Process/Store/ObjectStore.h"

#include "Process/EventLog.h"

#include <algorithm>
#include <utility>

namespace poplardock {

namespace {

/// The store responds in 4 ms, and takes 60 times as long when it is slow. A later response comes too late for a
/// caller's latency target.
constexpr Milliseconds CALL_TIMEOUT { 1500 };
/// Time by which the response to a watch may exceed the wait that was asked for.
constexpr Milliseconds WATCH_GRACE { 700 };
/// A read that fails sooner than this is retried once.
constexpr Milliseconds RETRY_WINDOW { 300 };
constexpr ClientPool::Options POOL_OPTIONS { { 1500, 1000 }, Milliseconds(700), Milliseconds(10000) };

/// The result log of each job is a kind of its own; callsByKind() counts them as one.
constexpr std::string_view LOG_KIND_PREFIX = "results-";

auto toStatus(int status) -> absl::Status
{
    switch (status) {
    case HttpStatus::NOT_FOUND:
        return absl::NotFoundError("no such object");
    case HttpStatus::CONFLICT:
        return absl::AbortedError("the object exists or has changed");
    case HttpStatus::GONE:
        return absl::OutOfRangeError("the history has expired");
    case HttpStatus::TOO_MANY_REQUESTS:
    case HttpStatus::UNAVAILABLE:
        return absl::UnavailableError("the store refused the call");
    case HttpStatus::BAD_REQUEST:
    case HttpStatus::CONTENT_TOO_LARGE:
    case HttpStatus::UNPROCESSABLE:
        return absl::InvalidArgumentError("the store refused the content with status " + std::to_string(status));
    default:
        break;
    }
    const std::string message = "unexpected response status " + std::to_string(status);
    // What a gateway answers for the store does not tell whether the store has done the call. Other statuses speak of the call, not of
    // its content, which may be taken later.
    return status >= HttpStatus::SERVER_ERROR ? absl::UnknownError(message) : absl::InternalError(message);
}

/// The object in the response to a write that the store has done.
auto decodeWritten(const WireDialect &adapter, const std::string &kind, const absl::StatusOr<HttpResult> &result)
    -> absl::StatusOr<StoredObject>
{
    if (!result.ok()) {
        return result.status();
    }
    auto object = adapter.decodeObject(kind, result->body);
    return object.ok() ? object : absl::UnknownError(object.status().message());
}

} // namespace

ObjectStore::ObjectStore(EventLoop &loop, const WireDialect &adapter, std::string address)
    : loop_(loop)
    , adapter_(adapter)
    , address_(std::move(address))
    , pool_(loop, POOL_OPTIONS)
    , client_(loop, pool_)
{
}

auto ObjectStore::send(const HttpCall &call, Milliseconds wait, Milliseconds timeout, ResultHandler handler) -> void
{
    sendOnce(call, wait, timeout, call.method == "GET", std::move(handler));
}

auto ObjectStore::sendOnce(const HttpCall &call, Milliseconds wait, Milliseconds timeout, bool isRetryable, ResultHandler handler) -> void
{
    const BootTime sentAt = BootClock::now();
    client_.call(address_,
                 call,
                 sentAt + wait + timeout,
                 [this, call, wait, timeout, isRetryable, sentAt, handler = std::move(handler)](const HttpCallOutcome &outcome) {
                     const auto *result = std::get_if<HttpResult>(&outcome);
                     if (result == nullptr && isRetryable && BootClock::now() - sentAt < RETRY_WINDOW) {
                         // Most likely a pooled connection that the store had closed; the store itself is reachable.
                         sendOnce(call, wait, timeout, false, handler);
                         return;
                     }
                     const bool hasContact = result != nullptr && result->status != HttpStatus::TOO_MANY_REQUESTS
                                             && result->status != HttpStatus::UNAVAILABLE;
                     if (hasContact) {
                         lostSince_.reset();
                     } else {
                         ++counts_.failures;
                         lostSince_ = lostSince_.value_or(std::min(sentAt + wait, BootClock::now()));
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
    send(adapter_.readCall(kind, name), Milliseconds(0), CALL_TIMEOUT, [this, kind, handler = std::move(handler)](const auto &result) {
        handler(result.ok() ? adapter_.decodeObject(kind, result->body) : result.status());
    });
}

auto ObjectStore::listAll(const std::string &kind, bool allowsStale, ListHandler handler) -> void
{
    const auto found = std::make_shared<StoreList>();
    listPages(kind, allowsStale, {}, [found, isFirst = true, handler = std::move(handler)](const absl::StatusOr<StoreList> &page) mutable {
        if (!page.ok()) {
            handler(page.status());
            return false;
        }
        // A watch from the revision of the first page also reports the changes that happened between the pages.
        if (std::exchange(isFirst, false)) {
            found->revision = page->revision;
        }
        found->unreadable += page->unreadable;
        found->objects.insert(found->objects.end(), page->objects.begin(), page->objects.end());
        if (!page->hasMore) {
            handler(*found);
        }
        return page->hasMore;
    });
}

auto ObjectStore::listPages(const std::string &kind, bool allowsStale, const std::string &after, PageHandler handler) -> void
{
    StoreQuery query;
    query.allowsStale = allowsStale;
    query.after = after;
    listPage(kind, std::move(query), std::move(handler));
}

auto ObjectStore::listPage(const std::string &kind, StoreQuery query, PageHandler handler) -> void
{
    ++(query.allowsStale ? counts_.staleReads : counts_.reads);
    ++callsByKind_[(query.allowsStale ? "stale_list " : "list ") + std::string(kind.starts_with(LOG_KIND_PREFIX) ? LOG_KIND_PREFIX : kind)];
    const HttpCall call = adapter_.listCall(kind, query);
    send(call, Milliseconds(0), CALL_TIMEOUT, [this, kind, query = std::move(query), handler = std::move(handler)](const auto &result) {
        StoreQuery next = query;
        {
            const auto page = result.ok() ? adapter_.decodeList(kind, result->body) : result.status();
            if (page.ok() && page->unreadable > 0) {
                EventLog::write("store_objects_unreadable",
                                { { "kind", kind }, { "count", static_cast<std::uint64_t>(page->unreadable) } });
            }
            if (page.ok() && page->hasMore && page->objects.empty()) {
                handler(absl::InvalidArgumentError("a page of the list cannot be read"));
                return;
            }
            const bool isNextWanted = handler(page);
            if (!page.ok() || !page->hasMore || !isNextWanted) {
                return;
            }
            next.after = page->objects.back().name;
        }
        listPage(kind, std::move(next), handler);
    });
}

auto ObjectStore::watch(const std::string &kind, std::uint64_t revision, Milliseconds wait, EventsHandler handler) -> void
{
    ++counts_.watches;
    ++callsByKind_["watch " + kind];
    StoreQuery query;
    query.watchRevision = revision;
    query.wait = wait;
    send(adapter_.listCall(kind, query), wait, WATCH_GRACE, [this, kind, handler = std::move(handler)](const auto &result) {
        handler(result.ok() ? adapter_.decodeEvents(kind, result->body) : result.status());
    });
}

auto ObjectStore::create(const StoredObject &object, ObjectHandler handler) -> void
{
    ++counts_.writes;
    ++callsByKind_["create " + std::string(object.kind.starts_with(LOG_KIND_PREFIX) ? LOG_KIND_PREFIX : object.kind)];
    send(adapter_.createCall(object),
         Milliseconds(0),
         CALL_TIMEOUT,
         [this, kind = object.kind, handler = std::move(handler)](const auto &result) {
             if (absl::IsAborted(result.status())) {
                 handler(absl::AlreadyExistsError("the object exists"));
                 return;
             }
             handler(decodeWritten(adapter_, kind, result));
         });
}

auto ObjectStore::replace(const StoredObject &object, ObjectHandler handler) -> void
{
    ++counts_.writes;
    ++callsByKind_["replace " + object.kind];
    send(adapter_.replaceCall(object),
         Milliseconds(0),
         CALL_TIMEOUT,
         [this, kind = object.kind, handler = std::move(handler)](const auto &result) { handler(decodeWritten(adapter_, kind, result)); });
}

auto ObjectStore::remove(const std::string &kind, const std::string &name, DoneHandler handler) -> void
{
    write(adapter_.removeCall(kind, name), std::move(handler));
}

auto ObjectStore::write(const HttpCall &call, DoneHandler handler) -> void
{
    ++counts_.writes;
    send(call, Milliseconds(0), CALL_TIMEOUT, [handler = std::move(handler)](const auto &result) { handler(result.status()); });
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
