#include "Connection/Io/Channel.h"
#include "Connection/Io/DatagramSocket.h"
#include "Connection/Io/Listener.h"
#include "Support/FreePort.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

#include <stdexcept>

namespace poplardock {

BOOST_AUTO_TEST_SUITE(EventLoopSuite)

// Guards against a process that ends by an exception of one task, and against sockets that stay deaf after one.
BOOST_AUTO_TEST_CASE(AnExceptionEndsNeitherTheLoopNorASocket)
{
    constexpr Milliseconds TEST_TIME { 3000 };
    EventLoop loop;
    std::vector<std::string> failures;
    loop.setExceptionHandler([&failures](std::string_view reason) { failures.emplace_back(reason); });
    const Timer limit = loop.at(BootClock::now() + TEST_TIME, [&loop] { loop.stop(); });

    int calls = 0;
    const Timer periodic = loop.every(Milliseconds(10), [&calls] {
        if (++calls == 1) {
            throw std::runtime_error("timer");
        }
    });
    loop.post([] { throw std::out_of_range("task"); });

    int datagrams = 0;
    const std::string datagramAddress = absl::StrCat("127.0.0.1:", freePort());
    auto receiver = DatagramSocket::open(loop, datagramAddress, [&datagrams](const std::string &, std::string_view) {
        if (++datagrams == 1) {
            throw std::runtime_error("datagram");
        }
    });
    BOOST_REQUIRE(receiver.ok());
    auto sender = DatagramSocket::open(loop, absl::StrCat("127.0.0.1:", freePort()), [](const std::string &, std::string_view) {});
    BOOST_REQUIRE(sender.ok());
    const Timer sending = loop.every(Milliseconds(20), [&] { (*sender)->sendTo(datagramAddress, "x"); });

    std::vector<std::shared_ptr<Channel>> accepted;
    std::vector<std::shared_ptr<Channel>> connected;
    int ends = 0;
    int bytes = 0;
    auto listener = Listener::open(loop, "127.0.0.1:0", [&](const std::shared_ptr<Channel> &channel) {
        accepted.push_back(channel);
        const std::size_t number = accepted.size();
        channel->start(
            [&bytes, number](std::string_view data) {
                if (number == 1) {
                    throw std::runtime_error("data");
                }
                bytes += static_cast<int>(data.size());
            },
            [&ends](ChannelEnd) { ++ends; });
        if (number == 2) {
            throw std::runtime_error("accept");
        }
    });
    BOOST_REQUIRE(listener.ok());
    for (int index = 0; index < 3; ++index) {
        Channel::connect(loop, (*listener)->address(), BootClock::now() + TEST_TIME, {}, [&connected](std::shared_ptr<Channel> channel) {
            BOOST_REQUIRE(channel != nullptr);
            channel->send("y");
            connected.push_back(std::move(channel));
        });
    }
    const Timer check = loop.every(Milliseconds(10), [&] {
        if (calls > 2 && datagrams > 1 && ends == 1 && bytes == 2) {
            loop.stop();
        }
    });
    loop.run();
    BOOST_TEST(calls > 2);
    BOOST_TEST(datagrams > 1);
    // The connection whose bytes could not be handled is ended, so that its owner is not left waiting.
    BOOST_TEST(ends == 1);
    BOOST_TEST(bytes == 2);
    std::sort(failures.begin(), failures.end());
    const std::vector<std::string> expected { "accept", "data", "datagram", "task", "timer" };
    BOOST_TEST(failures == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
