#pragma once

#include "Connection/HttpClient.h"
#include "Connection/WireDialect.h"

#include <absl/status/statusor.h>

#include <functional>
#include <map>

namespace poplardock {

/// Asynchronous client of the platform's object store.
///
/// Errors of all calls: NotFound; AlreadyExists (create); Aborted (a conditional update found another version);
/// OutOfRange (the store no longer has the history that a watch needs); Unavailable (refused or not sent: nothing was
/// done); Unknown (no response, or one that does not tell: a write may have taken effect, or may do so later);
/// InvalidArgument (the store refused the content of the call, and would refuse it again; for reads also a response that
/// cannot be decoded); Internal (refused with any other status: nothing was done).
/// Thread safety: the loop's thread only.
class ObjectStore
{
public:
    struct Counts
    {
        std::uint64_t reads = 0;
        std::uint64_t staleReads = 0;
        std::uint64_t watches = 0;
        std::uint64_t writes = 0;
        std::uint64_t failures = 0;

        auto operator==(const Counts &) const -> bool = default;
    };
    using ObjectHandler = std::function<void(const absl::StatusOr<StoredObject> &)>;
    using ListHandler = std::function<void(const absl::StatusOr<StoreList> &)>;
    /// Receives a page, or the error that ends the reading; returns whether the next page is wanted.
    using PageHandler = std::function<bool(const absl::StatusOr<StoreList> &)>;
    using EventsHandler = std::function<void(const absl::StatusOr<StoreEvents> &)>;
    using DoneHandler = std::function<void(const absl::Status &)>;

    /// The adapter must outlive the store. The address has the form "IP:port".
    ObjectStore(EventLoop &loop, const WireDialect &adapter, std::string address);

    auto read(const std::string &kind, const std::string &name, ObjectHandler handler) -> void;
    /// Reads all pages of a kind; they may be seconds old when "allowsStale". The revision is that of the first page,
    /// so a watch from it reports every later change.
    auto listAll(const std::string &kind, bool allowsStale, ListHandler handler) -> void;
    /// Reads the pages of a kind one after the other, from the first object whose name comes after "after"; empty for all. Each page is
    /// dropped before the next one is read. The last page has "hasMore" unset.
    auto listPages(const std::string &kind, bool allowsStale, const std::string &after, PageHandler handler) -> void;
    /// Long poll: waits up to "wait" for changes after a revision.
    auto watch(const std::string &kind, std::uint64_t revision, Milliseconds wait, EventsHandler handler) -> void;
    /// The handler receives the object as it was stored.
    auto create(const StoredObject &object, ObjectHandler handler) -> void;
    /// Replaces the object if its version is still that of the argument. The handler receives the new object.
    auto replace(const StoredObject &object, ObjectHandler handler) -> void;
    auto remove(const std::string &kind, const std::string &name, DoneHandler handler) -> void;
    /// Sends a write that the adapter has encoded.
    auto write(const HttpCall &call, DoneHandler handler) -> void;

    [[nodiscard]] auto counts() const -> const Counts &;
    /// Number of calls by operation and kind, for example "watch servers".
    [[nodiscard]] auto callsByKind() const -> const std::map<std::string, std::uint64_t> &;
    /// When the store first failed to respond since the last contact: when the failed call was sent, for a watch when its
    /// response was due or it was cut off. Unset while the store responds.
    [[nodiscard]] auto lostSince() const -> std::optional<BootTime>;

private:
    using ResultHandler = std::function<void(const absl::StatusOr<HttpResult> &)>;

    /// The store may take "wait" before it responds.
    auto send(const HttpCall &call, Milliseconds wait, Milliseconds timeout, ResultHandler handler) -> void;
    auto sendOnce(const HttpCall &call, Milliseconds wait, Milliseconds timeout, bool isRetryable, ResultHandler handler) -> void;
    auto listPage(const std::string &kind, StoreQuery query, PageHandler handler) -> void;

    EventLoop &loop_;
    const WireDialect &adapter_;
    const std::string address_;
    ClientPool pool_;
    HttpClient client_;
    Counts counts_;
    std::map<std::string, std::uint64_t> callsByKind_;
    std::optional<BootTime> lostSince_;
};

} // namespace poplardock
