// Tests of what makes two requests the same.
#include "peridotgrade/core/quarantine/request_content.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;

BOOST_AUTO_TEST_SUITE(RequestContentTest)

BOOST_AUTO_TEST_CASE(everyPartOfTheContentCounts)
{
    const RequestContent content { "mills", "POST", "site.example", "/a?b=1", "body" };
    Fingerprint fingerprint = fingerprintOf(content);
    BOOST_TEST((fingerprintOf(content) == fingerprint));
    for (auto part : { &RequestContent::tenant, &RequestContent::method, &RequestContent::host,
             &RequestContent::target, &RequestContent::body }) {
        RequestContent other = content;
        other.*part = "other";
        BOOST_TEST((fingerprintOf(other) != fingerprint));
    }
}

BOOST_AUTO_TEST_CASE(bytesThatMoveFromOnePartToTheNextChangeTheFingerprint)
{
    BOOST_TEST((fingerprintOf({ "", "GET", "a", "b", "" }) != fingerprintOf({ "", "GET", "ab", "", "" })));
}

BOOST_AUTO_TEST_CASE(textHasSixteenDigits) { BOOST_TEST(textOf(Fingerprint { 0xab }) == "00000000000000ab"); }

// Guards against a log that cannot tell a repeated request from other ones.
BOOST_AUTO_TEST_CASE(descriptionShowsInWhichPartTwoContentsDiffer)
{
    const RequestContent content { "mills", "POST", "site.example", "/a?name=secret", "body" };
    std::string text = describe(content);
    BOOST_TEST(text.find("secret") == std::string::npos);
    BOOST_TEST(text.find("/4") != std::string::npos);
    for (auto part : { &RequestContent::tenant, &RequestContent::method, &RequestContent::host,
             &RequestContent::target, &RequestContent::body }) {
        RequestContent other = content;
        other.*part = "other";
        BOOST_TEST(describe(other) != text);
    }
    RequestContent large = content;
    const std::string many(100'000, 'x');
    large.target = large.body = many;
    BOOST_TEST(describe(large).size() < 120U);
}

BOOST_AUTO_TEST_SUITE_END()
