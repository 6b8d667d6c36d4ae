// Entries with quotas in virtual time, on links that lose and delay datagrams: guards against more tokens
// than a tenant's limit allows, and against refusals of a tenant that is below its limit, when entries, links
// or the holder of the account fail.
#include "quota_load_site.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;
using namespace peridotgrade::quota_test;

namespace {

std::vector<std::size_t> allEntries()
{
    std::vector<std::size_t> all(Entries);
    for (std::size_t index = 0; index < Entries; ++index)
        all[index] = index;
    return all;
}

Load loadOf(const char* name, double perSecond, double offered, std::vector<std::size_t> entries)
{
    return { TenantId { name }, { QuotaUnit::Tokens, perSecond, perSecond, 200 }, offered,
        std::move(entries) };
}

} // namespace

BOOST_AUTO_TEST_SUITE(QuotaLoadTest)

BOOST_AUTO_TEST_CASE(limitHoldsAndNobodyBelowItIsRefusedWhileEntriesFail)
{
    constexpr std::size_t QuietEntry = 10;
    Site site({ loadOf("large", 187'000, 7 * 187'000, { 3, 4, 5, 6, 7 }),
        loadOf("quiet", 100'000, 75'000, { QuietEntry }), loadOf("spread", 60'000, 30'000, allEntries()) });
    Load& large = site.loads[0];
    Load& quiet = site.loads[1];
    std::size_t largeHolder = site.holderOf(large.tenant);
    std::size_t quietHolder = site.holderOf(quiet.tenant);
    BOOST_TEST_MESSAGE("holders " << largeHolder << " " << quietHolder);
    auto check = [&](const char* phase) {
        BOOST_TEST_MESSAGE(phase << ": most in a window " << large.mostInWindow << " of " << large.bound()
                                 << ", quiet " << quiet.refusedByHolder << " + " << quiet.refusedOnOwnShare);
        BOOST_TEST(large.mostInWindow <= large.bound(), phase);
        BOOST_TEST(quiet.mostInWindow <= quiet.bound(), phase);
        BOOST_TEST(quiet.refusedByHolder == 0, phase);
        large.mostInWindow = 0;
    };
    site.runUntil(at(4));
    quiet.refusedOnOwnShare = 0;
    double before = large.used;
    site.runUntil(at(24));
    check("steady");
    // Plain calls of a tenant come 0.4 times a second to each entry and are served without a wait for the
    // holder.
    const Load& spread = site.loads[2];
    BOOST_TEST_MESSAGE(spread.plainCallsThatWaited << " of " << spread.plainCalls << " plain calls waited");
    BOOST_TEST(spread.plainCallsThatWaited < 0.05 * spread.plainCalls);
    BOOST_TEST(spread.refusedByHolder == 0);
    BOOST_TEST(large.used - before > 0.97 * 20 * large.quota.perSecond);

    for (std::size_t cut : { 4, 5 }) {
        site.entries[cut].network = static_cast<int>(cut);
        site.entries[cut].hasStore = false;
    }
    site.runUntil(at(40));
    check("two entries cut off");
    for (std::size_t cut : { 4, 5 }) {
        site.entries[cut].network = 0;
        site.entries[cut].hasStore = true;
    }
    site.runUntil(at(50));
    check("they are back");

    site.entries[largeHolder].isPaused = true;
    site.runUntil(at(54));
    site.entries[largeHolder].isPaused = false;
    site.runUntil(at(64));
    check("holder paused and resumed");
    BOOST_TEST(quiet.refusedOnOwnShare == 0);

    site.entries[quietHolder].isDead = true;
    site.entries[largeHolder].isPaused = true;
    site.runUntil(at(68.6));
    site.reassign(quietHolder);
    site.reassign(largeHolder);
    site.runUntil(at(72));
    quiet.refusedOnOwnShare = 0;
    // It was the holder for far longer than its membership lasts, and finds old requests in its socket.
    site.entries[largeHolder].isPaused = false;
    site.runUntil(at(85));
    check("holders replaced");
    BOOST_TEST(quiet.refusedOnOwnShare == 0);

    for (std::size_t index = 0; index < Entries; ++index)
        site.restart(index);
    site.runUntil(at(88));
    quiet.refusedOnOwnShare = 0;
    site.runUntil(at(100));
    check("all restarted");
    BOOST_TEST(quiet.refusedOnOwnShare == 0);
}

