// Tests of requests that were answered shortly before they were in crashes.
#include "peridotgrade/core/quarantine/crash_registry.h"

#include "test_support/registry_fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace peridotgrade;
using namespace peridotgrade::registry_tests;

BOOST_FIXTURE_TEST_SUITE(ProbationTest, RegistryFixture)

// Guards against holding a sound request whose servers another one crashed three times in a row.
BOOST_AUTO_TEST_CASE(answeredRequestBesideACrashingOneIsNotHeld)
{
    registry.recordAnswered({ Innocent }, Start - 1s);
    CrashRegistry other;
    for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
        registry.recordLoss(crashOf(incarnation), { Poison }, Start);
        registry.recordLoss(crashOf(incarnation), { Innocent }, Start);
        registry.recordEnd(crashOf(incarnation), Start);
    }
    BOOST_TEST((registry.quarantined() == std::vector<Suspect> { Poison }));
    // Another entry, which has seen no answer, learns of it with the records, and so does one that starts.
    std::reverse(recorded.begin(), recorded.end());
    for (const CrashRecord& record : recorded)
        other.apply({ record }, Start);
    BOOST_TEST((other.quarantined() == std::vector<Suspect> { Poison }));
    CrashRegistry later;
    later.apply(registry.records(), Start);
    BOOST_TEST((later.quarantined() == std::vector<Suspect> { Poison }));
}

// Guards against an entry that sees the losses of the sound request first, holds it for all of them and then
// sends the crashing one, whose crashes it takes to be explained.
BOOST_AUTO_TEST_CASE(lastCrashOfACrashingRequestMayBecomeKnownLate)
{
    registry.recordAnswered({ Innocent }, Start - 1s);
    registry.apply({ { Poison, crashOf(1) }, { Poison, crashOf(2) } }, Start);
    for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation)
        crash(incarnation, Innocent);
    BOOST_TEST(registry.quarantined().empty());
    registry.apply({ { Poison, crashOf(3) } }, Start);
    BOOST_TEST((registry.quarantined() == std::vector<Suspect> { Poison }));
    BOOST_TEST(registry.crashesOf(Innocent) == 0U);
}

// Guards against holding a popular sound request for an hour because several servers crashed at once.
BOOST_AUTO_TEST_CASE(answeredRequestThatWasLostInCrashesOfNoOtherIsTriedBeforeItIsHeld)
{
    registry.recordAnswered({ Innocent }, Start - 1s);
    for (std::uint64_t incarnation = 1; incarnation <= 5; ++incarnation)
        crash(incarnation, Innocent);
    BOOST_TEST(registry.isOnProbation(Innocent));
    BOOST_TEST((registry.onProbation() == std::vector<Suspect> { Innocent }));
    BOOST_TEST(!registry.mayRepeat({ Innocent }));
    // One trial at a time, and none shortly after a crash or a trial.
    BOOST_TEST(!registry.beginTrial(Innocent, Start + 999ms));
    auto trial = registry.beginTrial(Innocent, Start + 1s);
    BOOST_TEST((trial != nullptr));
    BOOST_TEST(!registry.beginTrial(Innocent, Start + 5s));
    trial.reset();
    BOOST_TEST(!registry.beginTrial(Innocent, Start + 1999ms));
    trial = registry.beginTrial(Innocent, Start + 2s);
    BOOST_TEST((trial != nullptr));
    trial.reset();
    // Another entry has begun one.
    registry.noteTrial(Innocent, Start + 3s);
    BOOST_TEST(!registry.beginTrial(Innocent, Start + 3s + CrashRegistry::TrialInterval - 1ms));
    BOOST_TEST((registry.beginTrial(Innocent, Start + 3s + CrashRegistry::TrialInterval) != nullptr));
    registry.recordAnswered({ Innocent }, Start + 3s);
    BOOST_TEST(!registry.isOnProbation(Innocent));
    BOOST_TEST(registry.crashesOf(Innocent) == 0U);
    BOOST_TEST(withdrawn.size() == 5U);
    BOOST_TEST(quarantined.empty());
}

