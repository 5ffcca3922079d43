#include "CaseRecord.h"

namespace poplardock::review {

CaseRecord::CaseRecord(const std::string &file)
    : stream_(file)
    , startedAt_(BootClock::now())
{
}

auto CaseRecord::write(std::string_view line) -> void
{
    stream_ << static_cast<std::int64_t>(millisecondsBetween(startedAt_, BootClock::now())) << " ms  " << line << std::endl;
}

} // namespace poplardock::review
