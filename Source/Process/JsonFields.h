#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <utility>

namespace poplardock::Json {

/// Moves the value of a parsed field into the target. On error the target keeps its value and the status holds the
/// first error of all assignments so far.
template<typename Value, typename Target>
auto assign(absl::StatusOr<Value> field, Target &target, absl::Status &status) -> void
{
    if (!field.ok()) {
        status.Update(field.status());
        return;
    }
    target = static_cast<Target>(*std::move(field));
}

} // namespace poplardock::Json
