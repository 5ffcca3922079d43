#include "Process/HeldBytes.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

constexpr Milliseconds PATIENCE { 1000 };
const BootTime NOW { Milliseconds(100000) };

} // namespace

BOOST_AUTO_TEST_CASE(TheLargestAndLongestHoldingIsEnded)
{
    const Holding small { 10, NOW - Milliseconds(5000) };
    const Holding large { 1000, NOW - Milliseconds(2000) };
    const Holding moving { 100000, NOW - Milliseconds(999) };
    BOOST_TEST(chooseHoldingToEnd({ small, large, moving }, NOW, PATIENCE).value() == 1U);
    BOOST_TEST(!chooseHoldingToEnd({ moving }, NOW, PATIENCE).has_value());
    BOOST_TEST(!chooseHoldingToEnd({}, NOW, PATIENCE).has_value());
}

BOOST_AUTO_TEST_CASE(LargeHoldersLeaveTheReserve)
{
    const auto account = std::make_shared<HeldBytes>(HeldBytes::Bounds { 1000, 250, 10 });
    HeldBytes::Charge large(account);
    HeldBytes::Charge other(account);
    HeldBytes::Charge small(account);
    BOOST_TEST(large.trySet(750, NOW));
    BOOST_TEST(!other.trySet(11, NOW));
    BOOST_TEST(other.bytes() == 0U);
    BOOST_TEST(small.trySet(10, NOW));
    BOOST_TEST(account->bytes() == 760U);
    BOOST_TEST(account->counts().refused == 1U);
    // A holder that shrinks is never refused.
    large.set(2000);
    BOOST_TEST(large.trySet(1500, NOW));
    BOOST_TEST(!small.trySet(11, NOW));
}

BOOST_AUTO_TEST_CASE(AChargeIsReturnedAtItsEnd)
{
    const auto account = std::make_shared<HeldBytes>(HeldBytes::Bounds { 1000, 250, 10 });
    {
        HeldBytes::Charge charge(account);
        charge.set(500);
    }
    BOOST_TEST(account->bytes() == 0U);
}

BOOST_AUTO_TEST_CASE(HoldersAreEndedUntilThereIsRoom)
{
    const auto account = std::make_shared<HeldBytes>(HeldBytes::Bounds { 1000, 250, 10 });
    std::vector<std::unique_ptr<HeldBytes::Charge>> held;
    for (int index = 0; index < 3; ++index) {
        held.push_back(std::make_unique<HeldBytes::Charge>(account));
        held.back()->set(250);
    }
    account->addHolders([&held](BootTime now) -> std::optional<HeldBytes::Candidate> {
        if (held.empty()) {
            return std::nullopt;
        }
        return HeldBytes::Candidate { { held.back()->bytes(), now - PATIENCE }, [&held] {
                                         held.pop_back();
                                     } };
    });
    HeldBytes::Charge charge(account);
    BOOST_TEST(charge.trySet(400, NOW));
    BOOST_TEST(held.size() == 1U);
    BOOST_TEST(!charge.trySet(800, NOW));
    BOOST_TEST(charge.bytes() == 400U);
    BOOST_TEST(account->counts().ended == 3U);
}

} // namespace poplardock
