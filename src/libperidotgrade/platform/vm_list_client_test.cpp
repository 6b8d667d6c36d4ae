// Tests of the VM list's reader.
#include "peridotgrade/platform/vm_list_client.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;

BOOST_AUTO_TEST_SUITE(vm_list_client)

BOOST_AUTO_TEST_CASE(a_list_is_read_whole_or_not_at_all)
{
    auto list = parseVmList(R"({"vms":[{"name":"e1","address":"127.0.0.1:9","data_centre":"lj-a",)"
                            R"("service":"planwriter","kind":"engine","state":"leaving"}]})");
    const auto& vms = std::get<std::vector<VmRecord>>(list);
    BOOST_REQUIRE(vms.size() == 1u);
    BOOST_TEST(vms[0].name == "e1");
    BOOST_TEST((vms[0].state == VmState::Leaving));
    BOOST_TEST((vms[0].dataCentre == DataCentreId { "lj-a" }));
    for (const char* text : { "", "[]", R"({"vms":1})",
             R"({"vms":[{"name":"e1","address":"x","kind":"engine","state":"asleep"}]})" })
        BOOST_TEST(std::holds_alternative<VmListError>(parseVmList(text)));
}

BOOST_AUTO_TEST_SUITE_END()
