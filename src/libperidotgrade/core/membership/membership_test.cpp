// Tests which backend servers may get new work, and that subsets of agents are stable.
#include "peridotgrade/core/membership/membership.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace peridotgrade;

namespace {

const Incarnation FirstIncarnation { 1 };
const Incarnation SecondIncarnation { 2 };

VmRecord engine(
    const std::string& name, VmState state = VmState::Live, const std::string& dataCentre = "dc-a")
{
    VmRecord vm;
    vm.name = name;
    vm.dataCentre = DataCentreId { dataCentre };
    vm.state = state;
    return vm;
}

std::vector<VmRecord> engines(int count)
{
    std::vector<VmRecord> vms;
    for (int i = 0; i < count; ++i)
        vms.push_back(engine("engine-" + std::to_string(i), VmState::Live, i % 2 == 0 ? "dc-a" : "dc-b"));
    return vms;
}

std::size_t commonMembers(const std::vector<VmRecord>& left, const std::vector<VmRecord>& right)
{
    return static_cast<std::size_t>(std::count_if(left.begin(), left.end(),
        [&](const VmRecord& vm) { return std::find(right.begin(), right.end(), vm) != right.end(); }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(membership)

BOOST_AUTO_TEST_CASE(usable_only_while_listed_and_connected)
{
    Membership membership;
    AgentId agent { "engine-0" };
    membership.onConnected(agent, FirstIncarnation);
    BOOST_TEST(!membership.isUsable(agent));
    membership.onVmList({ engine("engine-0") });
    BOOST_TEST(membership.isUsable(agent));
    membership.onLost(agent);
    BOOST_TEST(!membership.isUsable(agent));
    BOOST_TEST(membership.connectionTargets().size() == 1u);
}

BOOST_AUTO_TEST_CASE(leaving_or_unlisted_ends_new_work_but_not_the_connection)
{
    Membership membership;
    AgentId agent { "engine-0" };
    membership.onVmList({ engine("engine-0") });
    membership.onConnected(agent, FirstIncarnation);
    membership.onVmList({ engine("engine-0", VmState::Leaving) });
    BOOST_TEST(!membership.isUsable(agent));
    BOOST_TEST(membership.connectionTargets().size() == 1u);
    membership.onVmList({});
    BOOST_TEST(!membership.isUsable(agent));
    BOOST_TEST(membership.connectionTargets().size() == 1u);
    membership.onLost(agent);
    BOOST_TEST(membership.connectionTargets().empty());
}

BOOST_AUTO_TEST_CASE(draining_report_outlives_a_reconnect_but_not_a_restart)
{
    Membership membership;
    AgentId agent { "engine-0" };
    membership.onVmList({ engine("engine-0") });
    membership.onConnected(agent, FirstIncarnation);
    membership.onDraining(agent);
    BOOST_TEST(!membership.isUsable(agent));
    membership.onLost(agent);
    membership.onConnected(agent, FirstIncarnation);
    membership.onVmList({ engine("engine-0") });
    BOOST_TEST(!membership.isUsable(agent));
    membership.onConnected(agent, SecondIncarnation);
    BOOST_TEST(membership.isUsable(agent));
}

BOOST_AUTO_TEST_CASE(agent_that_takes_work_again_is_usable_again)
{
    Membership membership;
    AgentId agent { "engine-0" };
    membership.onVmList({ engine("engine-0") });
    membership.onConnected(agent, FirstIncarnation);
    membership.onDraining(agent);
    membership.onResumed(agent);
    BOOST_TEST(membership.isUsable(agent));
    membership.onVmList({ engine("engine-0", VmState::Leaving) });
    membership.onResumed(agent);
    BOOST_TEST(!membership.isUsable(agent));
}

BOOST_AUTO_TEST_CASE(entries_are_not_backend_servers)
{
    Membership membership;
    VmRecord entry = engine("entry-0");
    entry.kind = VmKind::Entry;
    membership.onVmList({ entry });
    membership.onConnected(AgentId { "entry-0" }, FirstIncarnation);
    BOOST_TEST(membership.usable().empty());
}

BOOST_AUTO_TEST_CASE(subset_prefers_the_data_centre_and_ignores_order)
{
    auto all = engines(20);
    auto subset = stableSubset(all, "entry-1/0", "model", DataCentreId { "dc-b" }, 12);
    BOOST_TEST(subset.size() == 12u);
    for (std::size_t i = 0; i < 10; ++i)
        BOOST_TEST((subset[i].dataCentre == DataCentreId { "dc-b" }));
    std::reverse(all.begin(), all.end());
    BOOST_TEST((stableSubset(all, "entry-1/0", "model", DataCentreId { "dc-b" }, 12) == subset));
    BOOST_TEST(stableSubset(all, "entry-1/0", "model", DataCentreId { "dc-b" }, 100).size() == 20u);
}

BOOST_AUTO_TEST_CASE(removing_an_agent_changes_at_most_one_member)
{
    const auto all = engines(40);
    auto before = stableSubset(all, "entry-1/0", "model", DataCentreId { "dc-a" }, 8);
    for (std::size_t gone = 0; gone < all.size(); ++gone) {
        auto fewer = all;
        fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(gone));
        auto after = stableSubset(fewer, "entry-1/0", "model", DataCentreId { "dc-a" }, 8);
        BOOST_TEST(commonMembers(before, after) >= 7u);
    }
}

BOOST_AUTO_TEST_SUITE_END()
