#include "Process/CommandLine.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

BOOST_AUTO_TEST_CASE(ServeNeedsItsSettings)
{
    const auto command = parseCommandLine({ "serve", "--settings", "a.toml" });
    BOOST_REQUIRE(command.ok());
    BOOST_TEST((std::get<ServeCommand>(*command) == ServeCommand { "a.toml" }));
    BOOST_TEST(!parseCommandLine({ "serve" }).ok());
}

BOOST_AUTO_TEST_CASE(TwoWordCommandsTakePositionalArguments)
{
    const auto command = parseCommandLine({ "team", "set", "weavers", "--rate", "5", "--burst", "10" });
    BOOST_REQUIRE(command.ok());
    const auto &call = std::get<HttpCommand>(*command);
    BOOST_TEST(call.method == "PUT");
    BOOST_TEST(call.path == "/config/teams/weavers");
}

// Guards against a path that reaches another resource through a name with a slash.
BOOST_AUTO_TEST_CASE(NamesAreEncodedInPaths)
{
    const auto command = parseCommandLine({ "job", "status", "a/b?c" });
    BOOST_REQUIRE(command.ok());
    BOOST_TEST(std::get<HttpCommand>(*command).path == "/v1/jobs/a%2Fb%3Fc");
}

// Guards against misspelt options and commands that are silently ignored.
BOOST_AUTO_TEST_CASE(UnknownWordsAreErrors)
{
    BOOST_TEST(!parseCommandLine({ "serve", "--setings", "a.toml" }).ok());
    BOOST_TEST(!parseCommandLine({ "dump", "extra" }).ok());
    BOOST_TEST(!parseCommandLine({ "start" }).ok());
    BOOST_TEST(!parseCommandLine({}).ok());
}

} // namespace poplardock
