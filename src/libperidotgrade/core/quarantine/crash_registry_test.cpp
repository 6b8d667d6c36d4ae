// Tests of evidence, counts over entries, withdrawal and bounds of the crash registry.
#include "peridotgrade/core/quarantine/crash_registry.h"

#include "test_support/registry_fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace peridotgrade;
using namespace peridotgrade::registry_tests;

BOOST_FIXTURE_TEST_SUITE(CrashRegistryTest, RegistryFixture)

BOOST_AUTO_TEST_CASE(lostConnectionAloneIsNoCrash)
{
    for (std::uint64_t incarnation = 1; incarnation <= 10; ++incarnation)
        registry.recordLoss(crashOf(incarnation), { Poison }, Start);
    BOOST_TEST(registry.crashesOf(Poison) == 0U);
    BOOST_TEST(registry.mayRepeat({ Poison }));
    BOOST_TEST(recorded.empty());
}

BOOST_AUTO_TEST_CASE(endOfAServerCountsForTheRequestsThatWereLostThere)
{
    registry.recordLoss(crashOf(1), { Poison }, Start);
    registry.recordLoss(crashOf(2), { Innocent }, Start);
    BOOST_TEST((registry.recordEnd(crashOf(1), Start + 2s) == std::vector { Poison }));
    BOOST_TEST(registry.crashesOf(Poison) == 1U);
    BOOST_TEST(registry.crashesOf(Innocent) == 0U);
    // A loss that is noticed after the end belongs to it; one of another incarnation does not.
    registry.recordLoss(crashOf(1), { Innocent }, Start + 2s);
    BOOST_TEST(registry.crashesOf(Innocent) == 1U);
    BOOST_TEST(recorded.size() == 2U);
}

BOOST_AUTO_TEST_CASE(evidenceThatComesTooLateCountsForNothing)
{
    registry.recordLoss(crashOf(1), { Poison }, Start);
    BOOST_TEST(registry.recordEnd(crashOf(1), Start + LostRuns::MaxEvidenceDelay + 1s).empty());
    BOOST_TEST(registry.crashesOf(Poison) == 0U);
}

BOOST_AUTO_TEST_CASE(crashesOfSeveralEntriesAddUp)
{
    crash(1, Poison);
    BOOST_TEST(registry.mayRepeat({ Poison }));
    registry.apply({ { Poison, crashOf(2) } }, Start);
    BOOST_TEST(!registry.mayRepeat({ Poison }));
    BOOST_TEST(!registry.isQuarantined(Poison));
    // Two entries report the same crash.
    registry.apply({ { Poison, crashOf(2) } }, Start);
    BOOST_TEST(!registry.isQuarantined(Poison));
    registry.apply({ { Poison, crashOf(3) } }, Start);
    BOOST_TEST(registry.isQuarantined(Poison));
    BOOST_TEST((quarantined == std::vector<Suspect> { Poison }));
    BOOST_TEST(recorded.size() == 1U);
}

BOOST_AUTO_TEST_CASE(orderOfRecordsInAListingHasNoEffect)
{
    // The other request was in two of the crashes and in one of its own.
    std::vector<CrashRecord> records { { Innocent, crashOf(1) }, { Innocent, crashOf(2) },
        { Innocent, crashOf(9) }, { Poison, crashOf(1) }, { Poison, crashOf(2) }, { Poison, crashOf(3) },
        { Poison, crashOf(4) } };
    registry.apply(records, Start);
    BOOST_TEST(registry.isQuarantined(Poison));
    BOOST_TEST(!registry.isQuarantined(Innocent));
    BOOST_TEST(registry.crashesOf(Innocent) == 1U);
}

BOOST_AUTO_TEST_CASE(completeAnswerClearsASuspectEverywhere)
{
    crash(1, Innocent);
    crash(2, Innocent);
    registry.recordAnswered({ Innocent }, Start);
    BOOST_TEST(registry.crashesOf(Innocent) == 0U);
    BOOST_TEST(withdrawn.size() == 2U);
    crash(3, Innocent);
    BOOST_TEST(registry.mayRepeat({ Innocent }));
}

