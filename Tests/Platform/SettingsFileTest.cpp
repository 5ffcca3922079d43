#include "platform/SettingsFile.h"

#include <absl/strings/match.h>
#include <boost/test/unit_test.hpp>

namespace poplardock::platform {

namespace {

const std::string SETTINGS = R"(nodeName=front-a-1
serves=front,control
ipAddress=10.1.0.5
zone=east-a
region=east
listen.front=10.1.0.5:8405
listen.ready=10.1.0.5:8406
internalPorts=7660,7675
heartbeatMs=1200
bounds.revokeMs=5000
bounds.drainMs=3000
bounds.graceS=8.5
bounds.coldOverage=1.25
bounds.coldSlack=3
platform.address=10.200.1.7:8408
platform.valueBytes=1048576
some.new.key=whatever
)";

auto settingsWith(const std::string &line) -> std::string
{
    return SETTINGS + line + "\n";
}

} // namespace

BOOST_AUTO_TEST_SUITE(SettingsFileSuite)

// Guards against reading a field from the wrong key or in the wrong unit.
BOOST_AUTO_TEST_CASE(FieldsAreDecoded)
{
    const auto settings = parseSettings(SETTINGS, "s.conf");
    BOOST_REQUIRE_MESSAGE(settings.ok(), settings.status().message());
    BOOST_TEST(settings->name == "front-a-1");
    BOOST_TEST(settings->dataCentre == "east-a");
    BOOST_TEST(settings->callersAddress == "10.1.0.5:8405");
    BOOST_TEST(settings->readyAddress == "10.1.0.5:8406");
    BOOST_TEST(settings->peersAddress == "10.1.0.5:7660");
    BOOST_TEST(settings->operatorsAddress == "10.1.0.5:7661");
    BOOST_TEST(settings->storeAddress == "10.200.1.7:8408");
    BOOST_TEST(settings->bounds.upstreamDrain.count() == 3000);
    BOOST_TEST(settings->bounds.shutdown.count() == 8500);
    BOOST_TEST(settings->bounds.coldOverage == 1.25);
    BOOST_TEST(settings->bounds.coldSlack == 3);
}

// Guards against evacuations that are followed where the platform has none.
BOOST_AUTO_TEST_CASE(EvacuationsAreEnabledByTheirBound)
{
    BOOST_TEST(!parseSettings(SETTINGS, "s.conf")->bounds.evacuation.has_value());
    BOOST_TEST(!parseSettings(settingsWith("bounds.evacuationMs="), "s.conf")->bounds.evacuation.has_value());
    BOOST_TEST((parseSettings(settingsWith("bounds.evacuationMs=5000"), "s.conf")->bounds.evacuation == std::optional(Milliseconds(5000))));
    BOOST_TEST(!parseSettings(settingsWith("bounds.evacuationMs=soon"), "s.conf").ok());
}

// Guards against a data centre that counts as one of unknown region, and against a region that no line names.
BOOST_AUTO_TEST_CASE(RegionsOfDataCentres)
{
    const auto settings = parseSettings(settingsWith("zones.east-a=east") + "zones.west-a= west \nzones.empty=\nzones.=none\n", "s.conf");
    BOOST_REQUIRE(settings.ok());
    BOOST_TEST((settings->regions == std::map<std::string, std::string> { { "east-a", "east" }, { "west-a", "west" } }));
    BOOST_TEST(parseSettings(SETTINGS, "s.conf")->regions.empty());
}

// Guards against starting with a setting that could not be parsed, and against error messages without key and line.
BOOST_AUTO_TEST_CASE(ErrorsNameKeyAndLine)
{
    const auto settings = parseSettings(settingsWith("bounds.revokeMs=soon") + "listen.front=nowhere\nno equals sign\n", "s.conf");
    BOOST_REQUIRE(!settings.ok());
    const std::string message(settings.status().message());
    BOOST_TEST(absl::StrContains(message, "s.conf:18: bounds.revokeMs: expected a number"), message);
    BOOST_TEST(absl::StrContains(message, "listen.front: expected IP:PORT"), message);
    BOOST_TEST(absl::StrContains(message, "s.conf:20: no equals sign: expected KEY=VALUE"), message);
    BOOST_TEST(absl::IsNotFound(loadSettings("/nonexistent/settings").status()));
}

// Guards against a front daemon without an address for callers, and against requiring one on a store VM.
BOOST_AUTO_TEST_CASE(OnlyAFrontNeedsAddressesForCallers)
{
    BOOST_TEST(
        !parseSettings("nodeName=a\nserves=front\nipAddress=1.2.3.4\nzone=z\ninternalPorts=1,5\nplatform.address=1.2.3.4:5\n", "s").ok());
    BOOST_TEST(
        parseSettings("nodeName=a\nserves=storage\nipAddress=1.2.3.4\nzone=z\ninternalPorts=1,5\nplatform.address=1.2.3.4:5\n", "s").ok());
    BOOST_TEST(!parseSettings("", "s").ok());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock::platform
