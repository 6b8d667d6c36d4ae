// Tests of the protection of large requests.
#include "peridotgrade/core/serving/large_requests.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Now { 100s };

struct Fixture {
    static WaitingRequest request(std::uint32_t tokens) { return { RequestId { 1 }, Now + 1s, tokens }; }

    /// Requests of that size end, `served` of them served.
    void end(std::uint32_t tokens, int count, int served)
    {
        for (int each = 0; each < count; ++each) {
            this->shares.noteArrival({}, tokens, Now);
            this->shares.noteEnd({}, each < served, Now);
            this->large.noteEnd(request(tokens), each < served, Now);
        }
    }

    std::size_t kept() const
    {
        std::vector<ServerRecord> records(10);
        std::vector<const ServerRecord*> candidates;
        for (ServerRecord& record : records) {
            record.id = ServerId { "e" + std::to_string(candidates.size()) };
            candidates.push_back(&record);
        }
        return this->large.keptEngines(candidates).size();
    }

    PriorityShares shares;
    LargeRequests large { shares };
};

} // namespace

BOOST_AUTO_TEST_SUITE(LargeRequestsTest)

BOOST_FIXTURE_TEST_CASE(keepsEnginesWhileLargeRequestsAreStarvedInAnOverload, Fixture)
{
    this->end(3000, 40, 24);
    BOOST_TEST(this->kept() == 0U);
    this->end(9000, 4, 1);
    BOOST_TEST(this->large.isStarved(request(9000), Now));
    BOOST_TEST(!this->large.isStarved(request(3000), Now));
    BOOST_TEST(this->kept() == 4U);
    this->end(9000, 4, 4);
    BOOST_TEST(!this->large.isStarved(request(9000), Now));
    BOOST_TEST(this->kept() == 0U);
}

BOOST_FIXTURE_TEST_CASE(keepsNoEnginesInAShortBurst, Fixture)
{
    // In bursts, kept engines cost answers on time.
    this->end(3000, 40, 32);
    this->end(9000, 4, 1);
    BOOST_TEST(this->large.isStarved(request(9000), Now));
    BOOST_TEST(this->kept() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
