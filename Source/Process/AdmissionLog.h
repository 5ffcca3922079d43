#pragma once

#include "Process/Clock.h"

#include <absl/status/statusor.h>

#include <fstream>
#include <memory>
#include <mutex>
#include <string>

namespace poplardock {

/// Appends a line "TEAM NANOSECONDS" for each token spent. The timestamps come from the monotonic clock, which all
/// processes of a VM share, so the logs of several daemons on one VM can be merged and checked against the allowance.
/// Used by tests and audits. Thread-safe.
class AdmissionLog
{
public:
    /// Errors: InvalidArgument when the file cannot be opened for appending.
    static auto open(const std::string &file) -> absl::StatusOr<std::unique_ptr<AdmissionLog>>;

    auto record(const std::string &team, TimePoint spentAt) -> void;

private:
    explicit AdmissionLog(std::ofstream stream);

    std::mutex mutex_;
    std::ofstream stream_;
};

} // namespace poplardock
