// Tests of suspects, quarantine and the bound on memory.
#include "peridotgrade/core/quarantine/quarantine.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;

namespace {

const Fingerprint Poison { 1 };
const Fingerprint Innocent { 2 };
const AgentId FirstAgent { "engine-1" };
const AgentId SecondAgent { "engine-2" };
const Incarnation FirstIncarnation { 10 };
const Incarnation SecondIncarnation { 11 };

} // namespace

BOOST_AUTO_TEST_SUITE(quarantine)

BOOST_AUTO_TEST_CASE(running_requests_become_suspects_and_a_second_crash_quarantines)
{
    Quarantine quarantine;
    BOOST_TEST(quarantine.recordCrash(FirstAgent, FirstIncarnation, { Poison, Innocent }).empty());
    BOOST_TEST((quarantine.stateOf(Innocent) == QuarantineState::Suspect));
    auto added = quarantine.recordCrash(SecondAgent, FirstIncarnation, { Poison });
    BOOST_TEST((added == std::vector<Fingerprint> { Poison }));
    BOOST_TEST((quarantine.stateOf(Poison) == QuarantineState::Quarantined));
    BOOST_TEST((quarantine.stateOf(Innocent) == QuarantineState::Suspect));
}

BOOST_AUTO_TEST_CASE(one_crash_reported_twice_counts_once)
{
    Quarantine quarantine;
    quarantine.recordCrash(FirstAgent, FirstIncarnation, { Innocent });
    BOOST_TEST(quarantine.recordCrash(FirstAgent, FirstIncarnation, { Innocent }).empty());
    BOOST_TEST((quarantine.stateOf(Innocent) == QuarantineState::Suspect));
}

BOOST_AUTO_TEST_CASE(a_second_crash_of_a_restarted_server_quarantines)
{
    Quarantine quarantine;
    quarantine.recordCrash(FirstAgent, FirstIncarnation, { Poison });
    BOOST_TEST(quarantine.recordCrash(FirstAgent, SecondIncarnation, { Poison }).size() == 1u);
}

BOOST_AUTO_TEST_CASE(an_answer_clears_a_suspect_but_lifts_no_quarantine)
{
    Quarantine quarantine;
    quarantine.recordCrash(FirstAgent, FirstIncarnation, { Innocent });
    quarantine.recordAnswered(Innocent);
    BOOST_TEST((quarantine.stateOf(Innocent) == QuarantineState::Clean));
    BOOST_TEST(quarantine.recordCrash(SecondAgent, FirstIncarnation, { Innocent }).empty());

    quarantine.quarantine(Poison);
    quarantine.recordAnswered(Poison);
    BOOST_TEST((quarantine.stateOf(Poison) == QuarantineState::Quarantined));
}

BOOST_AUTO_TEST_CASE(a_quarantine_is_reported_as_new_only_once)
{
    Quarantine quarantine;
    quarantine.quarantine(Poison);
    quarantine.quarantine(Poison);
    BOOST_TEST(quarantine.recordCrash(FirstAgent, FirstIncarnation, { Poison }).empty());
    BOOST_TEST((quarantine.quarantined() == std::vector<Fingerprint> { Poison }));
}

BOOST_AUTO_TEST_CASE(suspects_are_evicted_before_quarantined_fingerprints)
{
    Quarantine quarantine(2);
    quarantine.quarantine(Poison);
    quarantine.recordCrash(FirstAgent, FirstIncarnation, { Fingerprint { 5 }, Fingerprint { 6 } });
    BOOST_TEST((quarantine.stateOf(Poison) == QuarantineState::Quarantined));
    BOOST_TEST((quarantine.stateOf(Fingerprint { 5 }) == QuarantineState::Clean));
    BOOST_TEST((quarantine.stateOf(Fingerprint { 6 }) == QuarantineState::Suspect));
    quarantine.quarantine(Fingerprint { 7 });
    quarantine.quarantine(Fingerprint { 8 });
    BOOST_TEST(
        (quarantine.quarantined() == std::vector<Fingerprint> { Fingerprint { 7 }, Fingerprint { 8 } }));
}

BOOST_AUTO_TEST_SUITE_END()
