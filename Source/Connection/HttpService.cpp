#include "Connection/HttpService.h"

#include "Connection/HttpReply.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <absl/strings/str_cat.h>

#include <csignal>

namespace poplardock {

namespace {

constexpr int ACCEPT_BACKLOG = 512;
/// POCO drops a connection that sends nothing for this long.
constexpr int RECEIVE_TIMEOUT_SECONDS = 30;
constexpr int KEEP_ALIVE_SECONDS = 15;
constexpr int STACK_BYTES = 512 * 1024;

class FunctionHandler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit FunctionHandler(const HttpService::Handler &handler)
        : handler_(handler)
    {
    }

    auto handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) -> void override
    {
        try {
            handler_(request, response);
        } catch (const std::exception &exception) {
            response.setKeepAlive(false);
            if (!response.sent()) {
                HttpReply::sendError(response, { ResultCode::Internal, {} });
            }
        }
    }

private:
    const HttpService::Handler &handler_;
};

class FunctionHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit FunctionHandlerFactory(HttpService::Handler handler)
        : handler_(std::move(handler))
    {
    }

    auto createRequestHandler(const Poco::Net::HTTPServerRequest &) -> Poco::Net::HTTPRequestHandler * override
    {
        return new FunctionHandler(handler_);
    }

private:
    const HttpService::Handler handler_;
};

auto makeParameters(HttpService::Options options) -> Poco::Net::HTTPServerParams::Ptr
{
    Poco::Net::HTTPServerParams::Ptr parameters = new Poco::Net::HTTPServerParams;
    parameters->setMaxThreads(options.threads);
    parameters->setMaxQueued(options.queue);
    parameters->setKeepAlive(true);
    parameters->setKeepAliveTimeout(Poco::Timespan(KEEP_ALIVE_SECONDS, 0));
    parameters->setTimeout(Poco::Timespan(RECEIVE_TIMEOUT_SECONDS, 0));
    return parameters;
}

} // namespace

HttpService::HttpService(const Poco::Net::ServerSocket &socket, Options options, Handler handler)
    : socket_(socket)
    , pool_(2, options.threads + 1, 60, STACK_BYTES)
    , server_(
          std::make_unique<Poco::Net::HTTPServer>(new FunctionHandlerFactory(std::move(handler)), pool_, socket_, makeParameters(options)))
{
    server_->start();
}

HttpService::~HttpService()
{
    stop();
}

auto HttpService::start(const std::string &address, Options options, Handler handler) -> absl::StatusOr<std::unique_ptr<HttpService>>
{
    try {
        // A write to a connection that the peer has closed must be an error and not end the process.
        static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
        const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress(address), ACCEPT_BACKLOG);
        return std::unique_ptr<HttpService>(new HttpService(socket, options, std::move(handler)));
    } catch (const Poco::Exception &exception) {
        return absl::UnavailableError(absl::StrCat("cannot listen on ", address, ": ", exception.displayText()));
    }
}

auto HttpService::address() const -> std::string
{
    return socket_.address().toString();
}

auto HttpService::currentConnections() const -> int
{
    return server_->currentConnections();
}

auto HttpService::stopAccepting() -> void
{
    server_->stop();
}

auto HttpService::stop() -> void
{
    if (stopped_) {
        return;
    }
    stopped_ = true;
    server_->stopAll(true);
    pool_.joinAll();
}

} // namespace poplardock
