// Tests of the plan of prefill and decode engines.
#include "peridotgrade/core/serving/role_plan.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace peridotgrade;

namespace {

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
    /// Applies role changes until none is left; returns their number.
    int settle(const RolePlan& plan)
    {
        int changes = 0;
        while (auto assignment = plan.nextAssignment(engines())) {
            for (ServerRecord& record : records) {
                if (record.id == assignment->server)
                    record.role = assignment->role;
            }
            BOOST_REQUIRE(++changes < 100);
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
    RolePlan plan;
    pool.settle(plan);
    BOOST_TEST(pool.prefills() == static_cast<int>(plan.prefillTarget(16)));
    BOOST_TEST(pool.prefills("b") <= 3);
    BOOST_TEST(pool.settle(plan) == 0);
}

BOOST_AUTO_TEST_CASE(keepsBothRolesInSmallPools)
{
    RolePlan plan;
    BOOST_TEST(plan.prefillTarget(0) == 0U);
    BOOST_TEST(plan.prefillTarget(2) == 1U);
    BOOST_TEST(plan.prefillTarget(4) == 2U);
    Pool pool;
    pool.add("a", ServerRole::Decode, 6);
    pool.settle(plan);
    BOOST_TEST(pool.prefills() == 2);
}

BOOST_AUTO_TEST_SUITE_END()
