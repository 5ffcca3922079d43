#include "Connection/HttpService.h"

#include "Process/Log.h"

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/SocketImpl.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <absl/strings/str_cat.h>

#include <array>
#include <csignal>
#include <linux/filter.h>
#include <sys/socket.h>

namespace poplardock {

namespace {

constexpr Milliseconds DRAIN_CHECK_INTERVAL { 5 };
/// Longest wait for a connection before the accepting thread looks whether it is to stop.
constexpr int ACCEPT_WAIT_MS = 100;
/// Pause after a failed accept, for example without free file descriptors.
constexpr Milliseconds ACCEPT_RETRY_WAIT { 50 };
/// Time for a handshake that has begun to complete: several round trips between data centres (3 ms in a region).
constexpr Milliseconds HANDSHAKE_TIME { 100 };
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

/// Makes the kernel ignore new handshakes, while those that have begun complete. A caller that is ignored sends its SYN
/// again after a second, and is refused when the socket is closed by then. Without this, a connection that completes between the
/// last accept and the close is reset.
auto ignoreNewHandshakes(const Poco::Net::ServerSocket &socket) -> void
{
    constexpr std::uint32_t FLAGS_OFFSET = 13;
    constexpr std::uint32_t FLAG_SYN = 0x02;
    constexpr std::uint32_t WHOLE_PACKET = 0xFFFFFFFF;
    std::array<sock_filter, 4> program { {
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, FLAGS_OFFSET),
        BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, FLAG_SYN, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, 0),
        BPF_STMT(BPF_RET | BPF_K, WHOLE_PACKET),
    } };
    const sock_fprog filter { static_cast<unsigned short>(program.size()), program.data() };
    if (::setsockopt(socket.impl()->sockfd(), SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter) != 0) {
        Log::warning(Part::Process, "Connections may be reset in this shutdown: the kernel takes no filter for new ones.");
    }
}

/// Not inlined, and with nothing but calls to POCO: Meta/thread-sanitizer.supp names this function, as POCO's counts of references
/// look like races.
[[gnu::noinline]] auto acceptInto(Poco::Net::TCPServerDispatcher &dispatcher, Poco::Net::ServerSocket &socket) -> void
{
    Poco::Net::StreamSocket connection = socket.acceptConnection();
    connection.setNoDelay(true);
    dispatcher.enqueue(connection);
}

} // namespace

HttpService::HttpService(const Poco::Net::ServerSocket &socket, Options options, Handler handler)
    : handler_(std::move(handler))
    , socket_(socket)
    , address_(socket.address().toString())
    , pool_(2, options.threads + 1, THREAD_IDLE_SECONDS, STACK_BYTES)
{
    const Poco::Net::HTTPServerParams::Ptr parameters = makeParameters(options);
    dispatcher_ = new Poco::Net::TCPServerDispatcher(
        new HttpConnectionFactory(parameters, handler_, registry_), pool_, Poco::Net::TCPServerParams::Ptr(parameters));
    acceptingThread_ = std::jthread([this](const std::stop_token &stop) { acceptConnections(stop); });
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
    return address_;
}

auto HttpService::openConnections() const -> int
{
    return registry_.count();
}

auto HttpService::acceptConnections(const std::stop_token &stop) -> void
{
    while (true) {
        const bool isStopping = stop.stop_requested();
        if (isStopping && Clock::now() >= acceptDeadline_) {
            return;
        }
        try {
            const Poco::Timespan wait(isStopping ? 0 : ACCEPT_WAIT_MS * 1000);
            if (socket_.poll(wait, Poco::Net::Socket::SELECT_READ)) {
                acceptInto(*dispatcher_, socket_);
                ++acceptedConnections_;
            } else if (isStopping) {
                return;
            }
        } catch (const Poco::Exception &) {
            std::this_thread::sleep_for(ACCEPT_RETRY_WAIT);
        }
    }
}

auto HttpService::stopAccepting(TimePoint deadline) -> void
{
    if (!acceptingThread_.joinable()) {
        return;
    }
    acceptDeadline_ = deadline;
    acceptingThread_.request_stop();
    acceptingThread_.join();
    socket_.close();
}

auto HttpService::hasConnections() const -> bool
{
    // A connection that a thread is just taking from the queue is neither queued nor current yet.
    return dispatcher_->totalConnections() + dispatcher_->refusedConnections() < acceptedConnections_
           || dispatcher_->currentConnections() > 0;
}

auto HttpService::drain(TimePoint deadline) -> void
{
    // Idle connections give their threads up to connections that wait for one.
    registry_.drain();
    if (acceptingThread_.joinable()) {
        ignoreNewHandshakes(socket_);
        std::this_thread::sleep_for(HANDSHAKE_TIME);
        stopAccepting(deadline);
    }
    while (hasConnections() && Clock::now() < deadline) {
        registry_.drain();
        std::this_thread::sleep_for(DRAIN_CHECK_INTERVAL);
    }
}

auto HttpService::stop() -> void
{
    if (stopped_) {
        return;
    }
    stopped_ = true;
    stopAccepting({});
    dispatcher_->stop();
    registry_.abort();
    pool_.joinAll();
}

} // namespace poplardock
