#include "Process/AdmissionLog.h"

#include <absl/strings/str_cat.h>

namespace poplardock {

AdmissionLog::AdmissionLog(std::ofstream stream)
    : stream_(std::move(stream))
{
}

auto AdmissionLog::open(const std::string &file) -> absl::StatusOr<std::unique_ptr<AdmissionLog>>
{
    std::ofstream stream(file, std::ios::app);
    if (!stream) {
        return absl::InvalidArgumentError(absl::StrCat("the admission log ", file, " cannot be opened"));
    }
    return std::unique_ptr<AdmissionLog>(new AdmissionLog(std::move(stream)));
}

auto AdmissionLog::record(const std::string &team, TimePoint spentAt) -> void
{
    const auto nanoseconds = std::chrono::duration_cast<std::chrono::nanoseconds>(spentAt.time_since_epoch()).count();
    const std::lock_guard lock(mutex_);
    // Flushes each line, since a test may kill the process at any time.
    stream_ << team << ' ' << nanoseconds << std::endl;
}

} // namespace poplardock
