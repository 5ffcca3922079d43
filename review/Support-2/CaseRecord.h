#pragma once

#include "Process/Clock.h"

#include <fstream>
#include <string>
#include <string_view>

namespace poplardock::review {

/// The record of a case: what was sent, answered and run, one line each, with the milliseconds since the start.
class CaseRecord
{
public:
    explicit CaseRecord(const std::string &file);

    auto write(std::string_view line) -> void;

private:
    std::ofstream stream_;
    const BootTime startedAt_;
};

} // namespace poplardock::review
