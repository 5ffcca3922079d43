#pragma once

#include "Connection/WireDialect.h"
#include "Process/Clock.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace poplardock {

/// The evacuations that the store held at one revision, as read from it or told by another daemon.
struct EvacuationSnapshot
{
    struct Entry
    {
        std::uint64_t revision = 0;
        /// Time since the first daemon learnt of it that passed it on.
        Milliseconds age { 0 };

        auto operator==(const Entry &) const -> bool = default;
    };

    /// Revision of the store up to which all changes are known.
    std::uint64_t syncedRevision = 0;
    /// Revision of the last change that is known to have happened, and the time since the news of it.
    std::uint64_t changedRevision = 0;
    Milliseconds changeAge { 0 };
    /// By data centre.
    std::map<std::string, Entry> entries;

    auto operator==(const EvacuationSnapshot &) const -> bool = default;
};

/// The text of a snapshot, for other daemons. Precondition: names that isEvacuationName() allows. Thread-safe.
auto encodeEvacuations(const EvacuationSnapshot &snapshot) -> std::string;
/// Errors: InvalidArgument for anything that encodeEvacuations() does not write. Thread-safe.
auto decodeEvacuations(const std::string &text) -> absl::StatusOr<EvacuationSnapshot>;
/// Whether a name can stand in the text of a snapshot: not empty, of limited length, without control characters. Thread-safe.
auto isEvacuationName(const std::string &name) -> bool;

/// A data centre whose evacuation has begun or ended.
struct EvacuationChange
{
    std::string dataCentre;
    bool hasBegun = false;
    std::uint64_t revision = 0;
    /// Age of the news when it arrived here, as far as other daemons passed it on; 0 from the store.
    Milliseconds age { 0 };

    auto operator==(const EvacuationChange &) const -> bool = default;
};

/// The data centres that operators have evacuated, with the revision of the store up to which they are known. A state of an earlier
/// revision changes nothing, whether it comes from a list, a watch or another daemon.
/// Times are passed in, so that tests need no clock. Thread safety: one thread.
class EvacuationSet
{
public:
    struct Entry
    {
        std::uint64_t revision = 0;
        /// When the first daemon learnt of it that passed it on; this daemon for news from the store.
        BootTime since;
    };

    /// Names that are kept; a fleet has a handful of data centres. Further ones are ignored.
    static constexpr std::size_t MAXIMUM_NAMES = 256;

    /// Apply news of the store. Names that isEvacuationName() does not allow are ignored.
    auto applyList(const StoreList &list, BootTime now) -> std::vector<EvacuationChange>;
    /// Precondition: the events follow a list or events that have been applied.
    auto applyEvents(const StoreEvents &events, BootTime now) -> std::vector<EvacuationChange>;
    /// Applies what another daemon has told.
    auto applySnapshot(const EvacuationSnapshot &snapshot, BootTime now) -> std::vector<EvacuationChange>;

    [[nodiscard]] auto snapshot(BootTime now) const -> EvacuationSnapshot;
    [[nodiscard]] auto entries() const -> const std::map<std::string, Entry> &;
    [[nodiscard]] auto names() const -> std::set<std::string>;
    /// Highest revision at which the set is known to have changed. After the first list it is the list's, since an evacuation may have
    /// ended before, of which other daemons have not heard. 0 before.
    [[nodiscard]] auto revision() const -> std::uint64_t;
    /// Revision of the store up to which all changes are known; 0 before the first list or snapshot.
    [[nodiscard]] auto syncedRevision() const -> std::uint64_t;

private:
    auto begin(const std::string &name, std::uint64_t revision, Milliseconds age, BootTime now, std::vector<EvacuationChange> &changes)
        -> void;
    auto end(const std::string &name, std::uint64_t revision, Milliseconds age, BootTime now, std::vector<EvacuationChange> &changes)
        -> void;
    auto recordChange(std::uint64_t revision, BootTime at) -> void;

    std::map<std::string, Entry> entries_;
    std::uint64_t revision_ = 0;
    std::uint64_t syncedRevision_ = 0;
    /// When the news of the last change was first known.
    BootTime changedAt_;
};

} // namespace poplardock
