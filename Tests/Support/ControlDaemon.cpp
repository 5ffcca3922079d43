#include "Support/ControlDaemon.h"

#include <thread>

namespace poplardock {

ControlDaemon::ControlDaemon(const FakePlatform &platform, const std::string &name, std::uint64_t seed)
    : store(platform.address(), name, { 1000, 1000 })
    , state(name)
    , loader(store, state, peers)
    , watcher(store, state, loader, peers, seed)
    , committer(store, state, loader, name, seed)
    , exchange(state, watcher, peers, seed)
    , editor(state, committer, exchange, seed)
{
    ControlRoutes::addPeerRoutes(router, exchange, loader, state);
    ControlRoutes::addOperatorRoutes(router, editor, state);
    service
        = *HttpService::start("127.0.0.1:0", {}, [this](Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) {
              router.handle(request, response);
          });
    const Member self { name, service->address(), "dc1", "r1", 1, {}, "vm-" + name };
    membership = std::make_unique<Membership>(store, state, watcher, committer, exchange, self, seed);
}

ControlDaemon::~ControlDaemon()
{
    kill();
}

auto ControlDaemon::run() -> absl::Status
{
    absl::Status joined = membership->join(Clock::now() + std::chrono::seconds(30));
    watcher.start();
    exchange.start();
    editor.start();
    membership->start();
    return joined;
}

auto ControlDaemon::stopThreads() -> void
{
    membership->stop();
    editor.stop();
    exchange.stop();
    watcher.stop();
}

auto ControlDaemon::kill() -> void
{
    stopThreads();
    service->stop();
}

auto ControlDaemon::revision() const -> std::uint64_t
{
    return state.current()->revision;
}

auto eventually(const std::function<bool()> &condition) -> bool
{
    const TimePoint limit = Clock::now() + std::chrono::seconds(60);
    while (!condition()) {
        if (Clock::now() > limit) {
            return false;
        }
        std::this_thread::sleep_for(Milliseconds(10));
    }
    return true;
}

auto sampleConfiguration() -> Configuration::Data
{
    Configuration::Data data;
    data.defaultClass = "chat";
    data.teams = { { "bench", 10, 20, { { "bench-1", std::string(64, 'a'), false } } } };
    data.classes = { { "chat", WorkKind::Online, 990, 43 }, { "sheets", WorkKind::Batch, 0, 0 } };
    data.upstreams = { { "m1", "127.0.0.1:9001", "models", UpstreamKind::Model, { "tiny" }, "secret", "dc1", false },
                       { "s1", "127.0.0.1:9002", "spools", UpstreamKind::Service, {}, "", "dc1", false } };
    data.routes = { { "/spools", "spools", "chat", true, false } };
    return data;
}

} // namespace poplardock
