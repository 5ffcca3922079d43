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

constexpr std::int64_t MAXIMUM_SIZE = 1024;
constexpr std::int64_t MAXIMUM_THREADS = 10000;
/// The whole fleet's limit of the store.
constexpr std::int64_t MAXIMUM_CALLS_PER_SECOND = 2000;

/// Reads typed values out of one TOML document and collects every fault with its line.
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
            addFault(node, section, key, "a string that is not empty is expected");
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
            addFault(find(section, key, true), section, key, "\"IP:port\" is expected");
        }
    }

    auto readInteger(const char *section, const char *key, std::int64_t lowest, std::int64_t highest, int &target) -> void
    {
        const toml::node *node = find(section, key, false);
        if (node == nullptr) {
            return;
        }
        const auto value = node->value_exact<std::int64_t>();
        if (!value || *value < lowest || *value > highest) {
            addFault(node, section, key, absl::StrCat("an integer from ", lowest, " to ", highest, " is expected"));
            return;
        }
        target = static_cast<int>(*value);
    }

    auto readLevel(const char *section, const char *key, std::string &target) -> void
    {
        readString(section, key, false, target);
        static const std::set<std::string> LEVELS = { "debug", "info", "warning", "error" };
        if (!LEVELS.contains(target)) {
            addFault(find(section, key, false), section, key, "debug, info, warning or error is expected");
        }
    }

    auto reportUnknownKeys() -> void
    {
        for (const auto &[section, node] : document_) {
            const std::string sectionName(section.str());
            const toml::table *table = node.as_table();
            if (!sections_.contains(sectionName) || table == nullptr) {
                faults_.push_back(absl::StrCat(file_, ":", node.source().begin.line, ": ", sectionName, ": unknown section or key"));
                continue;
            }
            for (const auto &[key, value] : *table) {
                if (!known_.contains(absl::StrCat(sectionName, ".", std::string(key.str())))) {
                    faults_.push_back(absl::StrCat(
                        file_, ":", value.source().begin.line, ": ", sectionName, ".", std::string(key.str()), ": unknown key"));
                }
            }
        }
    }

    [[nodiscard]] auto faults() const -> const std::vector<std::string> &
    {
        return faults_;
    }

private:
    auto find(const char *section, const char *key, bool isRequired) -> const toml::node *
    {
        sections_.insert(section);
        known_.insert(absl::StrCat(section, ".", key));
        const toml::table *table = document_[section].as_table();
        const toml::node *node = table == nullptr ? nullptr : table->get(key);
        if (node == nullptr && isRequired) {
            addFault(table, section, key, "the key is missing");
        }
        return node;
    }

    auto addFault(const toml::node *node, const char *section, const char *key, const std::string &expected) -> void
    {
        const auto line = node == nullptr ? 1 : node->source().begin.line;
        faults_.push_back(absl::StrCat(file_, ":", line, ": ", section, ".", key, ": ", expected));
    }

    const toml::table &document_;
    const std::string file_;
    std::set<std::string> sections_;
    std::set<std::string> known_;
    std::vector<std::string> faults_;
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
    reader.readInteger("daemon", "size", 1, MAXIMUM_SIZE, settings.size);
    reader.readString("daemon", "vm", false, settings.vm);
    reader.readAddress("listen", "callers", settings.callersAddress);
    reader.readAddress("listen", "peers", settings.peersAddress);
    reader.readAddress("listen", "operators", settings.operatorsAddress);
    reader.readAddress("platform", "address", settings.platformAddress);
    reader.readInteger("platform", "calls_per_second", 2, MAXIMUM_CALLS_PER_SECOND, settings.storeCallsPerSecond);
    reader.readInteger("workers", "online", 1, MAXIMUM_THREADS, settings.onlineThreads);
    reader.readInteger("workers", "batch", 1, MAXIMUM_THREADS, settings.batchThreads);
    reader.readLevel("log", "level", settings.logLevel);
    reader.readString("log", "admissions", false, settings.admissionLogFile);
    reader.reportUnknownKeys();
    if (!reader.faults().empty()) {
        return absl::InvalidArgumentError(absl::StrJoin(reader.faults(), "\n"));
    }
    return settings;
}

} // namespace poplardock
