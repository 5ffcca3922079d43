#include "Connection/ClientPool.h"

#include <algorithm>
#include <functional>

namespace poplardock {

namespace {

constexpr Milliseconds SWEEP_PERIOD { 1000 };

} // namespace

struct ClientPool::Idle
{
    std::map<std::string, std::vector<std::shared_ptr<ClientChannel>>> byName;

    auto remove(const std::string &name, const ClientChannel *channel) -> void
    {
        const auto found = byName.find(name);
        if (found == byName.end()) {
            return;
        }
        std::erase_if(found->second, [channel](const auto &each) { return each.get() == channel; });
        if (found->second.empty()) {
            byName.erase(found);
        }
    }
};

ClientPool::ClientPool(EventLoop &loop, Options options)
    : loop_(loop)
    , options_(options)
    , idle_(std::make_shared<Idle>())
{
    sweep_ = loop_.every(SWEEP_PERIOD, [this] {
        const BootTime now = BootClock::now();
        for (auto entry = idle_->byName.begin(); entry != idle_->byName.end();) {
            std::erase_if(entry->second, [now, this](const auto &channel) {
                return now >= channel->usableUntil() || now >= channel->idleSince() + options_.idleTime;
            });
            entry = entry->second.empty() ? idle_->byName.erase(entry) : std::next(entry);
        }
    });
}

ClientPool::~ClientPool() = default;

auto ClientPool::acquire(const std::string &name,
                         const std::string &address,
                         Milliseconds freshness,
                         const std::optional<std::string> &requestId,
                         Handler handler) -> bool
{
    const BootTime now = BootClock::now();
    const auto found = idle_->byName.find(name);
    if (found != idle_->byName.end()) {
        auto &channels = found->second;
        const auto isUsable = [now, freshness](const std::shared_ptr<ClientChannel> &channel) {
            return channel->isReusable() && now < channel->usableUntil() && now <= channel->idleSince() + freshness;
        };
        std::erase_if(channels, std::not_fn(isUsable));
        const auto latest = std::find_if(channels.rbegin(), channels.rend(), [&requestId](const auto &channel) {
            return !requestId || !channel->hasCarried(*requestId);
        });
        const auto channel = latest == channels.rend() ? nullptr : *latest;
        std::erase(channels, channel);
        if (channels.empty()) {
            idle_->byName.erase(found);
        }
        if (channel != nullptr) {
            handler(channel);
            return true;
        }
    }
    ++connectCount_;
    const auto take = [idle = std::weak_ptr<Idle>(idle_), name, handler = std::move(handler)](const std::shared_ptr<Channel> &channel) {
        if (channel == nullptr) {
            handler(nullptr);
            return;
        }
        auto self = std::make_shared<std::weak_ptr<ClientChannel>>();
        auto client = std::make_shared<ClientChannel>(channel, [idle, name, self] {
            const auto pool = idle.lock();
            const auto ended = self->lock();
            if (pool != nullptr && ended != nullptr) {
                pool->remove(name, ended.get());
            }
        });
        *self = client;
        client->start();
        handler(client);
    };
    Channel::connect(loop_, address, now + options_.connectTime, options_.patience, take);
    return false;
}

auto ClientPool::release(const std::string &name, const std::shared_ptr<ClientChannel> &channel) -> void
{
    if (channel->isReusable()) {
        idle_->byName[name].push_back(channel);
    }
}

auto ClientPool::drop(const std::string &name) -> void
{
    idle_->byName.erase(name);
}

auto ClientPool::connectCount() const -> std::uint64_t
{
    return connectCount_;
}

} // namespace poplardock
