#include "Process/Load/EvacuationSet.h"

#include "Process/BoundedTime.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace poplardock {

namespace {

constexpr std::size_t MAXIMUM_NAME_LENGTH = 256;
/// First words of a snapshot's lines.
constexpr const char *HEAD_TAG = "evacuations1";
constexpr const char *ENTRY_TAG = "e";

auto parseAge(absl::string_view text, Milliseconds &age) -> bool
{
    std::int64_t milliseconds = 0;
    const bool isValid = absl::SimpleAtoi(text, &milliseconds) && milliseconds >= 0;
    age = boundedMilliseconds(milliseconds);
    return isValid;
}

auto ageAt(BootTime time, BootTime now) -> Milliseconds
{
    return std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(now - time));
}

} // namespace

auto isEvacuationName(const std::string &name) -> bool
{
    return !name.empty() && name.size() <= MAXIMUM_NAME_LENGTH
           && std::none_of(name.begin(), name.end(), [](char each) { return absl::ascii_iscntrl(static_cast<unsigned char>(each)); });
}

auto encodeEvacuations(const EvacuationSnapshot &snapshot) -> std::string
{
    std::string text = absl::StrCat(HEAD_TAG, " ", snapshot.syncedRevision, " ", snapshot.changedRevision, " ", snapshot.changeAge.count());
    for (const auto &[name, entry] : snapshot.entries) {
        absl::StrAppend(&text, "\n", ENTRY_TAG, " ", entry.revision, " ", entry.age.count(), " ", name);
    }
    return text;
}

auto decodeEvacuations(const std::string &text) -> absl::StatusOr<EvacuationSnapshot>
{
    constexpr std::size_t WORDS = 4;
    const std::vector<absl::string_view> lines = absl::StrSplit(text, '\n');
    const std::vector<absl::string_view> head = absl::StrSplit(lines.front(), ' ');
    EvacuationSnapshot snapshot;
    if (head.size() != WORDS || head[0] != HEAD_TAG || !absl::SimpleAtoi(head[1], &snapshot.syncedRevision)
        || !absl::SimpleAtoi(head[2], &snapshot.changedRevision) || !parseAge(head[3], snapshot.changeAge)) {
        return absl::InvalidArgumentError("the evacuations have no revision");
    }
    for (std::size_t index = 1; index < lines.size(); ++index) {
        const std::vector<absl::string_view> words = absl::StrSplit(lines[index], absl::MaxSplits(' ', WORDS - 1));
        EvacuationSnapshot::Entry entry;
        if (words.size() != WORDS || words[0] != ENTRY_TAG || !absl::SimpleAtoi(words[1], &entry.revision) || !parseAge(words[2], entry.age)
            || !isEvacuationName(std::string(words[3]))) {
            return absl::InvalidArgumentError("a line of the evacuations is malformed");
        }
        snapshot.entries[std::string(words[3])] = entry;
    }
    return snapshot;
}

auto EvacuationSet::recordChange(std::uint64_t revision, BootTime at) -> void
{
    if (revision > revision_) {
        revision_ = revision;
        changedAt_ = at;
    }
}

auto EvacuationSet::begin(
    const std::string &name, std::uint64_t revision, Milliseconds age, BootTime now, std::vector<EvacuationChange> &changes) -> void
{
    const auto known = entries_.find(name);
    if (known != entries_.end()) {
        // Written again, or withdrawn and requested again unseen: the data centre is evacuated all along.
        known->second.revision = std::max(known->second.revision, revision);
        recordChange(revision, now - age);
        return;
    }
    if (!isEvacuationName(name) || entries_.size() >= MAXIMUM_NAMES) {
        return;
    }
    entries_[name] = { revision, now - age };
    recordChange(revision, now - age);
    changes.push_back({ name, true, revision, age });
}

auto EvacuationSet::end(
    const std::string &name, std::uint64_t revision, Milliseconds age, BootTime now, std::vector<EvacuationChange> &changes) -> void
{
    recordChange(revision, now - age);
    if (entries_.erase(name) > 0) {
        changes.push_back({ name, false, revision, age });
    }
}

auto EvacuationSet::applyList(const StoreList &list, BootTime now) -> std::vector<EvacuationChange>
{
    EvacuationSnapshot snapshot;
    snapshot.syncedRevision = list.revision;
    for (const StoredObject &object : list.objects) {
        snapshot.entries[object.name] = { object.version, Milliseconds(0) };
    }
    // The list does not say at which revision an evacuation has ended, only that it was gone at the list's.
    const bool hasEnded
        = std::any_of(entries_.begin(), entries_.end(), [&snapshot](const auto &each) { return !snapshot.entries.contains(each.first); });
    snapshot.changedRevision = syncedRevision_ == 0 || hasEnded ? list.revision : 0;
    return applySnapshot(snapshot, now);
}

auto EvacuationSet::applySnapshot(const EvacuationSnapshot &snapshot, BootTime now) -> std::vector<EvacuationChange>
{
    if (snapshot.syncedRevision <= syncedRevision_) {
        return {};
    }
    std::vector<EvacuationChange> changes;
    for (const auto &[name, entry] : snapshot.entries) {
        begin(name, entry.revision, entry.age, now, changes);
    }
    std::vector<std::string> ended;
    for (const auto &[name, entry] : entries_) {
        if (!snapshot.entries.contains(name)) {
            ended.push_back(name);
        }
    }
    for (const std::string &name : ended) {
        end(name, std::max(snapshot.changedRevision, entries_[name].revision), snapshot.changeAge, now, changes);
    }
    recordChange(snapshot.changedRevision, now - snapshot.changeAge);
    syncedRevision_ = snapshot.syncedRevision;
    return changes;
}

auto EvacuationSet::applyEvents(const StoreEvents &events, BootTime now) -> std::vector<EvacuationChange>
{
    std::vector<EvacuationChange> changes;
    for (const StoreEvent &event : events.events) {
        if (event.object.version <= syncedRevision_) {
            continue;
        }
        if (event.isRemoved) {
            end(event.object.name, event.object.version, Milliseconds(0), now, changes);
        } else {
            begin(event.object.name, event.object.version, Milliseconds(0), now, changes);
        }
    }
    syncedRevision_ = std::max(syncedRevision_, events.revision);
    return changes;
}

auto EvacuationSet::snapshot(BootTime now) const -> EvacuationSnapshot
{
    EvacuationSnapshot snapshot { syncedRevision_, revision_, ageAt(changedAt_, now), {} };
    for (const auto &[name, entry] : entries_) {
        snapshot.entries[name] = { entry.revision, ageAt(entry.since, now) };
    }
    return snapshot;
}

auto EvacuationSet::entries() const -> const std::map<std::string, Entry> &
{
    return entries_;
}

auto EvacuationSet::names() const -> std::set<std::string>
{
    std::set<std::string> names;
    for (const auto &[name, entry] : entries_) {
        names.insert(name);
    }
    return names;
}

auto EvacuationSet::revision() const -> std::uint64_t
{
    return revision_;
}

auto EvacuationSet::syncedRevision() const -> std::uint64_t
{
    return syncedRevision_;
}

} // namespace poplardock
