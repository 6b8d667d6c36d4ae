// Tests of the search for the holder of an account.
#include "peridotgrade/core/admission/holder_lookup.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace peridotgrade;
using namespace std::chrono_literals;

namespace {

const TenantId Name { "t1" };

/// Four members, of which `holder` holds the partition of the tenant.
QuotaGroup groupWith(const std::string& holder)
{
    std::vector<std::string> owners { "a/1", "b/1", "c/1", "d/1" };
    auto at = std::find(owners.begin(), owners.end(), holder);
    std::iter_swap(at, owners.begin() + QuotaGroup::partitionOf(Name, 4));
    return QuotaGroup(owners);
}

struct Fixture {
    HolderLookup lookup { Name, "a/1" };
    QuotaGroup group = groupWith("c/1");
    TimePoint now { 100s };

    std::string found(bool isMember, bool isSilent = false)
    {
        return std::string {
            this->lookup.find(this->group, isMember, TimePoint { 95s }, isSilent, this->now).value_or("")
        };
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HolderLookupTest, Fixture)

BOOST_AUTO_TEST_CASE(aMemberAsksTheHolderThatTheStoreNames)
{
    BOOST_TEST(found(true) == "c/1");
    BOOST_TEST(!lookup.redirect(group, "c/1", "d/1", now));
    BOOST_TEST(found(true) == "c/1");
}

BOOST_AUTO_TEST_CASE(anEntryWithoutTheStoreFollowsThoseThatKnowTheHolder)
{
    BOOST_TEST(found(false) == "c/1");
    now += 200ms;
    BOOST_TEST(lookup.redirect(group, "c/1", "b/1", now));
    BOOST_TEST(found(false) == "b/1");
    // Two entries that know nothing better do not send it to and fro without end.
    BOOST_TEST(!lookup.redirect(group, "b/1", "c/1", now));
    // Back in the group it trusts the store again.
    BOOST_TEST(found(true) == "c/1");
}

BOOST_AUTO_TEST_CASE(aNameThatTheStoreDoesNotKnowIsNotFollowed)
{
    BOOST_TEST(found(false) == "c/1");
    now += 200ms;
    BOOST_TEST(lookup.redirect(group, "c/1", "x/1", now));
    BOOST_TEST(found(false) == "d/1");
}

BOOST_AUTO_TEST_CASE(silentMembersAreGivenUpAndItselfIsNeverAsked)
{
    group = groupWith("a/1");
    BOOST_TEST(found(false) == "b/1");
    BOOST_TEST(found(false, true) == "b/1");
    for (const char* next : { "c/1", "d/1", "b/1" }) {
        now += HolderLookup::SilentInterval;
        BOOST_TEST(found(false, true) == next);
    }
}

BOOST_AUTO_TEST_CASE(theSearchEndsWithTheTimeForWhichOthersRememberTheEntry)
{
    now = TimePoint { 95s } + HolderLookup::LookupTime;
    BOOST_TEST(found(false).empty());
    HolderLookup unused { Name, "a/1" };
    BOOST_TEST(!unused.find(group, false, std::nullopt, false, now).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
