// Tests of the role changes that a leader knows, also those of its predecessor.
#include "peridotgrade/core/serving/role_changes.h"

#include "peridotgrade/core/serving/role_plan.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <string>

using namespace peridotgrade;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint Start { seconds { 1000 } };

/// Engines as the list shows them, and what they report.
struct Fixture {
    std::vector<ServerRecord> listed;
    std::map<ServerId, EngineReport> reports;
    RoleChanges changes;

    Fixture()
    {
        for (int index = 0; index < 16; ++index) {
            ServerRecord record;
            record.id = ServerId { "e" + std::to_string(100 + index) };
            record.role = index < 4 ? ServerRole::Prefill : ServerRole::Decode;
            this->listed.push_back(record);
            this->reports[record.id] = { record.role, false, 3 };
        }
    }
    std::vector<const ServerRecord*> engines() const
    {
        std::vector<const ServerRecord*> result;
        for (const ServerRecord& record : this->listed)
            result.push_back(&record);
        return result;
    }
    void readReports(TimePoint now)
    {
        for (const ServerRecord* engine : this->changes.enginesToAsk(this->engines()))
            this->changes.noteReport(*engine, this->reports[engine->id], now);
    }
    /// Commands of a leader that has just taken over and needs one more prefill engine, if it reads reports.
    int commandsOfNewLeader(bool readsReports)
    {
        RolePlan plan;
        RoleDemand demand { milliseconds { 172 }, milliseconds { 330 } };
        BOOST_REQUIRE(RolePlan::bestSplit(16, demand) >= 6U);
        int commands = 0;
        TimePoint now = Start;
        for (std::uint32_t round = 0; round < RolePlan::AgreeingUpdates;
             ++round, now += milliseconds { 1500 })
            plan.update(this->engines(), demand, { seconds { 6 }, 1 }, now);
        if (readsReports)
            this->readReports(now);
        std::vector<ServerRecord> planned = this->listed;
        std::vector<const ServerRecord*> candidates;
        for (ServerRecord& record : planned) {
            record.role = this->changes.futureRole(record);
            candidates.push_back(&record);
        }
        std::size_t changing = this->changes.countChanging(this->engines());
        while (auto assignment = plan.nextAssignment(candidates, changing++)) {
            for (ServerRecord& record : planned)
                record.role = record.id == assignment->server ? assignment->role : record.role;
            ++commands;
        }
        return commands;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RoleChangesTest, Fixture)

// A leader ended before its command was answered, and the command is carried out later. Its successor must
// count that change, or it changes as many engines again.
BOOST_AUTO_TEST_CASE(predecessorsUnansweredCommandsCountWhenTheyAreCarriedOutLate)
{
    for (bool isInProgress : { false, true }) {
        Fixture fixture;
        fixture.changes.takeOver(Start);
        fixture.readReports(Start);
        BOOST_TEST(fixture.changes.countChanging(fixture.engines()) == 0U);
        BOOST_REQUIRE(fixture.commandsOfNewLeader(false) == 2);
        // Two engines get the commands now; the list shows them in their old role until they have changed.
        for (std::size_t index : { 14U, 15U })
            fixture.reports[fixture.listed[index].id] = { ServerRole::Decode, isInProgress, 4 };
        BOOST_TEST(fixture.commandsOfNewLeader(true) == 0);
        BOOST_TEST(fixture.changes.countChanging(fixture.engines()) == 2U);
    }
}

// The change is complete, but the list is some seconds old.
BOOST_AUTO_TEST_CASE(reportedRoleThatTheListDoesNotShowYetCounts)
{
    this->reports[this->listed[15].id].role = ServerRole::Prefill;
    this->reports[this->listed[14].id] = { ServerRole::Decode, true, 3 };
    this->changes.takeOver(Start);
    this->readReports(Start);
    BOOST_TEST((this->changes.futureRole(this->listed[15]) == ServerRole::Prefill));
    BOOST_TEST((this->changes.futureRole(this->listed[14]) == ServerRole::Prefill));
    BOOST_TEST((this->changes.futureRole(this->listed[13]) == ServerRole::Decode));
    BOOST_TEST(this->changes.countChanging(this->engines()) == 2U);
    this->changes.expire(Start + RoleChanges::Lifetime);
    BOOST_TEST(this->changes.countChanging(this->engines()) == 0U);
}

// Reports cost calls: a leader stops reading them once no command of its predecessor can be carried out, and
// asks each time a bounded number of engines, all of them in turn.
BOOST_AUTO_TEST_CASE(readsABoundedNumberOfReports)
{
    BOOST_TEST(!this->changes.isLearning(Start));
    this->changes.takeOver(Start);
    BOOST_TEST(this->changes.isLearning(Start + RoleChanges::Lifetime - milliseconds { 1 }));
    BOOST_TEST(!this->changes.isLearning(Start + RoleChanges::Lifetime));
    for (int index = 0; index < 100; ++index) {
        ServerRecord record;
        record.id = ServerId { "f" + std::to_string(100 + index) };
        this->listed.push_back(record);
    }
    auto first = this->changes.enginesToAsk(this->engines());
    BOOST_TEST(first.size() == RoleChanges::MaxReports);
    for (const ServerRecord* engine : first)
        this->changes.noteReport(*engine, std::nullopt, Start);
    auto second = this->changes.enginesToAsk(this->engines());
    auto rest = static_cast<std::ptrdiff_t>(this->listed.size() - first.size());
    BOOST_TEST(std::none_of(second.begin(), second.begin() + rest, [&](const ServerRecord* engine) {
        return std::find(first.begin(), first.end(), engine) != first.end();
    }));
    // Own changes need no report.
    this->changes.begin(this->listed[0].id, ServerRole::Decode, Start);
    auto third = this->changes.enginesToAsk(this->engines());
    BOOST_TEST((std::find(third.begin(), third.end(), &this->listed[0]) == third.end()));
}

// A change that began and ended between two reports must not be taken for one in the other direction.
BOOST_AUTO_TEST_CASE(completedChangeThatTheListShowsIsNotPending)
{
    this->changes.takeOver(Start);
    this->readReports(Start);
    this->listed[15].role = ServerRole::Prefill;
    this->reports[this->listed[15].id] = { ServerRole::Prefill, false, 4 };
    this->readReports(Start + seconds { 10 });
    BOOST_TEST(this->changes.countChanging(this->engines()) == 0U);
}

// A restarted engine counts its commands anew.
BOOST_AUTO_TEST_CASE(restartedEngineHasNoNewCommand)
{
    this->changes.takeOver(Start);
    this->reports[this->listed[5].id].acceptedCommands = 0;
    this->readReports(Start);
    this->listed[5].startedAt += seconds { 5 };
    this->reports[this->listed[5].id].acceptedCommands = 1;
    this->readReports(Start);
    BOOST_TEST(this->changes.countChanging(this->engines()) == 0U);
}

// Guards against a second engine that is changed while one that a former leader announced is under way.
BOOST_FIXTURE_TEST_CASE(announcedChangesCountUntilTheyEnd, Fixture)
{
    const ServerRecord& announced = this->listed[5];
    this->changes.noteAnnounced(announced.id, ServerRole::Prefill, Start + seconds { 6 });
    BOOST_TEST((this->changes.futureRole(announced) == ServerRole::Prefill));
    BOOST_TEST(this->changes.countChanging(this->engines()) == 1U);
    this->changes.expire(Start + seconds { 6 });
    BOOST_TEST((this->changes.futureRole(announced) == ServerRole::Decode));
    // A command of this leader lasts longer than the announcement that it has sent itself.
    this->changes.begin(announced.id, ServerRole::Prefill, Start);
    this->changes.noteAnnounced(announced.id, ServerRole::Prefill, Start + seconds { 6 });
    this->changes.expire(Start + seconds { 7 });
    BOOST_TEST(this->changes.contains(announced.id));
}

BOOST_AUTO_TEST_SUITE_END()
