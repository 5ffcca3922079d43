#include "Version/MemberTable.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace poplardock {

namespace {

auto memberFromJson(const JsonObject &object) -> absl::StatusOr<Member>
{
    Member member;
    const auto name = Json::requireString(object, "name");
    const auto address = Json::requireString(object, "address");
    const auto dataCentre = Json::optionalString(object, "data_centre", "");
    const auto region = Json::optionalString(object, "region", "");
    const auto size = Json::optionalInteger(object, "size", 1);
    const auto incarnation = Json::requireString(object, "incarnation");
    const auto vm = Json::optionalString(object, "vm", "");
    for (const absl::Status &status :
         { name.status(), address.status(), dataCentre.status(), region.status(), size.status(), incarnation.status(), vm.status() }) {
        if (!status.ok()) {
            return status;
        }
    }
    return Member { *name, *address, *dataCentre, *region, static_cast<int>(*size), *incarnation, *vm };
}

auto toJson(const Member &member) -> JsonObject::Ptr
{
    JsonObject::Ptr object = new JsonObject;
    object->set("name", member.name);
    object->set("address", member.address);
    object->set("data_centre", member.dataCentre);
    object->set("region", member.region);
    object->set("size", member.size);
    object->set("incarnation", member.incarnation);
    object->set("vm", member.vm);
    return object;
}

/// Finalizer of splitmix64: spreads the low-entropy differences between member names over all bits.
auto mix(std::uint64_t value) -> std::uint64_t
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

} // namespace

auto stableHash(std::string_view text) -> std::uint64_t
{
    // FNV-1a, 64 bits.
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : text) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    }
    return mix(hash);
}

auto MemberTable::create(std::vector<Member> members) -> absl::StatusOr<MemberTable>
{
    std::sort(members.begin(), members.end(), [](const Member &left, const Member &right) { return left.name < right.name; });
    for (std::size_t index = 0; index < members.size(); ++index) {
        if (members[index].name.empty() || members[index].address.empty() || members[index].incarnation.empty()) {
            return absl::InvalidArgumentError("a member needs name, address and incarnation");
        }
        if (index > 0 && members[index].name == members[index - 1].name) {
            return absl::InvalidArgumentError(absl::StrCat("member \"", members[index].name, "\" occurs twice"));
        }
    }
    MemberTable table;
    table.members_ = std::move(members);
    return table;
}

auto MemberTable::fromJson(const JsonObject &object) -> absl::StatusOr<MemberTable>
{
    const auto objects = Json::optionalObjects(object, "members");
    if (!objects.ok()) {
        return objects.status();
    }
    std::vector<Member> members;
    for (const JsonObject::Ptr &item : *objects) {
        auto member = memberFromJson(*item);
        if (!member.ok()) {
            return member.status();
        }
        members.push_back(*std::move(member));
    }
    return create(std::move(members));
}

auto MemberTable::toJson() const -> JsonObject::Ptr
{
    JsonArray::Ptr array = new JsonArray;
    for (const Member &member : members_) {
        array->add(poplardock::toJson(member));
    }
    JsonObject::Ptr object = new JsonObject;
    object->set("members", array);
    return object;
}

auto MemberTable::members() const -> const std::vector<Member> &
{
    return members_;
}

auto MemberTable::find(const std::string &name) const -> const Member *
{
    const auto found = std::find_if(members_.begin(), members_.end(), [&name](const Member &member) { return member.name == name; });
    return found == members_.end() ? nullptr : &*found;
}

auto MemberTable::with(const Member &member) const -> MemberTable
{
    MemberTable table = without(member.name);
    const auto position
        = std::lower_bound(table.members_.begin(), table.members_.end(), member, [](const Member &left, const Member &right) {
              return left.name < right.name;
          });
    table.members_.insert(position, member);
    return table;
}

auto MemberTable::without(const std::string &name) const -> MemberTable
{
    MemberTable table = *this;
    std::erase_if(table.members_, [&name](const Member &member) { return member.name == name; });
    return table;
}

auto MemberTable::homeOf(const std::string &key, const std::string &region) const -> const Member *
{
    const Member *home = nullptr;
    std::uint64_t highest = 0;
    const std::uint64_t keyHash = stableHash(key);
    for (const Member &member : members_) {
        if (!region.empty() && member.region != region) {
            continue;
        }
        const std::uint64_t score = mix(stableHash(member.name) ^ keyHash);
        if (home == nullptr || score > highest) {
            home = &member;
            highest = score;
        }
    }
    return home;
}

} // namespace poplardock
