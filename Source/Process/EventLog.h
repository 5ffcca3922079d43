#pragma once

#include <absl/strings/string_view.h>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace poplardock {

/// One field of a log line, with its value formatted as text.
struct LogField
{
    LogField(absl::string_view fieldName, absl::string_view text);
    LogField(absl::string_view fieldName, std::string_view text);
    LogField(absl::string_view fieldName, const char *text);
    LogField(absl::string_view fieldName, const std::string &text);
    LogField(absl::string_view fieldName, std::int64_t number);
    LogField(absl::string_view fieldName, std::uint64_t number);
    LogField(absl::string_view fieldName, int number);
    LogField(absl::string_view fieldName, double number);
    LogField(absl::string_view fieldName, bool flag);

    absl::string_view name;
    std::string value;
};

/// Structured log on standard output: one line "TIME event=NAME field=value ..." for each decision that affects a
/// request or changes the daemon's view of the fleet. Lines go through a bounded buffer, which is written as far as
/// the output accepts it without blocking; lines that do not fit are dropped and counted, so that a slow reader of
/// the output never delays a request.
/// Precondition: no field holds a caller's key.
/// Thread safety: one thread. The methods are static since each process has one log.
class EventLog
{
public:
    static auto write(absl::string_view event, std::initializer_list<LogField> fields) -> void;
    /// Writes buffered lines as far as the output accepts them without blocking; called from a timer and at shutdown.
    static auto flush() -> void;
    /// Number of lines dropped since the process started.
    [[nodiscard]] static auto droppedLineCount() -> std::uint64_t;
};

} // namespace poplardock
