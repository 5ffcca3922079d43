#pragma once

#include "Process/Json.h"
#include "Version/Member.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace poplardock {

/// The members of the fleet, sorted by name. Immutable; safe to read from any thread.
class MemberTable
{
public:
    MemberTable() = default;
    /// Errors: InvalidArgument when a name occurs twice or a field is missing.
    static auto create(std::vector<Member> members) -> absl::StatusOr<MemberTable>;
    static auto fromJson(const JsonObject &object) -> absl::StatusOr<MemberTable>;
    [[nodiscard]] auto toJson() const -> JsonObject::Ptr;

    [[nodiscard]] auto members() const -> const std::vector<Member> &;
    /// Null if no member has that name.
    [[nodiscard]] auto find(const std::string &name) const -> const Member *;
    /// A copy with the member added, or replaced if one has that name.
    [[nodiscard]] auto with(const Member &member) const -> MemberTable;
    [[nodiscard]] auto without(const std::string &name) const -> MemberTable;

    /// The home of a key: the member of the region that rendezvous hashing selects for it. Scores depend only on the
    /// key and the member's name: a restarted member stays the home of its keys, and adding or removing one of n
    /// members moves 1/n of the keys. An empty region stands for all members. Null if the region has no members.
    [[nodiscard]] auto homeOf(const std::string &key, const std::string &region) const -> const Member *;

    auto operator==(const MemberTable &) const -> bool = default;

private:
    std::vector<Member> members_;
};

/// A 64-bit hash that is the same in every process and build; it determines homes and shards.
auto stableHash(std::string_view text) -> std::uint64_t;

} // namespace poplardock
