#pragma once

#include <absl/strings/string_view.h>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace poplardock {

/// One value of a log line.
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

/// Structured lines "TIME event=NAME field=value ..." on standard output, one for each decision that touches a
/// request or changes a belief. Lines are kept in a bounded buffer and written when the output takes them; what
/// does not fit is dropped and counted, so that a slow reader never holds up a request.
/// Precondition: no field holds a caller's key.
/// Thread safety: one thread. The methods are static since each process has one log.
class EventLog
{
public:
    static auto write(absl::string_view event, std::initializer_list<LogField> fields) -> void;
    /// Writes buffered lines as far as the output takes them without blocking; called from a timer and at stop.
    static auto flush() -> void;
    /// Lines that were dropped since the start.
    [[nodiscard]] static auto droppedLineCount() -> std::uint64_t;
};

} // namespace poplardock
