// Tests of the texts of suspects.
#include "peridotgrade/core/quarantine/suspect.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;

BOOST_AUTO_TEST_SUITE(SuspectTest)

BOOST_AUTO_TEST_CASE(textGivesBackTheSuspect)
{
    const Suspect request { Fingerprint { 0xab } };
    const Suspect part { Fingerprint { 0xab }, SuspectKind::PromptPart };
    BOOST_TEST(textOf(request) == "00000000000000ab");
    BOOST_TEST(textOf(part) == "part-00000000000000ab");
    BOOST_TEST((suspectFrom(textOf(request)) == std::optional { request }));
    BOOST_TEST((suspectFrom(textOf(part)) == std::optional { part }));
}

BOOST_AUTO_TEST_CASE(otherTextsAreNoSuspects)
{
    for (const char* text : { "", "part-", "other-00ab", "00zz", "part-part-00ab", "-1" })
        BOOST_TEST(!suspectFrom(text).has_value(), text);
}

BOOST_AUTO_TEST_SUITE_END()
