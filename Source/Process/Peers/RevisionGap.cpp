#include "Process/Peers/RevisionGap.h"

namespace poplardock {

auto RevisionGap::record(std::uint64_t named, std::uint64_t own, const std::string &address, BootTime now) -> void
{
    if (named < highest_) {
        return;
    }
    if (highest_ <= own && named > own) {
        since_ = now;
    }
    highest_ = named;
    address_ = address;
}

auto RevisionGap::since(std::uint64_t own) const -> std::optional<BootTime>
{
    return highest_ > own ? std::optional(since_) : std::nullopt;
}

auto RevisionGap::highest() const -> std::uint64_t
{
    return highest_;
}

auto RevisionGap::address() const -> const std::string &
{
    return address_;
}

} // namespace poplardock