BOOST_AUTO_TEST_CASE(quarantineEndsByReleaseOrByItsLifetimeOnly)
{
    for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation)
        crash(incarnation, Poison);
    registry.recordAnswered({ Poison }, Start);
    BOOST_TEST(registry.isQuarantined(Poison));
    BOOST_TEST((registry.heldFor(Poison, Start + 10s) == Duration { CrashRegistry::RequestLifetime - 10s }));
    registry.expire(Start + CrashRegistry::RequestLifetime - 1s);
    BOOST_TEST(registry.isQuarantined(Poison));
    registry.expire(Start + CrashRegistry::RequestLifetime);
    BOOST_TEST(!registry.isQuarantined(Poison));
    BOOST_TEST(withdrawn.size() == 3U);

    for (std::uint64_t incarnation = 4; incarnation <= 6; ++incarnation)
        crash(incarnation, Poison);
    BOOST_TEST(registry.release(Poison));
    BOOST_TEST(!registry.release(Poison));
    BOOST_TEST(registry.records().empty());
}

BOOST_AUTO_TEST_CASE(memoryIsBoundedAndQuarantinedRequestsAreKept)
{
    for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation)
        crash(incarnation, Poison);
    for (std::uint64_t other = 10; other < 10 + 2 * CrashRegistry::MaxRecords; ++other)
        registry.apply({ { Fingerprint { other }, crashOf(other) } }, Start + 1s);
    BOOST_TEST(registry.records().size() <= CrashRegistry::MaxRecords);
    BOOST_TEST(registry.isQuarantined(Poison));
}

BOOST_AUTO_TEST_CASE(requestsThatShareOnlyAPartQuarantineThePart)
{
    // Each is another request; the first part is shared by all, also by sound ones.
    registry.recordAnswered({ Fingerprint { 100 }, SharedPart }, Start);
    for (std::uint64_t crash = 1; crash <= 4; ++crash) {
        BOOST_TEST(!registry.quarantinedAmong({ Fingerprint { 50 }, SharedPart, PoisonPart }).has_value());
        BOOST_TEST(registry.mayRepeat({ Fingerprint { 50 }, SharedPart, PoisonPart }) == (crash <= 2));
        registry.recordLoss(crashOf(crash), { Fingerprint { 10 + crash }, SharedPart, PoisonPart }, Start);
        registry.recordEnd(crashOf(crash), Start);
    }
    BOOST_TEST((quarantined == std::vector<Suspect> { PoisonPart }));
    BOOST_TEST((registry.quarantinedAmong({ Fingerprint { 50 }, SharedPart, PoisonPart })
        == std::optional { PoisonPart }));
    BOOST_TEST(!registry.quarantinedAmong({ Fingerprint { 50 }, SharedPart }).has_value());
    BOOST_TEST(registry.mayRepeat({ Fingerprint { 50 }, SharedPart }));
    // The first part needs no record in any crash.
    BOOST_TEST(registry.records().size() == 8U);
}

BOOST_AUTO_TEST_CASE(crashesOfAPartAtSeveralEntriesAddUp)
{
    registry.apply(
        { { PoisonPart, crashOf(1), Fingerprint { 11 } }, { PoisonPart, crashOf(2), Fingerprint { 12 } },
            { PoisonPart, crashOf(3), Fingerprint { 13 } } },
        Start);
    BOOST_TEST(!registry.isQuarantined(PoisonPart));
    crashWith(4, PoisonPart);
    BOOST_TEST(registry.isQuarantined(PoisonPart));
    BOOST_TEST((registry.heldFor(PoisonPart, Start) == Duration { CrashRegistry::PartLifetime }));
    registry.expire(Start + CrashRegistry::PartLifetime);
    BOOST_TEST(!registry.isQuarantined(PoisonPart));
}

