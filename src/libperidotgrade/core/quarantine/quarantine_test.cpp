// Tests of suspects, quarantine and the bound on memory.
#include "peridotgrade/core/quarantine/quarantine.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;

namespace {

const Fingerprint Poison { 1 };
const Fingerprint Innocent { 2 };
const ServerCrash FirstCrash { "engine-1", 10 };
const ServerCrash CrashElsewhere { "engine-2", 10 };
const ServerCrash CrashAfterRestart { "engine-1", 11 };

} // namespace

BOOST_AUTO_TEST_SUITE(quarantine)

BOOST_AUTO_TEST_CASE(running_requests_become_suspects_and_a_second_crash_quarantines)
{
    Quarantine quarantine;
    BOOST_TEST(quarantine.recordCrash(FirstCrash, { Poison, Innocent }).empty());
    BOOST_TEST((quarantine.stateOf(Innocent) == QuarantineState::Suspect));
    auto added = quarantine.recordCrash(CrashElsewhere, { Poison });
    BOOST_TEST((added == std::vector<Suspect> { Poison }));
    BOOST_TEST((quarantine.stateOf(Poison) == QuarantineState::Quarantined));
    BOOST_TEST((quarantine.stateOf(Innocent) == QuarantineState::Suspect));
}

BOOST_AUTO_TEST_CASE(one_crash_reported_twice_counts_once)
{
    Quarantine quarantine;
    quarantine.recordCrash(FirstCrash, { Innocent });
    BOOST_TEST(quarantine.recordCrash(FirstCrash, { Innocent }).empty());
    BOOST_TEST((quarantine.stateOf(Innocent) == QuarantineState::Suspect));
}

BOOST_AUTO_TEST_CASE(a_second_crash_of_a_restarted_server_quarantines)
{
    Quarantine quarantine;
    quarantine.recordCrash(FirstCrash, { Poison });
    BOOST_TEST(quarantine.recordCrash(CrashAfterRestart, { Poison }).size() == 1u);
}

BOOST_AUTO_TEST_CASE(an_answer_clears_a_suspect_but_lifts_no_quarantine)
{
    Quarantine quarantine;
    quarantine.recordCrash(FirstCrash, { Innocent });
    quarantine.recordAnswered(Innocent);
    BOOST_TEST((quarantine.stateOf(Innocent) == QuarantineState::Clean));
    BOOST_TEST(quarantine.recordCrash(CrashElsewhere, { Innocent }).empty());

    quarantine.quarantine(Poison);
    quarantine.recordAnswered(Poison);
    BOOST_TEST((quarantine.stateOf(Poison) == QuarantineState::Quarantined));
}

BOOST_AUTO_TEST_CASE(a_quarantine_is_reported_as_new_only_once)
{
    Quarantine quarantine;
    quarantine.quarantine(Poison);
    quarantine.quarantine(Poison);
    BOOST_TEST(quarantine.recordCrash(FirstCrash, { Poison }).empty());
    BOOST_TEST((quarantine.quarantined() == std::vector<Suspect> { Poison }));
}

BOOST_AUTO_TEST_CASE(suspects_are_evicted_before_quarantined_fingerprints)
{
    Quarantine quarantine({ .capacity = 2 });
    quarantine.quarantine(Poison);
    quarantine.recordCrash(FirstCrash, { Fingerprint { 5 }, Fingerprint { 6 } });
    BOOST_TEST((quarantine.stateOf(Poison) == QuarantineState::Quarantined));
    BOOST_TEST((quarantine.stateOf(Fingerprint { 5 }) == QuarantineState::Clean));
    BOOST_TEST((quarantine.stateOf(Fingerprint { 6 }) == QuarantineState::Suspect));
    quarantine.quarantine(Fingerprint { 7 });
    quarantine.quarantine(Fingerprint { 8 });
    BOOST_TEST((quarantine.quarantined() == std::vector<Suspect> { Fingerprint { 7 }, Fingerprint { 8 } }));
}

BOOST_AUTO_TEST_CASE(a_crash_that_a_quarantined_request_explains_counts_for_no_other)
{
    Quarantine quarantine({ .crashes = 3 });
    quarantine.recordCrash(FirstCrash, { Poison, Innocent });
    quarantine.recordCrash(CrashElsewhere, { Poison, Innocent });
    BOOST_TEST(quarantine.crashesOf(Innocent) == 2u);
    auto added = quarantine.recordCrash(CrashAfterRestart, { Poison });
    BOOST_TEST((added == std::vector<Suspect> { Poison }));
    BOOST_TEST(quarantine.crashesOf(Innocent) == 0u);
    // It counts again once the explanation is withdrawn.
    quarantine.release(Poison);
    BOOST_TEST(quarantine.crashesOf(Innocent) == 2u);
    BOOST_TEST((quarantine.stateOf(Poison) == QuarantineState::Clean));
}

