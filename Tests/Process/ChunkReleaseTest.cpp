#include "Support/BatchChecks.h"

namespace poplardock {

BOOST_AUTO_TEST_SUITE(ChunkReleaseSuite)

// Guards against attempts that start while a chunk is released for want of an upstream that works: they are aborted and not
// counted, so that an item is sent more often than it may. Load pattern: the store is slow, and all upstreams fail.
BOOST_AUTO_TEST_CASE(NoItemStartsDuringARelease)
{
    for (int repetition = 0; repetition < 4; ++repetition) {
        BatchFleet fleet(1, 2);
        BOOST_REQUIRE(fleet.platform->setFaults(R"({"delay_ms":300})").ok());
        checkAllFail(fleet, R"({"refuse_status":500})", ResultCode::ItemAttemptsExhausted, 3);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
