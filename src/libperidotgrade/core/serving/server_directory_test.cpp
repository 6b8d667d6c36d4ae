// Tests of the server directory: order of records, outages, restarts.
#include "peridotgrade/core/serving/server_directory.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;
using namespace std::chrono_literals;

namespace {

const ServiceId Service { "reminders" };

ListedServer listed(std::uint64_t offset, const std::string& id, std::uint64_t sequence,
    bool isDraining = false, std::chrono::milliseconds startedAt = 1000ms)
{
    ServerRecord record;
    record.id = ServerId { id };
    record.service = Service;
    record.address = "10.0.0.1:80";
    record.isDraining = isDraining;
    record.sequence = sequence;
    record.startedAt = WallTime { startedAt };
    return { ServerId { id }, LogOffset { offset }, record };
}

ListedServer removed(std::uint64_t offset, const std::string& id)
{
    return { ServerId { id }, LogOffset { offset }, std::nullopt };
}

struct Fixture {
    ServerDirectory directory;
    TimePoint now { 100s };
    std::size_t usable() const { return directory.usable(Service).size(); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServerDirectoryTest, Fixture)

BOOST_AUTO_TEST_CASE(drainingServersStayUnusableWithinAnIncarnation)
{
    directory.apply({ listed(0, "a", 1), listed(1, "b", 1) }, now);
    BOOST_TEST(usable() == 2U);
    directory.apply({ listed(2, "a", 3, true) }, now);
    BOOST_TEST(usable() == 1U);
    // An older report arrives late.
    directory.apply({ listed(3, "a", 2, false) }, now);
    BOOST_TEST(usable() == 1U);
    // A new incarnation under the same id starts its sequence again.
    directory.apply({ listed(4, "a", 1, false, 9000ms) }, now);
    BOOST_TEST(usable() == 2U);
}

BOOST_AUTO_TEST_CASE(staleListingChangesNothing)
{
    directory.apply({ listed(5, "a", 1), removed(6, "b") }, now);
    directory.replace({ listed(2, "b", 9) }, LogOffset { 3 }, now);
    BOOST_TEST(usable() == 1U);
    BOOST_TEST((directory.find(ServerId { "b" }) == nullptr));
    // A record that was read before the removal arrives after it.
    directory.apply({ listed(4, "b", 9) }, now);
    BOOST_TEST((directory.find(ServerId { "b" }) == nullptr));
}

BOOST_AUTO_TEST_CASE(serverMissingFromAFullListingIsRemoved)
{
    directory.apply({ listed(0, "a", 1), listed(1, "b", 1) }, now);
    auto changes = directory.replace({ listed(7, "b", 2) }, LogOffset { 8 }, now);
    BOOST_TEST(usable() == 1U);
    BOOST_REQUIRE(changes.size() == 1U);
    BOOST_TEST((changes[0].kind == DirectoryChange::Kind::Gone));
}

BOOST_AUTO_TEST_CASE(serversThatExpiredInAnOutageStayUntilTheGracePeriodEnds)
{
    directory.apply({ listed(0, "a", 1), listed(1, "b", 1) }, now);
    directory.noteStoreLost(now);
    now += 8s;
    directory.noteStoreBack(now);
    directory.replace({}, LogOffset { 4 }, now);
    BOOST_TEST(usable() == 2U);
    directory.apply({ listed(5, "a", 2) }, now + 1s);
    now += ServerDirectory::OutageGrace - 1ms;
    BOOST_TEST(directory.expire(now).empty());
    now += 1ms;
    BOOST_TEST(directory.expire(now).size() == 1U);
    BOOST_TEST(usable() == 1U);
    BOOST_TEST((directory.find(ServerId { "a" }) != nullptr));
}

BOOST_AUTO_TEST_CASE(drainingServerThatExpiresInAnOutageIsRemoved)
{
    directory.apply({ listed(0, "a", 1, true) }, now);
    directory.noteStoreLost(now);
    directory.apply({ removed(1, "a") }, now);
    BOOST_TEST(directory.all().empty());
}

BOOST_AUTO_TEST_CASE(serverThatSaysItLeavesGetsNothingMoreInThisIncarnation)
{
    directory.apply({ listed(0, "a", 1), listed(1, "b", 1) }, now);
    auto changes = directory.noteLeaving(ServerId { "a" }, WallTime { 1000ms });
    BOOST_REQUIRE(changes.size() == 1U);
    BOOST_TEST((changes[0].kind == DirectoryChange::Kind::Draining));
    BOOST_TEST(usable() == 1U);
    // It is said once, and the list does not know it yet.
    BOOST_TEST(directory.noteLeaving(ServerId { "a" }, WallTime { 1000ms }).empty());
    directory.apply({ listed(2, "a", 7, false) }, now);
    BOOST_TEST(usable() == 1U);
    directory.apply({ listed(3, "a", 1, false, 9000ms) }, now);
    BOOST_TEST(usable() == 2U);
    // An answer of the former incarnation says nothing of this one.
    BOOST_TEST(directory.noteLeaving(ServerId { "a" }, WallTime { 1000ms }).empty());
    BOOST_TEST(usable() == 2U);
}

BOOST_AUTO_TEST_CASE(offsetsOfAnOlderCopyAreNotCompared)
{
    directory.apply({ listed(90, "a", 5), listed(91, "b", 5) }, now);
    directory.startEra(now);
    // The copy is from before the registration of b, which reports again.
    directory.replace({ listed(40, "a", 4) }, LogOffset { 41 }, now);
    BOOST_TEST(usable() == 2U);
    directory.apply({ listed(41, "b", 6) }, now + 1s);
    BOOST_TEST(directory.expire(now + ServerDirectory::OutageGrace).empty());
    BOOST_TEST(usable() == 2U);
    directory.apply({ listed(42, "a", 6, true) }, now + 3s);
    BOOST_TEST(usable() == 1U);
}

BOOST_AUTO_TEST_CASE(serversThatAnOlderCopyLacksAreRemovedIfTheyDoNotReport)
{
    directory.apply({ listed(90, "a", 5), listed(91, "b", 5) }, now);
    directory.startEra(now);
    directory.replace({ listed(40, "a", 4) }, LogOffset { 41 }, now);
    BOOST_TEST(directory.expire(now + ServerDirectory::OutageGrace).size() == 1U);
    BOOST_TEST((directory.find(ServerId { "b" }) == nullptr));
}

BOOST_AUTO_TEST_CASE(anOlderCopyDoesNotBringBackServersThatHaveLeft)
{
    directory.apply({ listed(80, "a", 5), listed(81, "b", 5), listed(82, "c", 5, true) }, now);
    directory.apply({ removed(83, "b") }, now);
    for (int drill = 0; drill < 2; ++drill) {
        directory.startEra(now);
        directory.replace(
            { listed(40, "a", 3), listed(41, "b", 4), listed(42, "c", 4, false) }, LogOffset { 43 }, now);
        BOOST_TEST(usable() == 1U);
        BOOST_TEST((directory.find(ServerId { "a" }) != nullptr));
        now += 1s;
    }
    // One that reports again is there.
    directory.apply({ listed(44, "b", 6) }, now);
    BOOST_TEST(usable() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