BOOST_AUTO_TEST_CASE(the_request_in_most_crashes_is_quarantined_alone)
{
    Quarantine quarantine({ .crashes = 2 });
    quarantine.recordCrash(FirstCrash, { Poison });
    quarantine.recordCrash({ "engine-3", 1 }, { Innocent });
    // The poison comes third, the other request second.
    quarantine.recordCrash({ "engine-4", 1 }, { Fingerprint { 9 } });
    auto added = quarantine.recordCrash(CrashElsewhere, { Poison, Fingerprint { 9 } });
    BOOST_TEST((added == std::vector<Suspect> { Poison, Fingerprint { 9 } }));

    Quarantine three({ .crashes = 3 });
    three.recordCrash(FirstCrash, { Poison });
    three.recordCrash(CrashElsewhere, { Poison, Innocent });
    three.recordCrash({ "engine-5", 1 }, { Innocent });
    added = three.recordCrash(CrashAfterRestart, { Poison, Innocent });
    BOOST_TEST((added == std::vector<Suspect> { Poison, Innocent }));
}

BOOST_AUTO_TEST_CASE(requests_in_the_same_crashes_are_all_quarantined)
{
    Quarantine quarantine;
    quarantine.recordCrash(FirstCrash, { Poison, Innocent });
    auto added = quarantine.recordCrash(CrashElsewhere, { Poison, Innocent });
    BOOST_TEST((added == std::vector<Suspect> { Poison, Innocent }));
}

BOOST_AUTO_TEST_CASE(one_request_that_crashes_servers_does_not_quarantine_its_parts)
{
    Quarantine quarantine({ .crashes = 3, .requestsOfPart = 4 });
    const Suspect part { Fingerprint { 3 }, SuspectKind::PromptPart };
    for (std::uint64_t crash = 1; crash <= 6; ++crash)
        quarantine.recordCrash({ "engine", crash }, { Poison, { part, Poison } });
    BOOST_TEST((quarantine.quarantined() == std::vector<Suspect> { Poison }));
    BOOST_TEST(quarantine.crashesOf(part) == 1u);
    for (std::uint64_t crash = 11; crash <= 13; ++crash)
        quarantine.recordCrash(
            { "engine", crash }, { Fingerprint { crash }, { part, Fingerprint { crash } } });
    BOOST_TEST((quarantine.stateOf(part) == QuarantineState::Quarantined));
}

BOOST_AUTO_TEST_CASE(requests_beside_a_quarantined_part_are_suspect_again)
{
    Quarantine quarantine({ .crashes = 3, .requestsOfPart = 4 });
    const Suspect part { Fingerprint { 3 }, SuspectKind::PromptPart };
    for (std::uint64_t crash = 1; crash <= 3; ++crash)
        quarantine.recordCrash({ "engine", crash },
            { Fingerprint { 10 + crash }, Innocent, { part, Fingerprint { 10 + crash } } });
    quarantine.recordCrash({ "engine-2", 1 }, { Poison });
    quarantine.recordCrash({ "engine-2", 2 }, { Poison });
    quarantine.recordCrash({ "engine-2", 3 }, { Poison });
    BOOST_TEST((quarantine.stateOf(Innocent) == QuarantineState::Quarantined));
    std::vector<Suspect> added;
    for (std::uint64_t crash = 4; added.empty(); ++crash)
        added = quarantine.recordCrash(
            { "engine", crash }, { Fingerprint { 10 + crash }, { part, Fingerprint { 10 + crash } } });
    BOOST_TEST((added == std::vector<Suspect> { part }));
    BOOST_TEST((quarantine.stateOf(Innocent) == QuarantineState::Suspect));
    BOOST_TEST(quarantine.crashesOf(Innocent) == 0u);
    BOOST_TEST((quarantine.stateOf(Poison) == QuarantineState::Quarantined));
    // Once the part is released, its crashes count for the request again.
    quarantine.release(part);
    BOOST_TEST(quarantine.crashesOf(Innocent) == 3u);
}

BOOST_AUTO_TEST_SUITE_END()