BOOST_AUTO_TEST_CASE(answeredRequestThatCrashesServersIsHeldAfterTwoTrials)
{
    registry.recordAnswered({ Poison, SharedPart }, Start - 1s);
    // Alone after three crashes, though its parts were lost with it and another request was in one crash.
    registry.apply({ { Innocent, crashOf(1) }, { PoisonPart, crashOf(1), Poison },
                       { PoisonPart, crashOf(2), Poison }, { PoisonPart, crashOf(3), Poison } },
        Start);
    for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
        BOOST_TEST(!registry.isOnProbation(Poison));
        crash(incarnation, Poison);
    }
    auto loseTrial = [this](Fingerprint request, std::uint64_t incarnation) {
        BOOST_TEST(registry.isOnProbation(request));
        registry.recordLoss(crashOf(incarnation), { request }, Start, true);
        registry.recordEnd(crashOf(incarnation), Start);
    };
    loseTrial(Poison, 4);
    loseTrial(Poison, 5);
    BOOST_TEST((quarantined == std::vector<Suspect> { Poison }));
    // An entry that starts holds it too, whatever the order of the records.
    CrashRegistry other;
    auto records = registry.records();
    std::reverse(records.begin(), records.end());
    other.apply(records, Start);
    BOOST_TEST(other.isQuarantined(Poison));

    // One that was in two of three makes it one crash more.
    const Fingerprint second { 6 };
    registry.recordAnswered({ second }, Start);
    registry.apply({ { Innocent, crashOf(11) }, { Innocent, crashOf(12) } }, Start);
    for (std::uint64_t incarnation = 11; incarnation <= 14; ++incarnation) {
        BOOST_TEST(!registry.isOnProbation(second));
        crash(incarnation, second);
    }
    loseTrial(second, 15);
    loseTrial(second, 16);
    BOOST_TEST(registry.isQuarantined(second));
    BOOST_TEST(!registry.isQuarantined(Innocent));
}

// Guards against a popular request that explains the crashes of two crashing ones, so that these go on.
BOOST_AUTO_TEST_CASE(requestOnProbationExplainsNoCrashes)
{
    const Fingerprint second { 6 };
    registry.recordAnswered({ Innocent }, Start - 1s);
    for (std::uint64_t incarnation = 1; incarnation <= 6; ++incarnation) {
        Fingerprint guilty = incarnation % 2 == 0 ? second : Poison;
        registry.recordLoss(crashOf(incarnation), { Innocent }, Start);
        if (incarnation < 6)
            registry.recordLoss(crashOf(incarnation), { guilty }, Start);
        registry.recordEnd(crashOf(incarnation), Start);
    }
    BOOST_TEST((registry.quarantined() == std::vector<Suspect> { Poison }));
    registry.apply({ { second, crashOf(6) } }, Start);
    BOOST_TEST(registry.isQuarantined(second));
    BOOST_TEST(!registry.isOnProbation(Innocent));
    BOOST_TEST(registry.crashesOf(Innocent) == 0U);
}

// Guards against a request that is held by entries which have not answered it, though another one has.
BOOST_AUTO_TEST_CASE(answerAtOneEntryCountsForCrashesSeenByOthers)
{
    CrashRegistry seeing;
    std::vector<CrashRecord> published;
    seeing.setCallbacks({ [&](const CrashRecord& record) { published.push_back(record); }, {}, {}, {} });
    for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
        seeing.recordLoss(crashOf(incarnation), { Innocent }, Start);
        seeing.recordEnd(crashOf(incarnation), Start);
    }
    BOOST_TEST(seeing.isQuarantined(Innocent));
    registry.recordAnswered({ Innocent }, Start - 1s);
    registry.apply(published, Start);
    BOOST_TEST(registry.isOnProbation(Innocent));
    BOOST_TEST(recorded.size() == 3U);
    seeing.apply(recorded, Start);
    BOOST_TEST(seeing.isOnProbation(Innocent));
    // What comes back is no news.
    registry.apply(recorded, Start);
    BOOST_TEST(recorded.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
