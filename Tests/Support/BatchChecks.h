#pragma once

#include "Support/BatchFleet.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

/// Submits a job through the first daemon's store and checks that it is accepted.
inline auto accept(BatchFleet &fleet, const JobSubmission &submission) -> void
{
    BOOST_REQUIRE(std::holds_alternative<BatchJob>(fleet.store().accept(submission)));
}

/// Reads all pages and checks that each item appears once, in order, with its own response.
inline auto readAll(BatchFleet &fleet, const JobSubmission &submission) -> std::vector<ItemResult>
{
    std::vector<ItemResult> items;
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

/// Runs a job whose items fail at each upstream, and checks how they end and how often each is sent.
inline auto checkAllFail(BatchFleet &fleet, const std::string &faults, ResultCode expected, int received) -> void
{
    for (const auto &upstream : fleet.upstreams) {
        BOOST_REQUIRE(upstream->setFaults(faults).ok());
    }
    const auto submission = BatchFleet::modelJob("job", 4);
    accept(fleet, submission);
    fleet.startAll();
    BOOST_TEST(fleet.awaitEnd("t", "job").failedItems == 4);
    for (const ItemResult &item : readAll(fleet, submission)) {
        BOOST_TEST((item.error == expected));
        BOOST_TEST(fleet.receivedCount(item.id) == received);
    }
}

} // namespace poplardock
