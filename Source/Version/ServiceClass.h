#pragma once

#include <cstdint>
#include <string>

namespace poplardock {

enum class WorkKind
{
    Online,
    Batch,
};

/// A class of work and its target. Batch classes have no latency target; a job carries its own due time.
struct ServiceClass
{
    std::string name;
    WorkKind kind = WorkKind::Online;
    /// Target for the time to the first token, in milliseconds, for 95 in 100 requests.
    std::int64_t firstTokenMs = 0;
    /// Target for the gap between tokens, in milliseconds, for 95 in 100 gaps.
    std::int64_t tokenGapMs = 0;

    auto operator==(const ServiceClass &) const -> bool = default;
};

} // namespace poplardock
