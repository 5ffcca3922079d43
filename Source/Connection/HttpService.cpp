#include "Connection/HttpService.h"

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <absl/strings/str_cat.h>

#include <csignal>
#include <thread>

namespace poplardock {

namespace {

constexpr Milliseconds QUEUE_CHECK_INTERVAL { 5 };
constexpr int ACCEPT_BACKLOG = 512;
/// A connection that sends nothing for this long in the middle of a request is dropped.
constexpr int RECEIVE_TIMEOUT_SECONDS = 30;
constexpr int KEEP_ALIVE_SECONDS = 15;
constexpr int THREAD_IDLE_SECONDS = 60;
/// 300 open streams at the default of 8 MB would be counted as 2.4 GB of address space.
constexpr int STACK_BYTES = 512 * 1024;

class HttpConnectionFactory : public Poco::Net::TCPServerConnectionFactory
{
public:
    HttpConnectionFactory(Poco::Net::HTTPServerParams::Ptr parameters, const HttpHandler &handler, HttpConnectionRegistry &registry)
        : parameters_(std::move(parameters))
        , handler_(handler)
        , registry_(registry)
    {
    }

    auto createConnection(const Poco::Net::StreamSocket &socket) -> Poco::Net::TCPServerConnection * override
    {
        return new HttpConnection(socket, parameters_, handler_, registry_);
    }

private:
    const Poco::Net::HTTPServerParams::Ptr parameters_;
    const HttpHandler &handler_;
    HttpConnectionRegistry &registry_;
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
    : handler_(std::move(handler))
    , socket_(socket)
    , pool_(2, options.threads + 1, THREAD_IDLE_SECONDS, STACK_BYTES)
{
    const Poco::Net::HTTPServerParams::Ptr parameters = makeParameters(options);
    server_ = std::make_unique<Poco::Net::TCPServer>(
        new HttpConnectionFactory(parameters, handler_, registry_), pool_, socket_, Poco::Net::TCPServerParams::Ptr(parameters));
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

auto HttpService::openConnections() const -> int
{
    return registry_.count();
}

auto HttpService::drain(TimePoint deadline) -> void
{
    // Idle connections give their threads up. POCO's stop() drops what still waits for one.
    registry_.drain();
    while (server_->queuedConnections() > 0 && Clock::now() < deadline) {
        std::this_thread::sleep_for(QUEUE_CHECK_INTERVAL);
    }
    server_->stop();
    registry_.drain();
}

auto HttpService::stop() -> void
{
    if (stopped_) {
        return;
    }
    stopped_ = true;
    server_->stop();
    registry_.abort();
    pool_.joinAll();
}

} // namespace poplardock
