#include "Process/CommandRunner.h"

#include "Process/Daemon.h"
#include "Process/Json.h"
#include "Process/JsonClient.h"
#include "Process/Log.h"
#include "Process/Settings.h"
#include "Process/TomlDocument.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace poplardock {

namespace {

constexpr Milliseconds OPERATOR_TIMEOUT { 15000 };
constexpr int CALL_TIMEOUT_SECONDS = 600;

/// Runs each kind of command; the result is the exit code.
class CommandVisitor
{
public:
    explicit CommandVisitor(const std::function<int(const PlatformCommand &)> &runOnPlatform)
        : runOnPlatform_(runOnPlatform)
    {
    }

    auto operator()(const PrintCommand &command) const -> int
    {
        std::cout << command.text;
        return EXIT_DONE;
    }

    auto operator()(const CheckCommand &command) const -> int
    {
        const auto settings = Settings::load(command.settingsFile);
        if (!settings.ok()) {
            std::cerr << settings.status().message() << '\n';
            return EXIT_INVALID;
        }
        std::cout << command.settingsFile << ": valid\n";
        return EXIT_DONE;
    }

    auto operator()(const ServeCommand &command) const -> int
    {
        const auto settings = Settings::load(command.settingsFile);
        if (!settings.ok()) {
            std::cerr << settings.status().message() << '\n';
            return EXIT_INVALID;
        }
        if (const absl::Status status = Log::configure(settings->logLevel); !status.ok()) {
            std::cerr << status.message() << '\n';
            return EXIT_INVALID;
        }
        return runDaemon(*settings);
    }

    auto operator()(const HttpCommand &command) const -> int
    {
        try {
            return exchange(command);
        } catch (const Poco::Exception &exception) {
            std::cerr << "no answer from " << command.address << ": " << exception.displayText() << '\n';
            return EXIT_REFUSED;
        }
    }

    auto operator()(const PlatformCommand &command) const -> int
    {
        return runOnPlatform_(command);
    }

    auto operator()(const ApplyCommand &command) const -> int
    {
        const auto body = documentOf(command.file);
        if (!body.ok()) {
            std::cerr << body.status().message() << '\n';
            return EXIT_INVALID;
        }
        const auto expected = command.expectedRevision ? *command.expectedRevision : revisionInForce(command.address);
        if (!expected.ok()) {
            std::cerr << expected.status().message() << '\n';
            return EXIT_REFUSED;
        }
        HttpCommand call;
        call.address = command.address;
        call.method = "PUT";
        call.path = absl::StrCat("/config?expected=", *expected);
        call.body = *body;
        return (*this)(call);
    }

private:
    const std::function<int(const PlatformCommand &)> &runOnPlatform_;

    static auto exchange(const HttpCommand &command) -> int
    {
        Poco::Net::HTTPClientSession session { Poco::Net::SocketAddress(command.address) };
        session.setTimeout(Poco::Timespan(CALL_TIMEOUT_SECONDS, 0));
        Poco::Net::HTTPRequest request(command.method, command.path, Poco::Net::HTTPMessage::HTTP_1_1);
        request.setContentType("application/json");
        request.setContentLength(static_cast<std::streamsize>(command.body.size()));
        const auto setIfGiven = [&request](const char *name, const std::string &value) {
            if (!value.empty()) {
                request.set(name, value);
            }
        };
        setIfGiven("Authorization", command.key.empty() ? std::string() : "Bearer " + command.key);
        setIfGiven("Service-Class", command.serviceClass);
        setIfGiven("Idempotency-Key", command.idempotencyKey);
        session.sendRequest(request) << command.body << std::flush;
        Poco::Net::HTTPResponse response;
        std::istream &stream = session.receiveResponse(response);
        const bool isSuccess = response.getStatus() < Poco::Net::HTTPResponse::HTTP_BAD_REQUEST;
        std::ostream &output = isSuccess ? std::cout : std::cerr;
        std::string line;
        while (std::getline(stream, line)) {
            output << line << std::endl;
        }
        return isSuccess ? EXIT_DONE : EXIT_REFUSED;
    }

    static auto documentOf(const std::string &file) -> absl::StatusOr<std::string>
    {
        std::ifstream stream(file);
        if (!stream) {
            return absl::NotFoundError(absl::StrCat(file, " cannot be read"));
        }
        std::ostringstream text;
        text << stream.rdbuf();
        return absl::EndsWith(file, ".json") ? absl::StatusOr<std::string>(text.str()) : jsonFromToml(text.str(), file);
    }

    static auto revisionInForce(const std::string &address) -> absl::StatusOr<std::uint64_t>
    {
        JsonClient client(address);
        const CallResult result = client.call({ "GET", "/config", {}, {}, OPERATOR_TIMEOUT });
        const auto *answer = std::get_if<HttpResponse>(&result);
        if (answer == nullptr || answer->status != 200) {
            return absl::UnavailableError(absl::StrCat("no configuration from ", address));
        }
        const auto object = Json::parseObject(answer->body);
        const auto revision = object.ok() ? Json::requireInteger(**object, "configuration_revision") : object.status();
        if (!revision.ok()) {
            return revision.status();
        }
        return static_cast<std::uint64_t>(*revision);
    }
};

} // namespace

auto runCommand(const Command &command, const std::function<int(const PlatformCommand &)> &runOnPlatform) -> int
{
    return std::visit(CommandVisitor(runOnPlatform), command);
}

} // namespace poplardock