BOOST_AUTO_TEST_CASE(partThatAnotherEntrySawAnsweredIsWithdrawnEverywhere)
{
    registry.recordAnswered({ Innocent, SharedPart }, Start);
    registry.apply({ { SharedPart, crashOf(1) }, { Innocent, crashOf(1) } }, Start + 1s);
    BOOST_TEST((withdrawn == std::vector<CrashRecord> { { SharedPart, crashOf(1) } }));
    BOOST_TEST(registry.crashesOf(SharedPart) == 0U);
    BOOST_TEST(registry.crashesOf(Innocent) == 1U);
    // What was answered long ago shows nothing of the servers of today.
    registry.apply({ { SharedPart, crashOf(2) } }, Start + AnsweredParts::Lifetime);
    BOOST_TEST(registry.crashesOf(SharedPart) == 1U);
}

BOOST_AUTO_TEST_CASE(completeAnswerReleasesAQuarantinedPart)
{
    for (std::uint64_t incarnation = 1; incarnation <= 4; ++incarnation)
        crashWith(incarnation, SharedPart);
    BOOST_TEST(registry.isQuarantined(SharedPart));
    BOOST_TEST(!registry.isCleared({ Innocent, SharedPart }, Start));
    registry.recordAnswered({ Innocent, SharedPart }, Start);
    BOOST_TEST(!registry.isQuarantined(SharedPart));
    BOOST_TEST(std::count_if(withdrawn.begin(), withdrawn.end(), [](const CrashRecord& each) {
        return each.suspect == SharedPart;
    }) == 4);
    BOOST_TEST(registry.isCleared({ Innocent, SharedPart }, Start));
}

BOOST_AUTO_TEST_CASE(crashingPartIsToldFromTheOneThatComesWithIt)
{
    // The companion is in every crash until a sound request with it has been answered.
    for (std::uint64_t incarnation = 1; incarnation <= 2; ++incarnation) {
        registry.recordLoss(
            crashOf(incarnation), { Fingerprint { 10 + incarnation }, SharedPart, PoisonPart }, Start);
        registry.recordEnd(crashOf(incarnation), Start);
    }
    BOOST_TEST(registry.crashesOf(SharedPart) == 2U);
    registry.recordAnswered({ Innocent, SharedPart }, Start);
    BOOST_TEST(registry.crashesOf(SharedPart) == 0U);
    BOOST_TEST(registry.crashesOf(PoisonPart) == 2U);
}

BOOST_AUTO_TEST_CASE(twoCrashingPartsAreBothQuarantined)
{
    for (std::uint64_t incarnation = 1; incarnation <= 4; ++incarnation) {
        crashWith(incarnation, PoisonPart);
        crashWith(100 + incarnation, SharedPart);
    }
    BOOST_TEST(registry.isQuarantined(PoisonPart));
    BOOST_TEST(registry.isQuarantined(SharedPart));
}

BOOST_AUTO_TEST_CASE(entryThatStartsHoldsWhatTheOthersHold)
{
    // A sound request was beside three of the five crashes; whoever reads them all at once holds the part
    // only.
    std::vector<CrashRecord> records;
    for (std::uint64_t crash = 1; crash <= 5; ++crash) {
        Fingerprint request { 10 + crash };
        records.push_back({ request, crashOf(crash), request });
        records.push_back({ PoisonPart, crashOf(crash), request });
        if (crash != 1 && crash != 3)
            records.push_back({ Innocent, crashOf(crash), Innocent });
    }
    registry.apply(records, Start);
    BOOST_TEST((registry.quarantined() == std::vector<Suspect> { PoisonPart }));
    CrashRegistry other;
    for (const CrashRecord& record : records)
        other.apply({ record }, Start);
    BOOST_TEST((other.quarantined() == std::vector<Suspect> { PoisonPart }));
}

// Two requests with the same crashes, neither answered of late, cannot be told apart.
BOOST_AUTO_TEST_CASE(requestsOfTheSameCrashesThatWereNotAnsweredOfLateAreBothHeld)
{
    registry.recordAnswered({ Innocent }, Start - AnsweredParts::Lifetime);
    for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
        registry.recordLoss(crashOf(incarnation), { Poison }, Start);
        crash(incarnation, Innocent);
    }
    BOOST_TEST(registry.isQuarantined(Poison));
    BOOST_TEST(registry.isQuarantined(Innocent));
}

BOOST_AUTO_TEST_SUITE_END()
