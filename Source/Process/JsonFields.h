#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <utility>

namespace poplardock::Json {

/// Moves a field that was read into its target, or records the first error in the status.
template<typename Value, typename Target>
auto assign(absl::StatusOr<Value> read, Target &target, absl::Status &status) -> void
{
    if (!read.ok()) {
        status.Update(read.status());
        return;
    }
    target = static_cast<Target>(*std::move(read));
}

} // namespace poplardock::Json
