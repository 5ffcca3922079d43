#include "Process/Settings.h"

#include <Poco/Net/SocketAddress.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <toml++/toml.h>

#include <fstream>
#include <set>
#include <sstream>
#include <vector>

namespace poplardock {

namespace {

constexpr std::int64_t MAX_SIZE = 1024;
constexpr std::int64_t MAX_THREADS = 10000;
/// The store's call limit for the whole fleet.
constexpr std::int64_t MAX_STORE_CALLS_PER_SECOND = 2000;

/// Reads typed values from a TOML document and collects all errors with their lines, so that they are reported at once.
class SettingsReader
{
public:
    SettingsReader(const toml::table &document, std::string file)
        : document_(document)
        , file_(std::move(file))
    {
    }

    auto readString(const char *section, const char *key, bool isRequired, std::string &target) -> void
    {
        const toml::node *node = find(section, key, isRequired);
        if (node == nullptr) {
            return;
        }
        const auto value = node->value_exact<std::string>();
        if (!value || (isRequired && value->empty())) {
            addError(node, section, key, "a non-empty string is expected");
            return;
        }
        target = *value;
    }

    auto readAddress(const char *section, const char *key, std::string &target) -> void
    {
        readString(section, key, true, target);
        if (target.empty()) {
            return;
        }
        try {
            static_cast<void>(Poco::Net::SocketAddress(target));
        } catch (const Poco::Exception &) {
            addError(find(section, key, true), section, key, "\"IP:port\" is expected");
        }
    }

    auto readInteger(const char *section, const char *key, std::int64_t minimum, std::int64_t maximum, int &target) -> void
    {
        const toml::node *node = find(section, key, false);
        if (node == nullptr) {
            return;
        }
        const auto value = node->value_exact<std::int64_t>();
        if (!value || *value < minimum || *value > maximum) {
            addError(node, section, key, absl::StrCat("an integer from ", minimum, " to ", maximum, " is expected"));
            return;
        }
        target = static_cast<int>(*value);
    }

    auto readLevel(const char *section, const char *key, std::string &target) -> void
    {
        readString(section, key, false, target);
        static const std::set<std::string> LEVELS = { "debug", "info", "warning", "error" };
        if (!LEVELS.contains(target)) {
            addError(find(section, key, false), section, key, "debug, info, warning or error is expected");
        }
    }

    auto reportUnknownKeys() -> void
    {
        for (const auto &[section, node] : document_) {
            const std::string sectionName(section.str());
            const toml::table *table = node.as_table();
            if (!knownSections_.contains(sectionName) || table == nullptr) {
                errors_.push_back(absl::StrCat(file_, ":", node.source().begin.line, ": ", sectionName, ": unknown section or key"));
                continue;
            }
            for (const auto &[key, value] : *table) {
                if (!knownKeys_.contains(absl::StrCat(sectionName, ".", std::string(key.str())))) {
                    errors_.push_back(absl::StrCat(
                        file_, ":", value.source().begin.line, ": ", sectionName, ".", std::string(key.str()), ": unknown key"));
                }
            }
        }
    }

    [[nodiscard]] auto errors() const -> const std::vector<std::string> &
    {
        return errors_;
    }

private:
    auto find(const char *section, const char *key, bool isRequired) -> const toml::node *
    {
        knownSections_.insert(section);
        knownKeys_.insert(absl::StrCat(section, ".", key));
        const toml::table *table = document_[section].as_table();
        const toml::node *node = table == nullptr ? nullptr : table->get(key);
        if (node == nullptr && isRequired) {
            addError(table, section, key, "the key is missing");
        }
        return node;
    }

    auto addError(const toml::node *node, const char *section, const char *key, const std::string &expected) -> void
    {
        const auto line = node == nullptr ? 1 : node->source().begin.line;
        errors_.push_back(absl::StrCat(file_, ":", line, ": ", section, ".", key, ": ", expected));
    }

    const toml::table &document_;
    const std::string file_;
    std::set<std::string> knownSections_;
    std::set<std::string> knownKeys_;
    std::vector<std::string> errors_;
};

} // namespace

auto Settings::load(const std::string &file) -> absl::StatusOr<Settings>
{
    std::ifstream stream(file);
    if (!stream) {
        return absl::NotFoundError(absl::StrCat(file, ":1: the file cannot be read"));
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return parse(text.str(), file);
}

auto Settings::parse(const std::string &text, const std::string &file) -> absl::StatusOr<Settings>
{
    toml::table document;
    try {
        document = toml::parse(text, file);
    } catch (const toml::parse_error &error) {
        return absl::InvalidArgumentError(absl::StrCat(file, ":", error.source().begin.line, ": ", std::string(error.description())));
    }
    Settings settings;
    SettingsReader reader(document, file);
    reader.readString("daemon", "name", true, settings.name);
    reader.readString("daemon", "data_centre", true, settings.dataCentre);
    reader.readString("daemon", "region", true, settings.region);
    reader.readInteger("daemon", "size", 1, MAX_SIZE, settings.size);
    reader.readString("daemon", "vm", false, settings.vm);
    reader.readAddress("listen", "callers", settings.callersAddress);
    reader.readAddress("listen", "peers", settings.peersAddress);
    reader.readAddress("listen", "operators", settings.operatorsAddress);
    reader.readAddress("platform", "address", settings.platformAddress);
    reader.readInteger("platform", "calls_per_second", 2, MAX_STORE_CALLS_PER_SECOND, settings.storeCallsPerSecond);
    reader.readInteger("workers", "online", 1, MAX_THREADS, settings.onlineThreads);
    reader.readInteger("workers", "batch", 1, MAX_THREADS, settings.batchThreads);
    reader.readLevel("log", "level", settings.logLevel);
    reader.readString("log", "admissions", false, settings.admissionLogFile);
    reader.reportUnknownKeys();
    if (!reader.errors().empty()) {
        return absl::InvalidArgumentError(absl::StrJoin(reader.errors(), "\n"));
    }
    return settings;
}

} // namespace poplardock
