#include "Record.h"

#include <absl/strings/str_format.h>

#include <cstdlib>

namespace poplardock::review {

Record::Record(const std::string &file)
    : startedAt_(BootClock::now())
    , file_(file, std::ios::trunc)
{
}

auto Record::write(const std::string &line) -> void
{
    constexpr double MS_PER_SECOND = 1000;
    file_ << absl::StrFormat("%8.3f %s\n", static_cast<double>(elapsed().count()) / MS_PER_SECOND, line) << std::flush;
}

auto Record::elapsed() const -> Milliseconds
{
    return std::chrono::duration_cast<Milliseconds>(BootClock::now() - startedAt_);
}

auto playsTrouble() -> bool
{
    // NOLINTNEXTLINE(concurrency-mt-unsafe)
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace poplardock::review
