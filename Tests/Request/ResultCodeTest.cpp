#include "Request/ResultCode.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

#include <fstream>
#include <set>
#include <sstream>

namespace poplardock {

namespace {

auto tableAsMarkdown() -> std::string
{
    std::string table = "| code | name | HTTP status | run | meaning |\n|---|---|---|---|---|\n";
    for (const ResultDescription &row : resultTable()) {
        absl::StrAppend(&table,
                        "| ",
                        static_cast<int>(row.code),
                        " | `",
                        std::string(row.name),
                        "` | ",
                        row.httpStatus,
                        " | ",
                        std::string(toString(row.run)),
                        " | ",
                        std::string(row.meaning),
                        " |\n");
    }
    return table;
}

} // namespace

// Guards against a docs/result-codes.md that differs from resultTable(). The page must contain exactly this table.
BOOST_AUTO_TEST_CASE(TheDocumentationMatchesTheTable)
{
    std::ifstream file(POPLARDOCK_SOURCE_FOLDER "/docs/result-codes.md");
    std::ostringstream page;
    page << file.rdbuf();
    BOOST_TEST(page.str().find(tableAsMarkdown()) != std::string::npos, "docs/result-codes.md must hold:\n" << tableAsMarkdown());
}

BOOST_AUTO_TEST_CASE(CodesAndNamesAreUnique)
{
    std::set<int> codes;
    std::set<std::string_view> names;
    for (const ResultDescription &row : resultTable()) {
        BOOST_TEST(codes.insert(static_cast<int>(row.code)).second);
        BOOST_TEST(names.insert(row.name).second);
        BOOST_TEST((describe(row.code) == row));
    }
}

BOOST_AUTO_TEST_CASE(ErrorsAreWrittenAsJson)
{
    const RequestError error { ResultCode::KeyUnknown, {} };
    BOOST_TEST(error.toJson() == R"({"error":{"code":2002,"message":"The key belongs to no team.","name":"key_unknown","run":"not_run"}})");
}

} // namespace poplardock
