#include "Process/BatchDispatcher.h"

#include "Support/BatchFleet.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

#include <thread>

namespace poplardock {

namespace {

auto accept(BatchFleet &fleet, const JobSubmission &submission) -> void
{
    BOOST_REQUIRE(std::holds_alternative<BatchJob>(fleet.store().accept(submission)));
}

/// Reads all pages and checks that each item is reported once, in order, with its own answer.
auto readAll(BatchFleet &fleet, const JobSubmission &submission) -> std::vector<ItemReport>
{
    std::vector<ItemReport> items;
    const auto count = static_cast<std::int64_t>(submission.items.size());
    for (std::int64_t next = 0; next < count;) {
        const auto read = fleet.store().results(submission.team, submission.jobKey, next, 50);
        BOOST_REQUIRE(std::holds_alternative<ResultPage>(read));
        const auto &page = std::get<ResultPage>(read);
        items.insert(items.end(), page.items.begin(), page.items.end());
        next = page.next;
    }
    BOOST_REQUIRE(items.size() == submission.items.size());
    for (std::size_t index = 0; index < items.size(); ++index) {
        BOOST_TEST(items[index].id == submission.items[index].id);
        if (items[index].state == ItemState::Done) {
            BOOST_TEST(items[index].body.find(submission.items[index].id) != std::string::npos);
        }
    }
    return items;
}

/// Checks that the job ended with every item done.
auto checkAllDone(BatchFleet &fleet, const JobSubmission &submission) -> void
{
    const BatchJob job = fleet.awaitEnd(submission.team, submission.jobKey);
    BOOST_TEST((job.state == JobState::Done));
    BOOST_TEST(job.doneItems == static_cast<std::int64_t>(submission.items.size()));
    BOOST_TEST(job.failedItems == 0);
    readAll(fleet, submission);
}

} // namespace

BOOST_AUTO_TEST_SUITE(BatchDispatcherSuite)

// Guards against items that are lost, run twice without a fault, or reported with another item's answer.
BOOST_AUTO_TEST_CASE(EveryItemCompletesOnceOverTwoDaemons)
{
    BatchFleet fleet(2, 4);
    const auto submission = BatchFleet::modelJob("job", 150);
    accept(fleet, submission);
    fleet.startAll();
    checkAllDone(fleet, submission);
    for (const JobSubmission::Item &item : submission.items) {
        BOOST_TEST(fleet.receivedCount(item.id) == 1);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
