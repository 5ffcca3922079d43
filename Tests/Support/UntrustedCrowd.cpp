#include "Support/UntrustedCrowd.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>

namespace poplardock {

namespace {

constexpr Milliseconds CONNECT_TIME { 20000 };
constexpr std::size_t PIECE_BYTES = 16U << 10U;
constexpr int PIECES_PER_TURN = 4;

auto residentBytes(pid_t pid) -> std::uint64_t
{
    std::ifstream file(absl::StrCat("/proc/", pid, "/status"));
    std::string line;
    while (std::getline(file, line)) {
        if (absl::StartsWith(line, "VmRSS:")) {
            const std::vector<std::string> words = absl::StrSplit(line, absl::ByAnyChar(" \t"), absl::SkipEmpty());
            std::uint64_t kilobytes = 0;
            return words.size() > 1 && absl::SimpleAtoi(words[1], &kilobytes) ? kilobytes << 10U : 0;
        }
    }
    return 0;
}

auto unreadBytes(const std::set<std::string> &ports) -> std::uint64_t
{
    std::uint64_t total = 0;
    std::ifstream file("/proc/net/tcp");
    std::string line;
    std::getline(file, line);
    while (std::getline(file, line)) {
        // Columns: number, local address, remote address, state, bytes to send and to read.
        const std::vector<std::string> words = absl::StrSplit(line, ' ', absl::SkipEmpty());
        constexpr const char *LISTENING = "0A";
        if (words.size() < 5 || words[3] == LISTENING || !ports.contains(words[1].substr(words[1].find(':') + 1))) {
            continue;
        }
        std::uint64_t unread = 0;
        if (absl::SimpleHexAtoi(words[4].substr(words[4].find(':') + 1), &unread)) {
            total += unread;
        }
    }
    return total;
}

} // namespace

auto measureProcess(pid_t pid, const std::vector<std::string> &addresses) -> ProcessUse
{
    ProcessUse use;
    use.residentBytes = residentBytes(pid);
    std::set<std::string> ports;
    for (const std::string &address : addresses) {
        int port = 0;
        static_cast<void>(absl::SimpleAtoi(address.substr(address.find(':') + 1), &port));
        ports.insert(absl::StrFormat("%04X", port));
    }
    use.unreadBytes = unreadBytes(ports);
    std::error_code error;
    for (const auto &entry : std::filesystem::directory_iterator(absl::StrCat("/proc/", pid, "/fd"), error)) {
        static_cast<void>(entry);
        ++use.descriptors;
    }
    return use;
}

UntrustedCrowd::UntrustedCrowd(EventLoop &loop, Plan plan)
    : loop_(loop)
    , plan_(std::move(plan))
    , clients_(static_cast<std::size_t>(plan_.clients))
{
    for (std::size_t client = 0; client < clients_.size(); ++client) {
        const auto take = [this, client, alive = std::weak_ptr<bool>(alive_)](const std::shared_ptr<Channel> &channel) {
            if (channel == nullptr || alive.expired()) {
                return;
            }
            clients_[client].channel = channel;
            channel->setDrainHandler([this, client] { sendMore(client); });
            channel->start([](std::string_view /*answer*/) {}, [](ChannelEnd /*end*/) {});
            channel->send(plan_.head(static_cast<int>(client)));
            sendMore(client);
        };
        Channel::connect(loop_, plan_.address, BootClock::now() + CONNECT_TIME, {}, take);
    }
}

UntrustedCrowd::~UntrustedCrowd()
{
    for (const Client &client : clients_) {
        if (client.channel != nullptr) {
            client.channel->abort();
        }
    }
}

auto UntrustedCrowd::sentBytes() const -> std::uint64_t
{
    return sentBytes_;
}

auto UntrustedCrowd::sendMore(std::size_t number) -> void
{
    Client &client = clients_[number];
    for (int pieces = 0; client.channel->isOpen() && client.channel->queuedBytes() == 0 && !client.isDone; ++pieces) {
        if (pieces == PIECES_PER_TURN) {
            client.channel->post([this, number, alive = std::weak_ptr<bool>(alive_)] {
                if (!alive.expired()) {
                    sendMore(number);
                }
            });
            return;
        }
        if (client.position == plan_.body.size()) {
            client.position = 0;
            ++client.repeat;
        }
        if (client.repeat == plan_.repeats) {
            client.isDone = true;
            client.channel->send(plan_.tail);
            return;
        }
        const std::string_view piece = std::string_view(plan_.body).substr(client.position, PIECE_BYTES);
        client.position += piece.size();
        sentBytes_ += piece.size();
        client.channel->send(piece);
    }
}

} // namespace poplardock
