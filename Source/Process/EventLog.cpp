#include "Process/EventLog.h"

#include "Process/Clock.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace poplardock {

namespace {

/// Holds the lines of about one second at peak load. A larger buffer would only postpone the first dropped line.
constexpr std::size_t MAX_BUFFER_BYTES = 256U << 10U;
/// A pipe that poll() reports as writable accepts this much (PIPE_BUF) without blocking.
constexpr std::size_t MAX_WRITE_BYTES = 4096;

struct LogState
{
    std::string buffer;
    std::uint64_t totalDropped = 0;
    /// Those of totalDropped that "log_dropped" lines have already reported.
    std::uint64_t totalReported = 0;
};

auto state() -> LogState &
{
    static LogState instance;
    return instance;
}

auto needsQuotes(absl::string_view text) -> bool
{
    return text.empty() || std::any_of(text.begin(), text.end(), [](char c) { return c <= ' ' || c == '"' || c == '='; });
}

auto appendValue(std::string &line, absl::string_view value) -> void
{
    if (!needsQuotes(value)) {
        absl::StrAppend(&line, value);
        return;
    }
    line += '"';
    for (const char c : value) {
        line += c == '"' || c < ' ' ? '\'' : c;
    }
    line += '"';
}

auto canWrite() -> bool
{
    pollfd output { STDOUT_FILENO, POLLOUT, 0 };
    return poll(&output, 1, 0) > 0 && (output.revents & POLLOUT) != 0;
}

} // namespace

LogField::LogField(absl::string_view fieldName, absl::string_view text)
    : name(fieldName)
    , value(text)
{
}

LogField::LogField(absl::string_view fieldName, std::string_view text)
    : name(fieldName)
    , value(text)
{
}

LogField::LogField(absl::string_view fieldName, const char *text)
    : name(fieldName)
    , value(text)
{
}

LogField::LogField(absl::string_view fieldName, const std::string &text)
    : name(fieldName)
    , value(text)
{
}

LogField::LogField(absl::string_view fieldName, std::int64_t number)
    : name(fieldName)
    , value(absl::StrCat(number))
{
}

LogField::LogField(absl::string_view fieldName, std::uint64_t number)
    : name(fieldName)
    , value(absl::StrCat(number))
{
}

LogField::LogField(absl::string_view fieldName, int number)
    : name(fieldName)
    , value(absl::StrCat(number))
{
}

LogField::LogField(absl::string_view fieldName, double number)
    : name(fieldName)
    , value(absl::StrFormat("%.1f", number))
{
}

LogField::LogField(absl::string_view fieldName, bool flag)
    : name(fieldName)
    , value(flag ? "yes" : "no")
{
}

auto EventLog::write(absl::string_view event, std::initializer_list<LogField> fields) -> void
{
    LogState &log = state();
    if (log.buffer.size() > MAX_BUFFER_BYTES) {
        ++log.totalDropped;
        return;
    }
    const auto now = std::chrono::duration_cast<Milliseconds>(WallClock::now().time_since_epoch()).count();
    constexpr std::int64_t MS_PER_SECOND = 1000;
    absl::StrAppendFormat(&log.buffer, "%d.%03d event=%s", now / MS_PER_SECOND, now % MS_PER_SECOND, event);
    for (const LogField &field : fields) {
        absl::StrAppend(&log.buffer, " ", field.name, "=");
        appendValue(log.buffer, field.value);
    }
    log.buffer += '\n';
}

auto EventLog::flush() -> void
{
    LogState &log = state();
    if (log.totalDropped > log.totalReported && log.buffer.size() <= MAX_BUFFER_BYTES) {
        const std::uint64_t newlyDropped = log.totalDropped - log.totalReported;
        log.totalReported = log.totalDropped;
        write("log_dropped", { { "lines", newlyDropped } });
    }
    std::size_t written = 0;
    while (written < log.buffer.size() && canWrite()) {
        const ssize_t count = ::write(STDOUT_FILENO, log.buffer.data() + written, std::min(MAX_WRITE_BYTES, log.buffer.size() - written));
        if (count <= 0) {
            break;
        }
        written += static_cast<std::size_t>(count);
    }
    log.buffer.erase(0, written);
}

auto EventLog::droppedLineCount() -> std::uint64_t
{
    return state().totalDropped;
}

} // namespace poplardock
