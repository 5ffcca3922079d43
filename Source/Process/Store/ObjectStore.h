#pragma once

#include "Connection/HttpClient.h"
#include "Connection/WireDialect.h"

#include <absl/status/statusor.h>

#include <functional>
#include <map>

namespace poplardock {

/// Calls to the platform's store from an event loop.
///
/// Errors of all calls: NotFound; AlreadyExists (create); Aborted (the conditional update lost); OutOfRange (the
/// history of a watch is gone); Unavailable (refused or not sent: nothing was done); Unknown (no answer: a write
/// may have been done, or may be done later); InvalidArgument (the store or this process cannot read the other).
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
    using EventsHandler = std::function<void(const absl::StatusOr<StoreEvents> &)>;
    using DoneHandler = std::function<void(const absl::Status &)>;

    /// The dialect must outlive the store. Shape of the address: "IP:port".
    ObjectStore(EventLoop &loop, const WireDialect &dialect, std::string address);

    auto read(const std::string &kind, const std::string &name, ObjectHandler handler) -> void;
    /// Reads all pages of a kind. The revision is that of the first page.
    auto listAll(const std::string &kind, bool allowsStale, ListHandler handler) -> void;
    /// Waits for changes after a revision, for "wait" at most.
    auto watch(const std::string &kind, std::uint64_t revision, Milliseconds wait, EventsHandler handler) -> void;
    /// Gives the object as it was stored.
    auto create(const StoredObject &object, ObjectHandler handler) -> void;
    /// Replaces the object on the condition that it still has the argument's version; gives the new object.
    auto replace(const StoredObject &object, ObjectHandler handler) -> void;
    auto remove(const std::string &kind, const std::string &name, DoneHandler handler) -> void;
    /// A write that the dialect has encoded.
    auto write(const HttpCall &call, DoneHandler handler) -> void;

    [[nodiscard]] auto counts() const -> const Counts &;
    /// Calls by what they do and the kind they concern, for example "watch servers".
    [[nodiscard]] auto callsByKind() const -> const std::map<std::string, std::uint64_t> &;
    /// Start of the present time without contact; unset while calls succeed.
    [[nodiscard]] auto lostSince() const -> std::optional<BootTime>;

private:
    using ResultHandler = std::function<void(const absl::StatusOr<HttpResult> &)>;

    auto send(const HttpCall &call, Milliseconds patience, ResultHandler handler) -> void;
    auto sendOnce(const HttpCall &call, Milliseconds patience, bool mayRepeat, ResultHandler handler) -> void;
    auto listPage(const std::string &kind, StoreQuery query, std::shared_ptr<StoreList> found, ListHandler handler) -> void;

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
