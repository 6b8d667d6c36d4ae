// Model requests between a router and hosts with fake engines: the usual path, step by step failures.
#include "test_support/world.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;
using namespace peridotgrade::test;
using namespace std::chrono_literals;

namespace {

struct Fixture {
    World world { WorldSettings {} };

    Fixture() { this->world.runFor(500ms); }

    const LedgerEntry& request(RequestId id) { return this->world.ledger.all().at(id); }

    void checkQuiet()
    {
        this->world.ledger.checkAllEnded();
        for (const std::string& failure : this->world.ledger.failures)
            BOOST_ERROR(failure);
        BOOST_TEST(this->world.heldAtEngines() == 0U);
        for (const auto& entry : this->world.entries) {
            BOOST_TEST(entry->router.openRequests() == 0U);
            BOOST_TEST(entry->router.holds() == 0U);
        }
        for (const auto& agent : this->world.agents)
            BOOST_TEST(agent->host.counters().placesHeld == 0U);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(model_request, Fixture)

BOOST_AUTO_TEST_CASE(requests_are_answered_whole_and_leave_nothing)
{
    std::vector<RequestId> ids;
    for (std::uint64_t i = 0; i < 8; ++i)
        ids.push_back(this->world.submit(i % 2, i));
    this->world.runFor(3s);
    for (RequestId id : ids)
        BOOST_TEST(this->request(id).isAnswered);
    this->checkQuiet();
    const ModelRouterCounters& counters = this->world.entries[0]->router.counters();
    BOOST_TEST(counters.answered == 4U);
    BOOST_TEST(counters.prefillTokensWasted == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
