#include "Process/CommandLine.h"

#include "Process/Json.h"

#include <Poco/SHA2Engine.h>
#include <Poco/URI.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <cxxopts.hpp>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <sstream>

namespace poplardock {

namespace {

constexpr const char *KEY_VARIABLE = "POPLARDOCK_KEY";
constexpr const char *DEFAULT_OPERATORS_ADDRESS = "127.0.0.1:8300";
constexpr const char *DEFAULT_CALLERS_ADDRESS = "127.0.0.1:8100";

using Parsed = cxxopts::ParseResult;
using Result = absl::StatusOr<Command>;

auto environmentKey() -> std::string
{
    // The command line is parsed before any thread starts. NOLINTNEXTLINE(concurrency-mt-unsafe)
    const char *value = std::getenv(KEY_VARIABLE);
    return value == nullptr ? std::string() : std::string(value);
}

auto text(const Parsed &parsed, const std::string &option) -> std::string
{
    return parsed.count(option) == 0 ? std::string() : parsed[option].as<std::string>();
}

auto encoded(const std::string &segment) -> std::string
{
    std::string result;
    Poco::URI::encode(segment, "/?#", result);
    return result;
}

auto readFile(const std::string &file) -> absl::StatusOr<std::string>
{
    std::ifstream stream(file);
    if (!stream) {
        return absl::InvalidArgumentError(absl::StrCat(file, " cannot be read"));
    }
    std::ostringstream content;
    content << stream.rdbuf();
    return content.str();
}

auto toCallers(const Parsed &parsed, const std::string &method, const std::string &path, const std::string &body) -> HttpCommand
{
    HttpCommand command;
    command.address = parsed["callers"].as<std::string>();
    command.method = method;
    command.path = path;
    command.body = body;
    command.key = environmentKey();
    return command;
}

auto toOperators(const Parsed &parsed, const std::string &method, const std::string &path, const std::string &body) -> HttpCommand
{
    HttpCommand command;
    command.address = parsed["operators"].as<std::string>();
    command.method = method;
    command.path = path;
    command.body = body;
    return command;
}

auto parseChat(const Parsed &parsed) -> Result
{
    JsonObject::Ptr message = new JsonObject;
    message->set("role", "user");
    message->set("content", text(parsed, "text"));
    JsonArray::Ptr messages = new JsonArray;
    messages->add(message);
    JsonObject body;
    body.set("model", text(parsed, "model"));
    body.set("messages", messages);
    body.set("stream", parsed.count("stream") != 0);
    HttpCommand command = toCallers(parsed, "POST", "/v1/chat/completions", Json::toText(body));
    command.serviceClass = text(parsed, "class");
    command.isStream = parsed.count("stream") != 0;
    return command;
}

auto parseCall(const Parsed &parsed) -> Result
{
    HttpCommand command = toCallers(parsed, parsed["method"].as<std::string>(), text(parsed, "path"), text(parsed, "body"));
    command.idempotencyKey = text(parsed, "idempotency-key");
    return command;
}

auto parseJobSubmit(const Parsed &parsed) -> Result
{
    const auto body = readFile(text(parsed, "file"));
    if (!body.ok()) {
        return body.status();
    }
    return toCallers(parsed, "POST", "/v1/jobs", *body);
}

auto parseJobStatus(const Parsed &parsed) -> Result
{
    return toCallers(parsed, "GET", absl::StrCat("/v1/jobs/", encoded(text(parsed, "job"))), {});
}

auto parseJobResults(const Parsed &parsed) -> Result
{
    const std::string path = absl::StrCat("/v1/jobs/", encoded(text(parsed, "job")), "/results?from=", parsed["from"].as<std::int64_t>());
    return toCallers(parsed, "GET", path, {});
}

auto parseJobCancel(const Parsed &parsed) -> Result
{
    return toCallers(parsed, "POST", absl::StrCat("/v1/jobs/", encoded(text(parsed, "job")), "/cancel"), {});
}

auto parseDump(const Parsed &parsed) -> Result
{
    return toOperators(parsed, "GET", "/dump", {});
}

auto parseConfigShow(const Parsed &parsed) -> Result
{
    return toOperators(parsed, "GET", "/config", {});
}

auto parseConfigApply(const Parsed &parsed) -> Result
{
    ApplyCommand command;
    command.address = parsed["operators"].as<std::string>();
    command.file = text(parsed, "file");
    if (parsed.count("expected") != 0) {
        command.expectedRevision = parsed["expected"].as<std::uint64_t>();
    }
    return command;
}

auto parseTeamSet(const Parsed &parsed) -> Result
{
    JsonObject body;
    body.set("rate_per_second", parsed["rate"].as<double>());
    body.set("burst", parsed["burst"].as<double>());
    return toOperators(parsed, "PUT", absl::StrCat("/config/teams/", encoded(text(parsed, "team"))), Json::toText(body));
}

auto parseClassSet(const Parsed &parsed) -> Result
{
    JsonObject body;
    body.set("first_token_ms", parsed["first-token-ms"].as<std::int64_t>());
    body.set("token_gap_ms", parsed["token-gap-ms"].as<std::int64_t>());
    return toOperators(parsed, "PUT", absl::StrCat("/config/classes/", encoded(text(parsed, "class"))), Json::toText(body));
}

auto parseKeyAdd(const Parsed &parsed) -> Result
{
    const std::string key = environmentKey();
    if (key.empty()) {
        return absl::InvalidArgumentError("the new key is expected in the environment variable POPLARDOCK_KEY");
    }
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    engine.update(key);
    JsonObject body;
    body.set("team", text(parsed, "team"));
    body.set("id", text(parsed, "id"));
    body.set("sha256", Poco::DigestEngine::digestToHex(engine.digest()));
    return toOperators(parsed, "POST", "/config/keys", Json::toText(body));
}

auto parseKeyWithdraw(const Parsed &parsed) -> Result
{
    return toOperators(parsed, "POST", absl::StrCat("/config/keys/", encoded(text(parsed, "id")), "/withdraw"), {});
}

auto parseUpstreamLeave(const Parsed &parsed) -> Result
{
    return toOperators(parsed, "POST", absl::StrCat("/config/upstreams/", encoded(text(parsed, "upstream")), "/leave"), {});
}

auto parseMemberRemove(const Parsed &parsed) -> Result
{
    return toOperators(parsed, "POST", absl::StrCat("/members/", encoded(text(parsed, "member")), "/remove"), {});
}

enum class Target
{
    None,
    Callers,
    Operators,
};

/// An option of a command; the type follows from the function that adds it.
struct OptionSpecification
{
    std::string name;
    std::string help;
    std::shared_ptr<cxxopts::Value> value;
    bool isRequired = false;
};

struct CommandSpecification
{
    std::string name;
    std::string help;
    Target target = Target::None;
    std::vector<OptionSpecification> options;
    /// Names of options that may be given by position.
    std::vector<std::string> positional;
    std::function<Result(const Parsed &)> parse;
};

auto required(const char *name, const char *help) -> OptionSpecification
{
    return { name, help, cxxopts::value<std::string>(), true };
}

auto optional(const char *name, const char *help) -> OptionSpecification
{
    return { name, help, cxxopts::value<std::string>(), false };
}

template<typename Value>
auto typed(const char *name, const char *help, bool isRequired) -> OptionSpecification
{
    return { name, help, cxxopts::value<Value>(), isRequired };
}

auto settingsOption() -> OptionSpecification
{
    return required("settings", "TOML file with the settings of the daemon");
}

auto platformCommand(const char *name, const char *help, PlatformCommand::Action action) -> CommandSpecification
{
    return { name,
             help,
             Target::None,
             { optional("settings", "settings file in the platform's format; its usual place if not given") },
             {},
             [action](const Parsed &parsed) -> Result {
                 return PlatformCommand { action, text(parsed, "settings") };
             } };
}

auto commands() -> std::vector<CommandSpecification>
{
    const OptionSpecification job = required("job", "key of the job");
    return {
        { "serve",
          "run a daemon",
          Target::None,
          { settingsOption() },
          {},
          [](const Parsed &parsed) -> Result {
              return ServeCommand { text(parsed, "settings") };
          } },
        { "check",
          "check a settings file",
          Target::None,
          { settingsOption() },
          {},
          [](const Parsed &parsed) -> Result {
              return CheckCommand { text(parsed, "settings") };
          } },
        platformCommand("front", "run a daemon for callers on the users' platform", PlatformCommand::Action::Front),
        platformCommand("store", "run a daemon on a VM with a disk of the users' platform", PlatformCommand::Action::Store),
        platformCommand("check-platform", "check a settings file of the users' platform", PlatformCommand::Action::Check),
        { "dump", "print the state of a daemon", Target::Operators, {}, {}, parseDump },
        { "chat",
          "ask a model; the key is taken from POPLARDOCK_KEY",
          Target::Callers,
          { required("model", "name of the model"),
            optional("class", "class of work"),
            { "stream", "print tokens as they arrive", cxxopts::value<bool>(), false },
            required("text", "text of the message") },
          { "text" },
          parseChat },
        { "call",
          "call a plain service; the key is taken from POPLARDOCK_KEY",
          Target::Callers,
          { { "method", "HTTP method", cxxopts::value<std::string>()->default_value("POST"), false },
            required("path", "path of the service"),
            optional("body", "body of the request"),
            optional("idempotency-key", "key that makes the call run at most once") },
          { "path" },
          parseCall },
        { "job submit", "submit a job", Target::Callers, { required("file", "JSON file with the job") }, { "file" }, parseJobSubmit },
        { "job status", "print the state of a job", Target::Callers, { job }, { "job" }, parseJobStatus },
        { "job results",
          "print results of a job",
          Target::Callers,
          { job, { "from", "number of the first item", cxxopts::value<std::int64_t>()->default_value("0"), false } },
          { "job" },
          parseJobResults },
        { "job cancel", "cancel a job", Target::Callers, { job }, { "job" }, parseJobCancel },
        { "config show", "print the configuration in force", Target::Operators, {}, {}, parseConfigShow },
        { "config apply",
          "put a configuration in force",
          Target::Operators,
          { required("file", "TOML or JSON file"),
            typed<std::uint64_t>("expected", "configuration revision the change was made against", false) },
          { "file" },
          parseConfigApply },
        { "team set",
          "set the allowance of a team",
          Target::Operators,
          { required("team", "name of the team"),
            typed<double>("rate", "requests per second", true),
            typed<double>("burst", "requests", true) },
          { "team" },
          parseTeamSet },
        { "class set",
          "set the target of a class",
          Target::Operators,
          { required("class", "name of the class"),
            typed<std::int64_t>("first-token-ms", "time to the first token", true),
            typed<std::int64_t>("token-gap-ms", "time between tokens", true) },
          { "class" },
          parseClassSet },
        { "key add",
          "grant a key, taken from POPLARDOCK_KEY, to a team",
          Target::Operators,
          { required("team", "name of the team"), required("id", "id of the key, for withdrawing it") },
          { "team", "id" },
          parseKeyAdd },
        { "key withdraw", "withdraw a key", Target::Operators, { required("id", "id of the key") }, { "id" }, parseKeyWithdraw },
        { "upstream leave",
          "give an upstream no new work",
          Target::Operators,
          { required("upstream", "name of the upstream") },
          { "upstream" },
          parseUpstreamLeave },
        { "member remove",
          "remove a member whose process has ended",
          Target::Operators,
          { required("member", "name of the member") },
          { "member" },
          parseMemberRemove },
    };
}

auto overview() -> std::string
{
    std::string help = "poplardock serves online and batch inference on one fleet.\n\nUsage: poplardock COMMAND [OPTIONS]\n\n";
    for (const CommandSpecification &command : commands()) {
        absl::StrAppend(&help, "  ", command.name, std::string(16 - command.name.size(), ' '), command.help, "\n");
    }
    return help + "\nOptions of a command: poplardock COMMAND --help\nVersion: poplardock --version\n";
}

auto describeOptions(const CommandSpecification &command) -> cxxopts::Options
{
    cxxopts::Options options("poplardock " + command.name, command.help);
    options.add_options()("help", "print this help");
    if (command.target == Target::Callers) {
        options.add_options()(
            "callers", "callers address of a daemon", cxxopts::value<std::string>()->default_value(DEFAULT_CALLERS_ADDRESS));
    }
    if (command.target == Target::Operators) {
        options.add_options()(
            "operators", "operators address of a daemon", cxxopts::value<std::string>()->default_value(DEFAULT_OPERATORS_ADDRESS));
    }
    for (const OptionSpecification &option : command.options) {
        options.add_options()(option.name, option.help, option.value);
    }
    if (!command.positional.empty()) {
        options.parse_positional(command.positional);
        options.positional_help(absl::StrJoin(command.positional, " "));
    }
    return options;
}

auto parseCommand(const CommandSpecification &command, const std::vector<std::string> &words) -> Result
{
    cxxopts::Options options = describeOptions(command);
    std::vector<const char *> arguments { "poplardock" };
    for (const std::string &word : words) {
        arguments.push_back(word.c_str());
    }
    try {
        const Parsed parsed = options.parse(static_cast<int>(arguments.size()), arguments.data());
        if (parsed.count("help") != 0) {
            return PrintCommand { options.help() };
        }
        if (!parsed.unmatched().empty()) {
            return absl::InvalidArgumentError(absl::StrCat("unexpected argument \"", parsed.unmatched().front(), "\""));
        }
        for (const OptionSpecification &option : command.options) {
            if (option.isRequired && parsed.count(option.name) == 0) {
                return absl::InvalidArgumentError(absl::StrCat("--", option.name, " is missing\n", options.help()));
            }
        }
        return command.parse(parsed);
    } catch (const cxxopts::exceptions::exception &exception) {
        return absl::InvalidArgumentError(absl::StrCat(exception.what(), "\n", options.help()));
    }
}

} // namespace

auto parseCommandLine(const std::vector<std::string> &words) -> absl::StatusOr<Command>
{
    if (words.empty()) {
        return absl::InvalidArgumentError(overview());
    }
    if (words.front() == "--help" || words.front() == "help") {
        return PrintCommand { overview() };
    }
    if (words.front() == "--version") {
        return PrintCommand { absl::StrCat("poplardock ", POPLARDOCK_VERSION, "\n") };
    }
    const std::string two = words.size() > 1 ? absl::StrCat(words[0], " ", words[1]) : std::string();
    for (const CommandSpecification &command : commands()) {
        if (command.name == words.front()) {
            return parseCommand(command, { words.begin() + 1, words.end() });
        }
        if (command.name == two) {
            return parseCommand(command, { words.begin() + 2, words.end() });
        }
    }
    return absl::InvalidArgumentError(absl::StrCat("unknown command \"", absl::StrJoin(words, " "), "\"\n\n", overview()));
}

} // namespace poplardock
