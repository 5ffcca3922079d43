#pragma once

#include "Process/Clock.h"

#include <fstream>
#include <string>

namespace poplardock::review {

/// The record of one run of a case: a line for each thing that was sent, answered or run, with the time since the start.
/// Thread safety: one thread.
class Record
{
public:
    /// Replaces the file.
    explicit Record(const std::string &file);

    auto write(const std::string &line) -> void;
    /// Time since the start.
    [[nodiscard]] auto elapsed() const -> Milliseconds;

private:
    BootTime startedAt_;
    std::ofstream file_;
};

/// Whether the case plays its disruption: all values of the variable TROUBLE but "0", and none at all.
auto playsTrouble() -> bool;

} // namespace poplardock::review
