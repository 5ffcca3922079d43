#include "Process/Settings.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

const std::string VALID = R"([daemon]
name = "entry-1"
data_centre = "dc-a"
region = "south"
[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
operators = "127.0.0.1:0"
[platform]
address = "127.0.0.1:8000"
)";

auto contains(const absl::StatusOr<Settings> &settings, const std::string &text) -> bool
{
    return std::string(settings.status().message()).find(text) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_CASE(ValidSettingsAreRead)
{
    const auto settings = Settings::parse(VALID, "a.toml");
    BOOST_REQUIRE(settings.ok());
    BOOST_TEST(settings->name == "entry-1");
    BOOST_TEST(settings->onlineThreads == 400);
}

// Guards against silently ignoring a misspelt key.
BOOST_AUTO_TEST_CASE(UnknownKeysAreReportedWithTheirLine)
{
    const auto settings = Settings::parse(VALID + "[log]\nlevell = \"info\"\n[extra]\n", "a.toml");
    BOOST_TEST(contains(settings, "a.toml:12: log.levell: unknown key"));
    BOOST_TEST(contains(settings, "a.toml:13: extra: unknown section or key"));
}

// Guards against reporting only the first of several errors.
BOOST_AUTO_TEST_CASE(AllErrorsAreReportedAtOnce)
{
    const auto settings = Settings::parse("[daemon]\nname = 5\n[workers]\nonline = 0\n[log]\nlevel = \"loud\"\n", "a.toml");
    BOOST_TEST(contains(settings, "a.toml:2: daemon.name: a non-empty string"));
    BOOST_TEST(contains(settings, "daemon.region: the key is missing"));
    BOOST_TEST(contains(settings, "a.toml:4: workers.online: an integer from 1 to 10000"));
    BOOST_TEST(contains(settings, "a.toml:6: log.level: debug, info, warning or error"));
}

BOOST_AUTO_TEST_CASE(MalformedTomlNamesTheLine)
{
    BOOST_TEST(contains(Settings::parse("[daemon\n", "a.toml"), "a.toml:1: "));
}

} // namespace poplardock
