#include "Process/Log.h"

#include <absl/strings/str_cat.h>
#include <easylogging++.h>

#include <string>

INITIALIZE_EASYLOGGINGPP

namespace poplardock {

namespace {

auto prefixOf(Part part) -> const char *
{
    switch (part) {
    case Part::Process:
        return "[process] ";
    case Part::Settings:
        return "[settings] ";
    case Part::Platform:
        return "[platform] ";
    case Part::Version:
        return "[version] ";
    case Part::Member:
        return "[member] ";
    case Part::Peer:
        return "[peer] ";
    case Part::Allowance:
        return "[allowance] ";
    case Part::Online:
        return "[online] ";
    case Part::Upstream:
        return "[upstream] ";
    case Part::Batch:
        return "[batch] ";
    case Part::Operator:
        return "[operator] ";
    case Part::Cli:
        return "[cli] ";
    }
    return "[process] ";
}

auto formatLine(Part part, std::string_view text) -> std::string
{
    return absl::StrCat(prefixOf(part), absl::string_view(text.data(), text.size()));
}

} // namespace

auto Log::configure(std::string_view level) -> absl::Status
{
    const bool isKnownLevel = level == "debug" || level == "info" || level == "warning" || level == "error";
    if (!isKnownLevel) {
        return absl::InvalidArgumentError("log level must be debug, info, warning or error");
    }
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.setGlobally(el::ConfigurationType::Format, "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    configuration.set(el::Level::Debug, el::ConfigurationType::Enabled, level == "debug" ? "true" : "false");
    configuration.set(el::Level::Info, el::ConfigurationType::Enabled, level == "debug" || level == "info" ? "true" : "false");
    configuration.set(el::Level::Warning, el::ConfigurationType::Enabled, level == "error" ? "false" : "true");
    el::Loggers::reconfigureAllLoggers(configuration);
    return absl::OkStatus();
}

auto Log::debug(Part part, std::string_view text) -> void
{
    LOG(DEBUG) << formatLine(part, text);
}

auto Log::info(Part part, std::string_view text) -> void
{
    LOG(INFO) << formatLine(part, text);
}

auto Log::warning(Part part, std::string_view text) -> void
{
    LOG(WARNING) << formatLine(part, text);
}

auto Log::error(Part part, std::string_view text) -> void
{
    LOG(ERROR) << formatLine(part, text);
}

} // namespace poplardock
