#pragma once

#include <cstdint>
#include <string>

namespace poplardock {

enum class WorkKind
{
    Online,
    Batch,
};

/// A class of work and its latency targets. Batch classes have none; each job has its own due time.
struct ServiceClass
{
    std::string name;
    WorkKind kind = WorkKind::Online;
    /// Target for the 95th percentile of the time to first token, in milliseconds.
    std::int64_t firstTokenMs = 0;
    /// Target for the 95th percentile of the gap between tokens, in milliseconds.
    std::int64_t tokenGapMs = 0;

    auto operator==(const ServiceClass &) const -> bool = default;
};

} // namespace poplardock