BOOST_AUTO_TEST_CASE(limitHoldsWhileMostEntriesDoNotReachTheHolder)
{
    Site site({ loadOf("large", 187'000, 7 * 187'000, allEntries()) });
    Load& large = site.loads[0];
    site.runUntil(at(12));
    for (std::size_t index = 0; index < Entries; ++index)
        site.entries[index].network = index % 3 == site.holderOf(large.tenant) % 3 ? 0 : 1;
    site.runUntil(at(40));
    BOOST_TEST_MESSAGE("most in a window " << large.mostInWindow << " of " << large.bound());
    BOOST_TEST(large.mostInWindow <= large.bound());
    for (Entry& entry : site.entries)
        entry.hasStore = false;
    double before = large.used;
    site.runUntil(at(60));
    BOOST_TEST(large.mostInWindow <= large.bound());
    BOOST_TEST(large.used - before <= 20 * large.quota.perSecond + large.quota.burst);
}

BOOST_AUTO_TEST_CASE(entriesThatLeaveTheGroupKeepTheirShareAndTheLimitHolds)
{
    // Guards against callers of entries that are cut off for long getting half of their share, and against
    // the others using it as well.
    constexpr std::size_t CutOff = 10;
    std::vector<std::size_t> cut = allEntries();
    cut.resize(CutOff);
    constexpr double PerSecond = 187'000;
    constexpr double FairDemand = 0.9 * PerSecond * CutOff / Entries;
    Site site({ loadOf("large", PerSecond, 7 * PerSecond, allEntries()),
        loadOf("remote", PerSecond, FairDemand, cut) });
    Load& large = site.loads[0];
    Load& remote = site.loads[1];
    site.runUntil(at(12));
    for (std::size_t index : cut) {
        site.entries[index].network = 1;
        site.entries[index].hasStore = false;
    }
    site.runUntil(at(16.6));
    for (std::size_t index : cut)
        site.reassign(index);
    site.runUntil(at(22));
    double before = remote.used;
    site.runUntil(at(42));
    BOOST_TEST_MESSAGE("most in a window " << large.mostInWindow << " of " << large.bound()
                                           << ", remote used " << (remote.used - before) / (20 * FairDemand));
    BOOST_TEST(large.mostInWindow <= large.bound());
    // The first entries own two partitions each. Half of their share could not serve more than this.
    constexpr double Share = 2.0 * CutOff / Partitions;
    BOOST_TEST(remote.used - before > QuotaAccount::OwnShare * Share * 20 * PerSecond);
    for (std::size_t index : cut) {
        site.entries[index].network = 0;
        site.entries[index].hasStore = true;
    }
    site.runUntil(at(60));
    BOOST_TEST(large.mostInWindow <= large.bound());
}

// Guards against callers of entries that do not reach the store being refused below the limit of their
// tenant, although their entries reach the holder; and against more than the limit while such entries come
// and go.
BOOST_AUTO_TEST_CASE(entriesWithoutTheStoreStillAskTheHolder)
{
    constexpr std::size_t CutOff = 10;
    std::vector<std::size_t> cut = allEntries();
    cut.resize(CutOff);
    constexpr double PerSecond = 90'000;
    Site site({ loadOf("hot", 187'000, 7 * 187'000, allEntries()),
        loadOf("below", PerSecond, 0.55 * PerSecond, allEntries()) });
    Load& hot = site.loads[0];
    Load& below = site.loads[1];
    site.runUntil(at(12));
    for (std::size_t index : cut)
        site.entries[index].hasStore = false;
    site.runUntil(at(16.6));
    for (std::size_t index : cut)
        site.reassign(index);
    // The group and the new holders settle within a renewal, as after any change.
    site.runUntil(at(19));
    below.refusedByHolder = below.refusedOnOwnShare = 0;
    double before = hot.used;
    site.runUntil(at(40));
    BOOST_TEST_MESSAGE("refused below the limit " << below.refusedByHolder << " + " << below.refusedOnOwnShare
                                                  << ", hot " << hot.mostInWindow << " of " << hot.bound()
                                                  << ", used " << (hot.used - before) / (21 * 187'000));
    BOOST_TEST(below.refusedByHolder == 0);
    BOOST_TEST(below.refusedOnOwnShare == 0);
    // Nothing of the limit is set aside for entries that ask.
    BOOST_TEST(hot.used - before > 0.95 * 21 * hot.quota.perSecond);
    BOOST_TEST(hot.mostInWindow <= hot.bound());
    // Then they lose the others too, and come back.
    for (std::size_t index : cut)
        site.entries[index].network = 1;
    site.runUntil(at(60));
    BOOST_TEST(hot.mostInWindow <= hot.bound());
    for (std::size_t index : cut) {
        site.entries[index].network = 0;
        site.entries[index].hasStore = true;
    }
    site.runUntil(at(75));
    BOOST_TEST(hot.mostInWindow <= hot.bound());
    BOOST_TEST(below.mostInWindow <= below.bound());
}

BOOST_AUTO_TEST_SUITE_END()
