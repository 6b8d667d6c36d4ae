// Tests of the plan of prefill and decode engines.
#include "peridotgrade/core/serving/role_plan.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <map>
#include <string>

using namespace peridotgrade;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Prompts take a tenth of a second, answers a third: the best split is about one to three.
constexpr RoleDemand UsualDemand { milliseconds { 100 }, milliseconds { 330 } };

const TimePoint Now { seconds { 1000 } };
constexpr RoleChangeCost Cost { seconds { 6 }, 5 };

struct Pool {
    std::vector<ServerRecord> records;

    void add(const std::string& dataCentre, ServerRole role, int count)
    {
        for (int index = 0; index < count; ++index) {
            ServerRecord record;
            record.id = ServerId { dataCentre + std::to_string(records.size()) };
            record.dataCentre = DataCentreId { dataCentre };
            record.role = role;
            records.push_back(record);
        }
    }
    std::vector<const ServerRecord*> engines() const
    {
        std::vector<const ServerRecord*> result;
        for (const ServerRecord& record : records)
            result.push_back(&record);
        return result;
    }
    /// Applies role changes until updates bring no more; returns their number.
    int settle(RolePlan& plan, std::optional<RoleDemand> demand)
    {
        int changes = 0;
        for (std::uint32_t round = 0; round < 100 * RolePlan::AgreeingUpdates; ++round) {
            plan.update(engines(), demand, Cost, Now);
            std::size_t changing = 0;
            while (auto assignment = plan.nextAssignment(engines(), changing++)) {
                for (ServerRecord& record : records) {
                    if (record.id == assignment->server)
                        record.role = assignment->role;
                }
                BOOST_REQUIRE(++changes < 100);
            }
        }
        return changes;
    }
    int prefills(const std::string& dataCentre = "") const
    {
        int count = 0;
        for (const ServerRecord& record : records) {
            bool isThere = dataCentre.empty() || record.dataCentre.raw() == dataCentre;
            count += record.role == ServerRole::Prefill && isThere ? 1 : 0;
        }
        return count;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(RolePlanTest)

BOOST_AUTO_TEST_CASE(spreadsPrefillOverDataCentres)
{
    Pool pool;
    pool.add("a", ServerRole::Decode, 4);
    pool.add("b", ServerRole::Prefill, 5);
    pool.add("b", ServerRole::Decode, 1);
    pool.add("c", ServerRole::Prefill, 1);
    pool.add("c", ServerRole::Decode, 5);
    // A demand that wants a quarter of the engines on prefill.
    RoleDemand demand { milliseconds { 100 }, milliseconds { 500 } };
    BOOST_REQUIRE(RolePlan::bestSplit(16, demand) == 4U);
    RolePlan plan;
    pool.settle(plan, demand);
    BOOST_TEST(pool.prefills() == 4);
    BOOST_TEST(pool.prefills("b") <= 3);
    BOOST_TEST(pool.settle(plan, demand) == 0);
}

BOOST_AUTO_TEST_CASE(keepsBothRolesInSmallPools)
{
    BOOST_TEST(RolePlan::minEnginesOfRole(0) == 0U);
    BOOST_TEST(RolePlan::minEnginesOfRole(2) == 1U);
    BOOST_TEST(RolePlan::minEnginesOfRole(4) == 2U);
    // Small pools are split evenly whatever is measured.
    for (const RoleDemand& demand : { UsualDemand, RoleDemand { milliseconds { 5 }, seconds { 5 } },
             RoleDemand { seconds { 5 }, milliseconds { 5 } } }) {
        BOOST_TEST(RolePlan::bestSplit(0, demand) == 0U);
        BOOST_TEST(RolePlan::bestSplit(2, demand) == 1U);
        BOOST_TEST(RolePlan::bestSplit(4, demand) == 2U);
    }
    Pool pool;
    pool.add("a", ServerRole::Decode, 6);
    RolePlan plan;
    pool.settle(plan, std::nullopt);
    BOOST_TEST(pool.prefills() == 2);
}

BOOST_AUTO_TEST_CASE(keepsRolesUntilTheDemandIsMeasured)
{
    Pool pool;
    pool.add("a", ServerRole::Prefill, 6);
    pool.add("a", ServerRole::Decode, 6);
    RolePlan plan;
    BOOST_TEST(pool.settle(plan, std::nullopt) == 0);
    BOOST_TEST(pool.settle(plan, UsualDemand) > 0);
}

BOOST_AUTO_TEST_CASE(changesAnIdlePoolAtOnce)
{
    Pool pool;
    pool.add("a", ServerRole::Prefill, 12);
    pool.add("a", ServerRole::Decode, 6);
    RolePlan plan;
    plan.updateIdle(pool.engines(), UsualDemand);
    BOOST_TEST(plan.prefillTarget() == RolePlan::bestSplit(18, UsualDemand));
    BOOST_TEST(plan.nextAssignment(pool.engines(), 6).has_value());
    // From the first request on, the roles stay until the demand is known.
    plan.update(pool.engines(), std::nullopt, Cost, Now);
    BOOST_TEST(!plan.nextAssignment(pool.engines(), 0));
}

BOOST_AUTO_TEST_CASE(followsTheDemandOfEachRole)
{
    for (std::size_t engines : { 4U, 9U, 18U, 41U, 160U }) {
        auto share = [&](Duration prefill, Duration decode) {
            return RolePlan::bestSplit(engines, { prefill, decode }) / static_cast<double>(engines);
        };
        // A prefill engine counts as used at three quarters.
        BOOST_TEST(
            share(milliseconds { 75 }, milliseconds { 100 }) == 0.5, boost::test_tools::tolerance(0.2));
        BOOST_TEST(share(milliseconds { 900 }, milliseconds { 100 }) >= 0.5);
        BOOST_TEST(share(milliseconds { 20 }, seconds { 2 }) <= 0.5);
    }
    BOOST_TEST(RolePlan::bestSplit(160, { milliseconds { 20 }, seconds { 2 } }) <= 5U);
    BOOST_TEST(RolePlan::bestSplit(160, { milliseconds { 900 }, milliseconds { 100 } }) >= 140U);
}

BOOST_AUTO_TEST_CASE(keepsASpareInASmallPool)
{
    // Two of nine would carry as much as three, but the loss of one of two would halve it.
    RoleDemand demand { milliseconds { 80 }, milliseconds { 395 } };
    BOOST_TEST(RolePlan::capacity(2, 7, demand) > RolePlan::capacity(3, 6, demand));
    BOOST_TEST(RolePlan::bestSplit(9, demand) == 3U);
}

BOOST_AUTO_TEST_CASE(changesOnlyForAGainOnWhichUpdatesAgree)
{
    Pool pool;
    pool.add("a", ServerRole::Prefill, 4);
    pool.add("a", ServerRole::Decode, 12);
    RolePlan plan;
    // A demand that swings around the present split changes nothing.
    for (int round = 0; round < 50; ++round) {
        bool isHigh = round % 2 == 0;
        plan.update(pool.engines(), RoleDemand { milliseconds { isHigh ? 150 : 60 }, milliseconds { 330 } },
            Cost, Now);
        BOOST_TEST(plan.prefillTarget() == 4U);
    }
    RoleDemand longer { milliseconds { 200 }, milliseconds { 330 } };
    for (std::uint32_t round = 0; round + 1 < RolePlan::AgreeingUpdates; ++round) {
        plan.update(pool.engines(), longer, Cost, Now);
        BOOST_TEST(plan.prefillTarget() == 4U);
    }
    plan.update(pool.engines(), longer, Cost, Now);
    BOOST_TEST(plan.prefillTarget() > 4U);
    // A switch that takes minutes never pays.
    RolePlan slow;
    for (int round = 0; round < 20; ++round)
        slow.update(pool.engines(), longer, { std::chrono::minutes { 30 }, 1 }, Now);
    BOOST_TEST(slow.prefillTarget() == 4U);
}

BOOST_AUTO_TEST_CASE(countsWhatEntriesLoseAtAnEngineThatLeavesDecode)
{
    // A gain of a tenth pays for the change of some engines with few entries, but not with dozens of them.
    Pool pool;
    pool.add("a", ServerRole::Prefill, 15);
    pool.add("a", ServerRole::Decode, 43);
    RoleDemand demand { milliseconds { 180 }, milliseconds { 580 } };
    RolePlan few;
    RolePlan many;
    for (std::uint32_t round = 0; round < RolePlan::AgreeingUpdates; ++round) {
        few.update(pool.engines(), demand, { seconds { 6 }, 2 }, Now);
        many.update(pool.engines(), demand, { seconds { 6 }, 32 }, Now);
    }
    BOOST_TEST(few.prefillTarget() > 15U);
    BOOST_TEST(many.prefillTarget() == 15U);
}

BOOST_AUTO_TEST_CASE(takesNoDecisionBackSoon)
{
    Pool pool;
    pool.add("a", ServerRole::Prefill, 20);
    pool.add("a", ServerRole::Decode, 40);
    RoleDemand shortAnswers { milliseconds { 100 }, milliseconds { 100 } };
    RolePlan plan;
    for (std::uint32_t round = 0; round < RolePlan::AgreeingUpdates; ++round)
        plan.update(pool.engines(), shortAnswers, Cost, Now);
    BOOST_REQUIRE(plan.prefillTarget() > 20U);
    RoleDemand longAnswers { milliseconds { 100 }, milliseconds { 900 } };
    for (int round = 0; round < 20; ++round)
        plan.update(pool.engines(), longAnswers, Cost, Now + RolePlan::ReversalTime - seconds { 1 });
    BOOST_TEST(plan.prefillTarget() == 20U);
    plan.update(pool.engines(), longAnswers, Cost, Now + RolePlan::ReversalTime);
    BOOST_TEST(plan.prefillTarget() < 20U);
}

BOOST_AUTO_TEST_CASE(changesFewEnginesAtATime)
{
    Pool pool;
    pool.add("a", ServerRole::Prefill, 60);
    pool.add("a", ServerRole::Decode, 40);
    RolePlan plan;
    for (std::uint32_t round = 0; round < RolePlan::AgreeingUpdates; ++round)
        plan.update(pool.engines(), UsualDemand, Cost, Now);
    auto most = static_cast<std::size_t>(100 * RolePlan::MaxChangingShare);
    BOOST_TEST(plan.nextAssignment(pool.engines(), most - 1).has_value());
    BOOST_TEST(!plan.nextAssignment(pool.engines(), most));
    // One decision moves no more than that, and the next one needs an agreement of its own.
    BOOST_TEST(plan.prefillTarget() == 60 - most);
    plan.update(pool.engines(), UsualDemand, Cost, Now);
    BOOST_TEST(plan.prefillTarget() == 60U);
    // A role without its minimum does not wait for other changes.
    Pool bare;
    bare.add("a", ServerRole::Decode, 100);
    plan.update(bare.engines(), UsualDemand, Cost, Now);
    BOOST_TEST(plan.nextAssignment(bare.engines(), most).has_value());
}

// A learned speed must not move engines in the middle of a burst: demand as measured decides whether any
// change.
BOOST_AUTO_TEST_CASE(speedsAloneChangeNothing)
{
    std::uint32_t best = RolePlan::bestSplit(40, UsualDemand);
    for (bool isPrefillFast : { false, true }) {
        Pool pool;
        pool.add("a", ServerRole::Prefill, static_cast<int>(best));
        pool.add("a", ServerRole::Decode, 40 - static_cast<int>(best));
        RolePlan plan;
        BOOST_REQUIRE(pool.settle(plan, UsualDemand) == 0);
        EngineSpeeds speeds;
        for (const ServerRecord& record : pool.records)
            speeds[record.id] = (record.role == ServerRole::Prefill) == isPrefillFast ? 1 : 0.41;
        plan.setSpeeds(speeds);
        BOOST_TEST(pool.settle(plan, UsualDemand) == 0);
    }
}

// One decision must move no more than a tenth of the speed of all engines: by number it moves too much if the
// engines that change are fast.
BOOST_AUTO_TEST_CASE(countsEnginesBySpeed)
{
    RoleDemand demand { milliseconds { 400 }, milliseconds { 330 } };
    std::map<bool, int> changes;
    for (bool areKnown : { false, true }) {
        Pool pool;
        pool.add("a", ServerRole::Prefill, 10);
        pool.add("a", ServerRole::Decode, 30);
        EngineSpeeds speeds;
        for (int index = 0; index < 10; ++index)
            speeds[pool.records[static_cast<std::size_t>(index)].id] = 0.5;
        RolePlan plan;
        if (areKnown)
            plan.setSpeeds(speeds);
        for (std::uint32_t round = 0; round < RolePlan::AgreeingUpdates; ++round)
            plan.update(pool.engines(), demand, Cost, Now);
        auto engines = pool.engines();
        while (plan.nextAssignment(engines, 0)) {
            auto assignment = *plan.nextAssignment(engines, 0);
            for (ServerRecord& record : pool.records)
                record.role = record.id == assignment.server ? assignment.role : record.role;
            ++changes[areKnown];
        }
    }
    // One decision moves four mean engines; a fast one is worth 1.14 of them.
    BOOST_TEST(changes[false] == 4);
    BOOST_TEST(changes[true] == 3);
}

BOOST_AUTO_TEST_CASE(prefersTheChangeThatComesNearestToTheTarget)
{
    // Fast prefill engines are too many. Without regard to speed the pool would end beside its target.
    Pool pool;
    pool.add("a", ServerRole::Prefill, static_cast<int>(RolePlan::bestSplit(18, UsualDemand)) + 1);
    pool.add("a", ServerRole::Decode, 18 - static_cast<int>(pool.records.size()));
    EngineSpeeds speeds;
    for (const ServerRecord& record : pool.records) {
        if (record.role == ServerRole::Prefill)
            speeds[record.id] = 2;
    }
    speeds[pool.records.front().id] = 0.4;
    RolePlan plan;
    plan.setSpeeds(speeds);
    plan.updateIdle(pool.engines(), UsualDemand);
    int changes = 0;
    while (auto assignment = plan.nextAssignment(pool.engines(), 0)) {
        for (ServerRecord& record : pool.records)
            record.role = record.id == assignment->server ? assignment->role : record.role;
        BOOST_REQUIRE(++changes < 18);
    }
    double sum = 0;
    double ofPrefill = 0;
    for (const ServerRecord& record : pool.records) {
        double speed = speeds.contains(record.id) ? speeds[record.id] : 1;
        sum += speed;
        ofPrefill += record.role == ServerRole::Prefill ? speed : 0;
    }
    BOOST_TEST(std::abs(ofPrefill / sum * 18 - plan.prefillTarget()) <= 0.5);
}

// The minimum of a role is a number of engines: one fast engine does not replace two.
BOOST_AUTO_TEST_CASE(keepsTwoEnginesOfARoleWhateverTheirSpeed)
{
    Pool pool;
    pool.add("a", ServerRole::Prefill, 6);
    pool.add("a", ServerRole::Decode, 6);
    RolePlan plan;
    EngineSpeeds speeds;
    for (int index = 0; index < 6; ++index)
        speeds[pool.records[static_cast<std::size_t>(index)].id] = 4;
    plan.setSpeeds(speeds);
    pool.settle(plan, RoleDemand { milliseconds { 5 }, seconds { 5 } });
    BOOST_TEST(pool.prefills() == 2);
    speeds[pool.records.back().id] = 0.25;
    plan.setSpeeds(speeds);
    pool.records[0].role = ServerRole::Decode;
    pool.settle(plan, std::nullopt);
    BOOST_TEST(pool.prefills() == 2);
}

BOOST_AUTO_TEST_SUITE_END()
